//! What loaders reported of the last loads of engines.
//!
//! Load pattern: rollouts while loaders stand still, are killed or cannot reach a gateway. Silence
//! proves nothing: an engine that a loader looks after is used with those versions only that are
//! reported as proved, by whatever way the report came, and for as long as no later load is known.
//! Where nobody reports, an engine that has begun no load since its start proves what it holds.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

use serde::{Deserialize, Serialize};

use super::{
    catalog::LoadedModel, endpoint_notices::Start, platform::EngineReport, send_time::SendStamp,
};
use crate::{
    ids::{Incarnation, ModelId, ZoneId},
    time::Time,
    units::Span,
};

/// Maximum number of engines that are remembered.
const MAX_REPORTS: usize = 4_096;
/// Time for which a change is told in each round; after it, peers ask where they lack it.
const NEWS_TIME: Span = Span::secs(5);

/// What is known of the last load of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The start of the engine.
    pub start: Start,
    /// The number of loads that it has begun since.
    pub orders: u64,
    /// The versions that it holds complete after them.
    pub versions: BTreeMap<ModelId, u64>,
    /// Whether all of them are known to be loaded from intact chunks.
    pub proved: bool,
    /// When the loader came to know so, by its clock.
    pub known_at: SendStamp,
}

impl LoadReport {
    /// Returns the report that an engine gives of itself at an address, `None` once it has begun a
    /// load: what it held before, operators gave it.
    ///
    /// It replaces no report of another start by a loader, which may have come to know of a later one.
    pub fn of_engine(addr: SocketAddr, report: &EngineReport) -> Option<Self> {
        let started_ms = report.started_ms?;
        let is_given = report.orders_begun == 0 && !report.busy && !report.versions.is_empty();
        let at = Time(started_ms.saturating_mul(1_000));
        is_given.then(|| Self {
            start: Start { addr, started_ms: Some(started_ms) },
            orders: 0,
            versions: report.versions.clone(),
            proved: true,
            known_at: SendStamp { incarnation: Incarnation::default(), at },
        })
    }

    /// Returns the versions for logs, as in `m/2`.
    pub fn versions_text(&self) -> String {
        let versions = self.versions.iter().map(|(model, version)| format!("{model}/{version}"));
        versions.collect::<Vec<String>>().join(",")
    }

    /// Returns whether both say the same, whenever that became known.
    pub fn says_same(&self, other: &Self) -> bool {
        *self == Self { known_at: self.known_at, ..other.clone() }
    }

    /// Returns whether this report is of a later load than `known`, or proves the same one.
    ///
    /// The time of a start does not order starts, as the clock of a VM may be set back.
    fn supersedes(&self, known: &Self) -> bool {
        if self.start == known.start && self.start.started_ms.is_some() {
            return (self.orders, self.proved) > (known.orders, known.proved);
        }
        let time = |report: &Self| (report.known_at.incarnation, report.known_at.at);
        time(self) > time(known)
    }
}

/// What is known of the loads of a published endpoint.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum LoadKnowledge {
    /// No loader looks after it: what is published counts.
    #[default]
    Published,
    /// A loader may look after it, and nothing is known of this start.
    Awaited,
    /// A loader reported the load.
    Reported(Rc<LoadReport>),
}

impl LoadKnowledge {
    /// Returns the version of a model that may be used where `published` is the published one.
    ///
    /// A report may be ahead of what is published, but one that is behind it misses a load.
    pub fn usable_version(&self, model: &ModelId, published: Option<u64>) -> Option<u64> {
        match self {
            Self::Published => published,
            Self::Awaited => None,
            Self::Reported(report) => {
                let version = report.versions.get(model).copied().filter(|_| report.proved);
                version.filter(|version| published.is_none_or(|published| published <= *version))
            }
        }
    }
}

/// Whether a report still counts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Standing {
    /// No later load is known of.
    Valid,
    /// A later load seems to have ended, of which no report has arrived; the engine can tell.
    Doubted,
    /// A later load has ended, of which no report has arrived.
    Outdated,
}

#[derive(Clone, Debug)]
struct KnownLoad {
    report: Rc<LoadReport>,
    heard_at: Time,
    standing: Standing,
    /// The models of which the reported version has been published since.
    published: BTreeSet<ModelId>,
}

impl KnownLoad {
    /// Returns how the report stands as a complete version is published, which is that of an earlier
    /// time if it is `restored`.
    fn standing_with(&mut self, loaded: &LoadedModel, restored: bool) -> Standing {
        let Some(version) = self.report.versions.get(&loaded.model) else { return Standing::Valid };
        match loaded.version.cmp(version) {
            Ordering::Greater => Standing::Outdated,
            Ordering::Equal => {
                self.published.insert(loaded.model.clone());
                Standing::Valid
            }
            // Until the list has reached the reported version, it may show what was before.
            Ordering::Less if restored || !self.published.contains(&loaded.model) => {
                Standing::Valid
            }
            Ordering::Less => Standing::Doubted,
        }
    }
}

/// What is known of the last loads of all engines, by address.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    loads: BTreeMap<SocketAddr, KnownLoad>,
    /// The zones in which loaders have been heard of.
    loader_zones: BTreeSet<ZoneId>,
    /// Whether what is published counts in the other zones.
    trusts_published: bool,
}

impl LoadReports {
    /// Merges a report; returns whether it says more than was known.
    pub fn merge(&mut self, now: Time, report: LoadReport) -> bool {
        let addr = report.start.addr;
        if let Some(known) = self.loads.get(&addr) {
            let is_missed = known.standing != Standing::Valid
                && known.report.start == report.start
                && known.report.orders == report.orders;
            if is_missed || !report.supersedes(&known.report) {
                return false;
            }
        }
        let known = KnownLoad {
            report: Rc::new(report),
            heard_at: now,
            standing: Standing::Valid,
            published: BTreeSet::new(),
        };
        self.loads.insert(addr, known);
        if self.loads.len() > MAX_REPORTS {
            let oldest = self.loads.iter().min_by_key(|(_, known)| known.heard_at);
            if let Some(addr) = oldest.map(|(addr, _)| *addr) {
                self.loads.remove(&addr);
            }
        }
        true
    }

    /// Records the zones of the known loaders, also of silent ones, whether all processes that can be
    /// reached are known, and whether the engines get their weights from an origin, which loaders
    /// bring; returns whether anything changed.
    ///
    /// Where there is an origin, silence does not count as the absence of loaders. A zone whose loaders
    /// are gone keeps needing reports: what they have loaded last is not known.
    pub fn record_loaders(
        &mut self,
        zones: impl IntoIterator<Item = ZoneId>,
        is_settled: bool,
        has_origin: bool,
    ) -> bool {
        let before = (self.loader_zones.len(), self.trusts_published);
        self.loader_zones.extend(zones);
        self.trusts_published = is_settled && !has_origin;
        before != (self.loader_zones.len(), self.trusts_published)
    }

    /// Records what is published of an endpoint: a version above the reported one, or any other one
    /// after it, is the result of a load that is not known here, also if the reported version returns.
    ///
    /// An entry that the platform has restored may be older than the report, and one without the time
    /// of the reported start may be that of another writer: neither proves a later load.
    pub fn record_published(&mut self, start: &Start, loaded: &[LoadedModel], restored: bool) {
        let Some(known) = self.loads.get_mut(&start.addr) else { return };
        if known.report.start != *start {
            return;
        }
        for loaded in loaded.iter().filter(|loaded| loaded.complete) {
            known.standing = known.standing.max(known.standing_with(loaded, restored));
        }
    }

    /// Records the report of an engine itself: a doubted report counts again if no load has begun
    /// since; returns whether it does.
    pub fn confirm(&mut self, addr: SocketAddr, probed: &EngineReport) -> bool {
        let Some(known) = self.loads.get_mut(&addr) else { return false };
        let report = &known.report;
        let is_same = probed.started_ms.is_some()
            && report.start.started_ms == probed.started_ms
            && (report.orders, &report.versions) == (probed.orders_begun, &probed.versions)
            && !probed.busy;
        let is_confirmed = known.standing == Standing::Doubted && is_same;
        if is_confirmed {
            known.standing = Standing::Valid;
            known.published.clear();
        }
        is_confirmed && known.report.proved
    }

    /// Returns the report of a start of an engine.
    pub fn find(&self, start: &Start) -> Option<&Rc<LoadReport>> {
        let known = self.loads.get(&start.addr)?;
        known.report.start.matches(start).then_some(&known.report)
    }

    /// Returns what is known of the loads of an endpoint with this published start.
    pub fn knowledge(&self, start: &Start, zone: &ZoneId) -> LoadKnowledge {
        match self.loads.get(&start.addr) {
            Some(known)
                if known.standing != Standing::Valid || !known.report.start.matches(start) =>
            {
                LoadKnowledge::Awaited
            }
            Some(known) => LoadKnowledge::Reported(known.report.clone()),
            None if self.trusts_published && !self.loader_zones.contains(zone) => {
                LoadKnowledge::Published
            }
            None => LoadKnowledge::Awaited,
        }
    }

    /// Returns the reports that are news.
    pub fn news(&self, now: Time) -> Vec<LoadReport> {
        let recent = self.loads.values().filter(|known| now <= known.heard_at + NEWS_TIME);
        recent.map(|known| LoadReport::clone(&known.report)).collect()
    }

    /// Returns all reports.
    pub fn all(&self) -> impl Iterator<Item = &LoadReport> {
        self.loads.values().map(|known| &*known.report)
    }
}
