//! What loaders reported of the loads of engines, kept by start of the engine.
//!
//! Load pattern: rollouts while loaders stand still, are killed or cannot reach a gateway. Silence
//! proves nothing: an engine that a loader looks after is used with those versions only that are
//! reported as proved, by whatever way the report came, and for as long as no later load is known.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use serde::{Deserialize, Serialize};

use super::{catalog::EndpointEntry, endpoint_notices::Start};
use crate::{
    ids::{ModelId, ZoneId},
    time::Time,
    units::Span,
};

/// Maximum number of starts of engines that are remembered.
const MAX_REPORTS: usize = 4_096;
/// Time for which a change is told in each round; after it, only now and then.
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
}

impl LoadReport {
    /// Returns the versions for logs, as in `m/2`.
    pub fn versions_text(&self) -> String {
        let versions = self.versions.iter().map(|(model, version)| format!("{model}/{version}"));
        versions.collect::<Vec<String>>().join(",")
    }

    /// Returns whether this report says more than `known` of the same start.
    ///
    /// Without the time of the start, the number of loads may have begun anew.
    fn supersedes(&self, known: &Self) -> bool {
        match self.start.started_ms {
            Some(_) => (self.orders, self.proved) > (known.orders, known.proved),
            None => self != known,
        }
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

#[derive(Clone, Debug)]
struct KnownLoad {
    report: Rc<LoadReport>,
    heard_at: Time,
}

/// What is known of the loads of all engines.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    loads: BTreeMap<Start, KnownLoad>,
    /// The zones in which loaders have been seen.
    loader_zones: BTreeSet<ZoneId>,
    /// Whether the loaders of all zones that can be reached have been seen.
    settled: bool,
}

impl LoadReports {
    /// Merges a report; returns whether it says more than was known.
    pub fn merge(&mut self, now: Time, report: LoadReport) -> bool {
        let known = self.loads.get(&report.start);
        if known.is_some_and(|known| !report.supersedes(&known.report)) {
            return false;
        }
        self.loads.insert(report.start, KnownLoad { report: Rc::new(report), heard_at: now });
        if self.loads.len() > MAX_REPORTS {
            let oldest = self.loads.iter().min_by_key(|(_, known)| known.heard_at);
            if let Some(start) = oldest.map(|(start, _)| *start) {
                self.loads.remove(&start);
            }
        }
        true
    }

    /// Records the zones in which loaders are live, and whether all processes that can be reached are
    /// known; returns whether anything changed.
    ///
    /// A zone whose loaders are gone keeps needing reports: what they have loaded last is not known.
    pub fn record_loaders(
        &mut self,
        zones: impl IntoIterator<Item = ZoneId>,
        settled: bool,
    ) -> bool {
        let before = (self.loader_zones.len(), self.settled);
        self.loader_zones.extend(zones);
        self.settled |= settled;
        before != (self.loader_zones.len(), self.settled)
    }

    /// Returns the report of a start of an engine.
    pub fn find(&self, start: &Start) -> Option<&Rc<LoadReport>> {
        let exact = self.loads.get(start);
        let alike = || {
            let loads = self.loads.values().filter(|known| known.report.start.matches(start));
            loads.max_by_key(|known| known.heard_at)
        };
        exact.or_else(alike).map(|known| &known.report)
    }

    /// Returns what is known of the loads of a published endpoint.
    pub fn knowledge(&self, entry: &EndpointEntry) -> LoadKnowledge {
        match self.find(&Start::of(entry)) {
            Some(report) => LoadKnowledge::Reported(report.clone()),
            None if self.settled && !self.loader_zones.contains(&entry.zone) => {
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
