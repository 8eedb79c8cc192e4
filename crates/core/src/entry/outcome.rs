//! How requests end at an entry, and when one may be run once more.

use super::{Arrival, Entry, Output, RequestEvent, RequestKey, RequestState};
use crate::{
    declare::Fleet,
    ids::VmId,
    refusal::{Failure, Reason, Refusal},
    suspect::{Fingerprint, Suspicion},
    time::Time,
    units::Span,
};

/// The time after which a suspected request may come again while a copy of it runs.
const RETRY: Span = Span::secs(1);

impl Entry {
    /// Takes note that a request was handed over and failed.
    pub fn failed(&mut self, now: Time, key: RequestKey, failure: Failure) {
        self.freed(now, key, false);
        self.suspect(now, key, failure);
        match self.may_rerun(now, key, failure) {
            true => self.rerun(now, key, failure),
            false => self.fail(key, failure),
        }
    }

    /// Gives a request that has not run its final answer; one that ran before has failed.
    pub(super) fn refuse(&mut self, key: RequestKey, refusal: Refusal) {
        let failure = self.requests.get(key).and_then(|request| request.failure);
        if let Some(failure) = failure {
            return self.fail(key, failure);
        }
        if self.end(key, RequestEvent::Refuse) {
            self.outputs.push(Output::Refuse(key, refusal));
        }
    }

    fn fail(&mut self, key: RequestKey, failure: Failure) {
        if self.end(key, RequestEvent::Fail) {
            self.outputs.push(Output::Fail(key, failure));
        }
    }

    fn suspect(&mut self, now: Time, key: RequestKey, failure: Failure) {
        let Some(request) = self.requests.get(key) else { return };
        let print = Fingerprint::from(&request.arrival.print);
        match failure {
            Failure::Crashed => self.suspects.add_suspect(now, print, false),
            Failure::CrashedAlone => self.suspects.add_suspect(now, print, true),
            Failure::Cancelled | Failure::Unknown => {}
        }
    }

    /// Returns the endpoints that a request must not run at: those tried, and beside other suspects.
    pub(super) fn avoided(&self, key: RequestKey) -> Vec<VmId> {
        let Some(request) = self.requests.get(key) else { return vec![] };
        let suspected = |arrival: &Arrival| {
            self.suspects.suspicion(Fingerprint::from(&arrival.print)) != Suspicion::Clear
        };
        let mut avoided = request.tried.clone();
        if suspected(&request.arrival) {
            let others = self.requests.iter().filter(|(other, _)| *other != key);
            let beside = others.filter(|(_, other)| suspected(&other.arrival));
            avoided.extend(beside.filter_map(|(_, other)| other.tried.last().cloned()));
        }
        avoided
    }

    /// Gives a request whose deadline has passed its final answer.
    pub(super) fn out_of_time(&mut self, now: Time, key: RequestKey) {
        match self.freed(now, key, false) {
            Some(_) => self.fail(key, Failure::Unknown),
            None => self.refuse(key, Refusal::new(Reason::Deadline)),
        }
    }

    /// Returns why a request is refused on arrival for the crashes that it is suspected of.
    pub(super) fn refusal_on_arrival(&self, arrival: &Arrival) -> Option<Refusal> {
        match self.suspects.suspicion(Fingerprint::from(&arrival.print)) {
            Suspicion::Clear => None,
            Suspicion::Blocked => Some(Refusal::new(Reason::Suspect)),
            Suspicion::Suspect => {
                let same = |arrived: &Arrival| arrived.print == arrival.print;
                let copy = self.requests.values().any(|request| same(&request.arrival));
                copy.then_some(Refusal::retry_after(Reason::Suspect, RETRY))
            }
        }
    }

    /// Offers nothing more to the endpoint that refused a request until it tells its state again.
    pub(super) fn mark_leaving(&mut self, key: RequestKey) {
        if let Some(vm) = self.requests.get(key).and_then(|request| request.tried.last()) {
            self.router.set_leaving(vm, true);
        }
    }

    /// Takes back what is held against a request that ran to its end.
    pub(super) fn clear_suspicion(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get(key) {
            self.suspects.clear(Fingerprint::from(&request.arrival.print));
        }
    }

    /// Returns whether a request whose first run has ended may be run once more elsewhere.
    fn may_rerun(&mut self, now: Time, key: RequestKey, failure: Failure) -> bool {
        let known = matches!(failure, Failure::Crashed | Failure::Cancelled);
        let (Some(fleet), Some(request)) = (self.fleet(), self.requests.get(key)) else {
            return false;
        };
        let arrival = &request.arrival;
        known
            && request.state.state() == RequestState::Offered
            && request.failure.is_none()
            && request.left(now).is_some()
            && is_repeatable(&fleet, arrival)
            && !self.suspects.is_sole_suspect(Fingerprint::from(&arrival.print))
            && self.budget.try_withdraw(&arrival.client)
    }

    /// Forgets client accounts and VMs that are no longer declared.
    pub(super) fn forget_withdrawn(&mut self) {
        if let Some(fleet) = self.fleet() {
            self.budget.retain(|client| fleet.clients.contains_key(client));
            self.incarnations.retain(|vm, _| fleet.vms.contains_key(vm));
            self.leaving.retain(|vm| fleet.vms.contains_key(vm));
        }
    }

    /// Runs a request once more, or lets it wait; where it does neither, its first failure is told.
    fn rerun(&mut self, now: Time, key: RequestKey, failure: Failure) {
        if let Some(request) = self.requests.get_mut(key) {
            request.failure = Some(failure);
        }
        match self.choose(now, key, true) {
            Ok(output) => self.sent(now, key, output),
            Err(refusal) => self.wait(now, key, refusal),
        }
    }
}

fn is_repeatable(fleet: &Fleet, arrival: &Arrival) -> bool {
    fleet.services.get(&arrival.service).is_some_and(|service| service.repeatable)
}
