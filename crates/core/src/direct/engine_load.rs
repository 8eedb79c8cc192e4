//! What a loader knows of the last load of the engine beside it.

use std::net::SocketAddr;

use super::{
    endpoint_notices::Start, load_reports::LoadReport, platform::EngineReport, send_time::SendStamp,
};
use crate::ids::ModelId;

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

/// A load and what is known of it.
#[derive(Clone, Debug, Eq, PartialEq)]
struct JudgedLoad {
    started_ms: Option<u64>,
    orders: u64,
    evidence: LoadEvidence,
    /// The version that the load must have brought, `None` where any was found.
    version: Option<(ModelId, u64)>,
}

/// The last load of an engine, as far as its reports and orders tell.
#[derive(Clone, Debug, Default)]
pub struct EngineLoad {
    last: Option<EngineReport>,
    judged: Option<JudgedLoad>,
}

impl EngineLoad {
    /// Records a report of the engine; returns how it differs from the last one.
    ///
    /// A load that no order of this process is known to have begun is open.
    pub fn observe(&mut self, report: &EngineReport) -> EngineChange {
        let is_known = self.judged.as_ref().is_some_and(|judged| {
            let has_appeared = judged.version.is_none()
                && self.last.as_ref().is_some_and(|last| last.versions.is_empty())
                && !report.versions.is_empty();
            judged.started_ms == report.started_ms
                && report.orders_begun <= judged.orders
                && !has_appeared
        });
        if !is_known {
            // Engines that hold a version without any order were given it by operators.
            let evidence = match report.orders_begun {
                0 => LoadEvidence::Proved,
                _ => LoadEvidence::Open,
            };
            self.judge(report.started_ms, report.orders_begun, evidence, None);
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

    /// Records what is known of a load, the number `orders` since the start, that must bring
    /// `version` if one is given.
    pub fn judge(
        &mut self,
        started_ms: Option<u64>,
        orders: u64,
        evidence: LoadEvidence,
        version: Option<(ModelId, u64)>,
    ) {
        self.judged = Some(JudgedLoad { started_ms, orders, evidence, version });
    }

    /// Returns what is known of the last load, `None` before any report.
    pub fn evidence(&self) -> Option<LoadEvidence> {
        self.judged.as_ref().map(|judged| judged.evidence)
    }

    /// Returns the report for other processes, `None` while the engine loads or has not reported the
    /// end of the last load, and before that load is judged.
    pub fn report(&self, addr: SocketAddr, known_at: SendStamp) -> Option<LoadReport> {
        let (judged, last) = (self.judged.as_ref()?, self.last.as_ref()?);
        let is_current = (last.started_ms, last.orders_begun) == (judged.started_ms, judged.orders)
            && !last.busy
            && judged.evidence != LoadEvidence::Open;
        let has_version =
            |(model, version): &(ModelId, u64)| last.versions.get(model) == Some(version);
        is_current.then(|| LoadReport {
            start: Start { addr, started_ms: judged.started_ms },
            orders: judged.orders,
            versions: last.versions.clone(),
            proved: judged.evidence == LoadEvidence::Proved
                && judged.version.as_ref().is_none_or(has_version),
            known_at,
        })
    }
}
