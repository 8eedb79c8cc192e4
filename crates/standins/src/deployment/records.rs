//! Checks the records of the simulated services against the outcomes that callers saw.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use sequoiahold_core::ids::{VmId, ZoneId};

use super::Deployment;
use crate::callers::{Call, Outcome};

/// A view of what the simulated engines and plain services have recorded.
#[derive(Clone, Copy)]
pub struct Records<'a> {
    deployment: &'a Deployment,
}

impl<'a> Records<'a> {
    pub(super) fn new(deployment: &'a Deployment) -> Self {
        Self { deployment }
    }

    /// Counts the requests that the engines of a zone started from `from` until before `to`.
    pub fn count_started_in_zone(&self, zone: &ZoneId, from: Instant, to: Instant) -> usize {
        let vms = &self.deployment.plan.fleet.vms;
        let in_zone = |vm: &&VmId| vms[*vm].zone == *zone;
        let engines = self.deployment.engines.keys().filter(in_zone);
        engines.map(|vm| self.count_started(vm, from, to)).sum()
    }

    /// Counts the requests that the engine of `vm` started from `from` until before `to`.
    pub fn count_started(&self, vm: &VmId, from: Instant, to: Instant) -> usize {
        let state = self.deployment.engines[vm].state.borrow();
        state.started.iter().filter(|r| r.at >= from && r.at < to).count()
    }

    /// Returns the VM of each request started in a zone at or after `since`, with the delay.
    pub fn started_in_zone_since(&self, zone: &ZoneId, since: Instant) -> Vec<(VmId, Duration)> {
        let vms = &self.deployment.plan.fleet.vms;
        let engines = self.deployment.engines.iter().filter(|(vm, _)| vms[*vm].zone == *zone);
        let late = engines.flat_map(|(vm, engine)| {
            let state = engine.state.borrow();
            let started = state.started.iter().filter(|request| request.at >= since);
            started.map(|request| (vm.clone(), request.at - since)).collect::<Vec<_>>()
        });
        late.collect()
    }

    /// Counts the requests that engines received above their concurrency limit.
    pub fn overloads(&self) -> u64 {
        self.deployment.engines.values().map(|e| e.state.borrow().overloads).sum()
    }

    /// Returns, for each engine, the delays between its sudden loss of warm state and each
    /// overload that followed.
    pub fn overload_delays(&self) -> Vec<Vec<Duration>> {
        let engines = self.deployment.engines.values();
        engines.map(|engine| engine.state.borrow().overload_delays.clone()).collect()
    }

    /// Counts the orders that ran more than once.
    pub fn repeated_orders(&self) -> usize {
        self.deployment.plain_state.borrow().order_runs.values().filter(|count| **count > 1).count()
    }

    /// Counts the requests that ran although every call for them was refused as "not run".
    pub fn refused_but_started(&self, calls: &[Call]) -> usize {
        let started = self.started_names();
        let mut by_name: BTreeMap<&str, bool> = BTreeMap::new();
        for call in calls {
            let all_refused = by_name.entry(call.name.as_str()).or_insert(true);
            *all_refused &= call.outcome == Outcome::NotRun;
        }
        by_name.into_iter().filter(|(name, refused)| *refused && started.contains(*name)).count()
    }

    /// Counts the engines whose loaded weights are not the complete weights of a version.
    pub fn partial_engines(&self) -> usize {
        let complete = &self.deployment.fingerprints;
        let engines = self.deployment.engines.values();
        let loaded = engines.filter_map(|e| e.state.borrow().version.as_ref().map(|v| v.2));
        loaded.filter(|weights| !complete.contains(weights)).count()
    }

    fn started_names(&self) -> BTreeSet<String> {
        let engines = self.deployment.engines.values();
        let prompts = engines.flat_map(|engine| {
            let state = engine.state.borrow();
            state.started.iter().map(|request| request.prompt.clone()).collect::<Vec<_>>()
        });
        prompts.chain(self.deployment.plain_state.borrow().order_runs.keys().cloned()).collect()
    }
}
