//! Outcomes of requests at an entry, and the conditions for a second run.

use super::{Arrival, Entry, Output, RequestEvent, RequestKey, RequestState};
use crate::{
    declare::Fleet,
    ids::VmId,
    refusal::{Failure, Reason, Refusal},
    suspect::{Fingerprint, Suspicion},
    time::Time,
    units::Span,
};

/// Retry delay for a suspected request while an identical one is in progress.
const SUSPECT_RETRY_DELAY: Span = Span::secs(1);

impl Entry {
    /// Handles the failure of a request that was handed over to an endpoint.
    pub fn on_failed(&mut self, now: Time, key: RequestKey, failure: Failure) {
        self.release(now, key, false);
        self.record_suspicion(now, key, failure);
        match self.may_rerun(now, key, failure) {
            true => self.rerun(now, key, failure),
            false => self.fail(key, failure),
        }
    }

    /// Refuses a request, or fails it with its first failure if it has run before.
    pub(super) fn refuse(&mut self, key: RequestKey, refusal: Refusal) {
        let failure = self.requests.get(key).and_then(|request| request.failure);
        if let Some(failure) = failure {
            return self.fail(key, failure);
        }
        if self.finish(key, RequestEvent::Refuse) {
            self.outputs.push(Output::Refuse(key, refusal));
        }
    }

    fn fail(&mut self, key: RequestKey, failure: Failure) {
        if self.finish(key, RequestEvent::Fail) {
            self.outputs.push(Output::Fail(key, failure));
        }
    }

    fn record_suspicion(&mut self, now: Time, key: RequestKey, failure: Failure) {
        let Some(request) = self.requests.get(key) else { return };
        let fingerprint = Fingerprint::from(&request.arrival.fingerprint);
        match failure {
            Failure::Crashed => self.suspects.add_suspect(now, fingerprint, false),
            Failure::CrashedAlone => self.suspects.add_suspect(now, fingerprint, true),
            Failure::Cancelled | Failure::Unknown => {}
        }
    }

    /// Returns the endpoints excluded for a request: those tried and, for a suspect, those that run
    /// another suspect.
    pub(super) fn excluded(&self, key: RequestKey) -> Vec<VmId> {
        let Some(request) = self.requests.get(key) else { return vec![] };
        let suspected = |arrival: &Arrival| {
            self.suspects.suspicion(Fingerprint::from(&arrival.fingerprint)) != Suspicion::Clear
        };
        let mut excluded = request.tried.clone();
        if suspected(&request.arrival) {
            let others = self.requests.iter().filter(|(other, _)| *other != key);
            let concurrent = others.filter(|(_, other)| suspected(&other.arrival));
            excluded.extend(concurrent.filter_map(|(_, other)| other.tried.last().cloned()));
        }
        excluded
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn on_deadline(&mut self, now: Time, key: RequestKey) {
        match self.release(now, key, false) {
            Some(_) => self.fail(key, Failure::Unknown),
            None => self.refuse(key, Refusal::new(Reason::Deadline)),
        }
    }

    /// Returns the refusal of a new request that is suspected of crashing engines.
    pub(super) fn refusal_on_arrival(&self, arrival: &Arrival) -> Option<Refusal> {
        match self.suspects.suspicion(Fingerprint::from(&arrival.fingerprint)) {
            Suspicion::Clear => None,
            Suspicion::Blocked => Some(Refusal::new(Reason::Suspect)),
            Suspicion::Suspect => {
                let is_copy = |arrived: &Arrival| arrived.fingerprint == arrival.fingerprint;
                let copy_runs = self.requests.values().any(|request| is_copy(&request.arrival));
                copy_runs.then_some(Refusal::retry_after(Reason::Suspect, SUSPECT_RETRY_DELAY))
            }
        }
    }

    /// Excludes the endpoint that refused a request until its next heartbeat.
    pub(super) fn mark_endpoint_leaving(&mut self, key: RequestKey) {
        if let Some(vm) = self.requests.get(key).and_then(|request| request.tried.last()) {
            self.router.set_leaving(vm, true);
        }
    }

    /// Clears the suspicion against a request that ran to completion.
    pub(super) fn clear_suspicion(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get(key) {
            self.suspects.clear(Fingerprint::from(&request.arrival.fingerprint));
        }
    }

    /// Returns whether a request whose first run failed may run a second time elsewhere.
    fn may_rerun(&mut self, now: Time, key: RequestKey, failure: Failure) -> bool {
        let outcome_known = matches!(failure, Failure::Crashed | Failure::Cancelled);
        let (Some(fleet), Some(request)) = (self.fleet(), self.requests.get(key)) else {
            return false;
        };
        let arrival = &request.arrival;
        outcome_known
            && request.state.state() == RequestState::Offered
            && request.failure.is_none()
            && request.time_left(now).is_some()
            && is_repeatable(&fleet, arrival)
            && !self.suspects.is_sole_suspect(Fingerprint::from(&arrival.fingerprint))
            && self.budget.try_withdraw(&arrival.client)
    }

    /// Drops the state of client accounts and VMs that are no longer declared.
    pub(super) fn forget_undeclared(&mut self) {
        if let Some(fleet) = self.fleet() {
            self.budget.retain(|client| fleet.clients.contains_key(client));
            self.incarnations.retain(|vm, _| fleet.vms.contains_key(vm));
            self.leaving.retain(|vm| fleet.vms.contains_key(vm));
        }
    }

    /// Sends or queues a request for a second run; if neither is possible, it fails with its first
    /// failure.
    fn rerun(&mut self, now: Time, key: RequestKey, failure: Failure) {
        if let Some(request) = self.requests.get_mut(key) {
            request.failure = Some(failure);
        }
        match self.build_send(now, key, true) {
            Ok(output) => self.record_send(now, key, output),
            Err(refusal) => self.enqueue(now, key, refusal),
        }
    }
}

fn is_repeatable(fleet: &Fleet, arrival: &Arrival) -> bool {
    fleet.services.get(&arrival.service).is_some_and(|service| service.repeatable)
}
