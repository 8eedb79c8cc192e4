//! What the stand-ins of a deployment have recorded, compared with what callers received.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use sequoiahold_core::ids::{VmId, ZoneId};

use super::Deployment;
use crate::callers::{Call, Received};

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
    pub fn began_in_zone(&self, zone: &ZoneId, from: Instant, to: Instant) -> usize {
        let vms = &self.deployment.plan.fleet.vms;
        let in_zone = |vm: &&VmId| vms[*vm].zone == *zone;
        let engines = self.deployment.engines.keys().filter(in_zone);
        engines.map(|vm| self.began(vm, from, to)).sum()
    }

    /// Returns the requests that began at an engine between two times.
    pub fn began(&self, vm: &VmId, from: Instant, to: Instant) -> usize {
        let state = self.deployment.engines[vm].state.borrow();
        state.started.iter().filter(|b| b.at >= from && b.at < to).count()
    }

    /// Returns the VM of each request that began in a zone since a time, and how much later.
    pub fn late_in_zone(&self, zone: &ZoneId, since: Instant) -> Vec<(VmId, Duration)> {
        let vms = &self.deployment.plan.fleet.vms;
        let engines = self.deployment.engines.iter().filter(|(vm, _)| vms[*vm].zone == *zone);
        let late = engines.flat_map(|(vm, engine)| {
            let state = engine.state.borrow();
            let began = state.started.iter().filter(|began| began.at >= since);
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
    pub fn overloads_after_turn(&self) -> Vec<Vec<Duration>> {
        let engines = self.deployment.engines.values();
        engines.map(|engine| engine.state.borrow().overload_delays.clone()).collect()
    }

    /// Returns the orders that ran more than once.
    pub fn run_twice(&self) -> usize {
        self.deployment.plain.borrow().ran.values().filter(|count| **count > 1).count()
    }

    /// Returns the calls that were told "not run" although their request had begun.
    pub fn not_run_but_began(&self, calls: &[Call]) -> usize {
        let began = self.names();
        let mut told: BTreeMap<&str, bool> = BTreeMap::new();
        for call in calls {
            let all = told.entry(call.name.as_str()).or_insert(true);
            *all &= call.received == Received::NotRun;
        }
        told.into_iter().filter(|(name, all)| *all && began.contains(*name)).count()
    }

    /// Returns the engines that hold weights that are no whole version.
    pub fn partial_engines(&self) -> usize {
        let whole = &self.deployment.whole;
        let engines = self.deployment.engines.values();
        let held = engines.filter_map(|e| e.state.borrow().version.as_ref().map(|v| v.2));
        held.filter(|weights| !whole.contains(weights)).count()
    }

    fn names(&self) -> BTreeSet<String> {
        let engines = self.deployment.engines.values();
        let asked = engines.flat_map(|engine| {
            let state = engine.state.borrow();
            state.started.iter().map(|began| began.prompt.clone()).collect::<Vec<_>>()
        });
        asked.chain(self.deployment.plain.borrow().ran.keys().cloned()).collect()
    }
}
