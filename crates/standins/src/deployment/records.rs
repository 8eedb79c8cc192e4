//! What the stand-ins of a deployment have recorded, compared with what callers outcome.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use sequoiahold_core::ids::{VmId, ZoneId};

use super::Deployment;
use crate::callers::{Call, Outcome};

/// What the stand-ins have recorded.
#[derive(Clone, Copy)]
pub struct Records<'a> {
    deployment: &'a Deployment,
}

impl<'a> Records<'a> {
    pub(super) fn new(deployment: &'a Deployment) -> Self {
        Self { deployment }
    }

    /// Returns the requests that began in a zone's engines between two times.
    pub fn count_started_in_zone(&self, zone: &ZoneId, from: Instant, to: Instant) -> usize {
        let vms = &self.deployment.plan.fleet.vms;
        let in_zone = |vm: &&VmId| vms[*vm].zone == *zone;
        let engines = self.deployment.engines.keys().filter(in_zone);
        engines.map(|vm| self.count_started(vm, from, to)).sum()
    }

    /// Returns the requests that began at an engine between two times.
    pub fn count_started(&self, vm: &VmId, from: Instant, to: Instant) -> usize {
        let state = self.deployment.engines[vm].state.borrow();
        state.began.iter().filter(|b| b.at >= from && b.at < to).count()
    }

    /// Returns the VM of each request that began in a zone since a time, and how much later.
    pub fn started_in_zone_since(&self, zone: &ZoneId, since: Instant) -> Vec<(VmId, Duration)> {
        let vms = &self.deployment.plan.fleet.vms;
        let engines = self.deployment.engines.iter().filter(|(vm, _)| vms[*vm].zone == *zone);
        let late = engines.flat_map(|(vm, engine)| {
            let state = engine.state.borrow();
            let began = state.began.iter().filter(|began| began.at >= since);
            began.map(|began| (vm.clone(), began.at - since)).collect::<Vec<_>>()
        });
        late.collect()
    }

    /// Returns how often an engine was given more than it bears.
    pub fn overloads(&self) -> u64 {
        self.deployment.engines.values().map(|e| e.state.borrow().overloads).sum()
    }

    /// Returns, for each engine, the times from its turning cold without warning to the overloads
    /// after it.
    pub fn overload_delays(&self) -> Vec<Vec<Duration>> {
        let engines = self.deployment.engines.values();
        engines.map(|engine| engine.state.borrow().after_turn.clone()).collect()
    }

    /// Returns the orders that ran more than once.
    pub fn repeated_orders(&self) -> usize {
        self.deployment.plain_state.borrow().order_runs.values().filter(|count| **count > 1).count()
    }

    /// Returns the calls that were refused "not run" although their request had begun.
    pub fn not_run_but_began(&self, calls: &[Call]) -> usize {
        let began = self.started_names();
        let mut refused: BTreeMap<&str, bool> = BTreeMap::new();
        for call in calls {
            let all = refused.entry(call.name.as_str()).or_insert(true);
            *all &= call.outcome == Outcome::NotRun;
        }
        refused.into_iter().filter(|(name, all)| *all && began.contains(*name)).count()
    }

    /// Returns the engines that hold weights that are no whole version.
    pub fn partial_engines(&self) -> usize {
        let complete = &self.deployment.fingerprints;
        let engines = self.deployment.engines.values();
        let loaded = engines.filter_map(|e| e.state.borrow().version.as_ref().map(|v| v.2));
        loaded.filter(|weights| !complete.contains(weights)).count()
    }

    fn started_names(&self) -> BTreeSet<String> {
        let engines = self.deployment.engines.values();
        let asked = engines.flat_map(|engine| {
            let state = engine.state.borrow();
            state.began.iter().map(|began| began.prompt.clone()).collect::<Vec<_>>()
        });
        asked.chain(self.deployment.plain_state.borrow().order_runs.keys().cloned()).collect()
    }
}
