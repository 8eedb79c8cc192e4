//! What a loader knows of the last load of the engine beside it.

use std::net::SocketAddr;

use super::{endpoint_notices::Start, load_reports::LoadReport, platform::EngineReport};

/// What is known of the chunks that an engine loaded last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadEvidence {
    /// They were intact, or no load has begun since the start.
    Proved,
    /// The load has yet to be judged.
    Open,
    /// Some may have been corrupt.
    Doubtful,
}

/// How a report of an engine differs from the one before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineChange {
    /// It does not differ.
    None,
    /// The engine has started again.
    Restarted,
    /// It is the first one, or the loads or versions differ.
    Other,
}

/// The last load of an engine, as far as its reports and orders tell.
#[derive(Clone, Debug, Default)]
pub struct EngineLoad {
    last: Option<EngineReport>,
    /// The start and the number of loads that the evidence is for.
    judged: Option<(Option<u64>, u64, LoadEvidence)>,
}

impl EngineLoad {
    /// Records a report of the engine; returns how it differs from the last one.
    ///
    /// A load that no order of this process is known to have begun is open.
    pub fn observe(&mut self, report: &EngineReport) -> EngineChange {
        let is_known = self.judged.is_some_and(|(started_ms, orders, _)| {
            started_ms == report.started_ms && report.orders_begun <= orders
        });
        if !is_known {
            // Engines that hold a version without any order were given it by operators.
            let evidence = match report.orders_begun {
                0 => LoadEvidence::Proved,
                _ => LoadEvidence::Open,
            };
            self.judged = Some((report.started_ms, report.orders_begun, evidence));
        }
        let key = |report: &EngineReport| {
            (report.started_ms, report.orders_begun, report.busy, report.versions.clone())
        };
        match self.last.replace(report.clone()) {
            Some(last) if last.started_ms != report.started_ms => EngineChange::Restarted,
            Some(last) if key(&last) == key(report) => EngineChange::None,
            _ => EngineChange::Other,
        }
    }

    /// Records what is known of a load, the number `orders` since the start.
    pub fn judge(&mut self, started_ms: Option<u64>, orders: u64, evidence: LoadEvidence) {
        self.judged = Some((started_ms, orders, evidence));
    }

    /// Returns what is known of the last load, `None` before any report.
    pub fn evidence(&self) -> Option<LoadEvidence> {
        self.judged.map(|(.., evidence)| evidence)
    }

    /// Returns the report for other processes, `None` while the engine loads or has not reported the
    /// end of the last load, and before that load is judged.
    pub fn report(&self, addr: SocketAddr) -> Option<LoadReport> {
        let (started_ms, orders, evidence) = self.judged?;
        let last = self.last.as_ref()?;
        let is_current = (last.started_ms, last.orders_begun) == (started_ms, orders)
            && !last.busy
            && evidence != LoadEvidence::Open;
        is_current.then(|| LoadReport {
            start: Start { addr, started_ms },
            orders,
            versions: last.versions.clone(),
            proved: evidence == LoadEvidence::Proved,
        })
    }
}
