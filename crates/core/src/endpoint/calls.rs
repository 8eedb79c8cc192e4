//! Admission of calls at an endpoint, with deduplication by run id and by key or ticket.

use std::net::SocketAddr;

use super::{Endpoint, Output, Timer};
use crate::{
    declare::{Fleet, Service},
    gate::{RequestEnd, RunId},
    ids::{ClientId, Generation, Incarnation, ServiceId, VersionId, VmId},
    once::{Answer, CallKey, CallOutcome, Handover, KeyedCall, OnceTicket, Verdict},
    proto::{Heartbeat, KeysQuery},
    refusal::{Failure, Reason, Refusal},
    suspect::Fingerprint,
    time::Time,
    units::Span,
};

/// Interval between handover requests to endpoints that have not confirmed.
const HANDOVER_RETRY: Span = Span::millis(300);

/// A call that an entry offers to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OfferedCall {
    /// The identifier of the request, unique across entries.
    pub run_id: RunId,
    /// The incarnation of the endpoint process that the entry addresses.
    pub target_incarnation: Incarnation,
    /// The client account.
    pub client: ClientId,
    /// The service.
    pub service: ServiceId,
    /// The key of a call that must run at most once.
    pub key: Option<CallKey>,
    /// The fingerprint of the request, equal for all copies.
    pub fingerprint: Fingerprint,
}

impl OfferedCall {
    fn keyed(&self) -> Option<KeyedCall<'_>> {
        let key = self.key.as_ref()?;
        Some(KeyedCall { client: &self.client, key, fingerprint: self.fingerprint })
    }
}

/// The state of the engine at the admission of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Admission {
    /// The version that answers the request, `None` for a plain service.
    pub version: Option<VersionId>,
    /// The last recorded incarnation of the engine.
    pub engine_incarnation: u64,
}

/// The decision of an endpoint on a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Hand the call over to the engine.
    Run(Admission),
    /// Return the stored answer of the earlier call with the same key.
    Replay(Answer),
    /// Refuse the call; it does not run.
    Refuse(Refusal),
    /// Report that the outcome of the call is unknown.
    Fail(Failure),
    /// Ignore the message, which is a duplicate.
    Drop,
}

impl Endpoint {
    /// Decides whether a call runs, is answered from the store or is refused.
    pub fn decide_call(&mut self, now: Time, call: &OfferedCall) -> Decision {
        if call.target_incarnation != self.own.incarnation {
            return Decision::Fail(Failure::Unknown);
        }
        if !self.duplicates.insert(&call.run_id) {
            return Decision::Drop;
        }
        if let Some(keyed) = call.keyed() {
            match self.calls.decide(now, keyed) {
                Verdict::Run => {}
                Verdict::Replay(answer) => return Decision::Replay(answer),
                Verdict::Refuse(refusal) => return Decision::Refuse(refusal),
                Verdict::Fail(failure) => return Decision::Fail(failure),
            }
        }
        let admitted =
            self.presence.admit(now).and_then(|()| self.in_flight.admit(call.fingerprint));
        if let Err(refusal) = admitted {
            return Decision::Refuse(refusal);
        }
        match self.admit(now, call.run_id.clone(), &call.service) {
            Ok(version) => {
                self.in_flight.start(call.run_id.clone(), call.fingerprint);
                if let Some(keyed) = call.keyed() {
                    self.calls.begin(now, keyed);
                }
                Decision::Run(Admission {
                    version,
                    engine_incarnation: self.in_flight.engine_incarnation(),
                })
            }
            Err(refusal) => Decision::Refuse(refusal),
        }
    }

    /// Records that the engine crashed while it ran a call, and returns the failure of the call.
    pub fn on_engine_crash(&mut self, now: Time, call: &OfferedCall, incarnation: u64) -> Failure {
        self.in_flight.record_incarnation(now, &self.own.vm, incarnation);
        match self.in_flight.suspects.is_sole_suspect(call.fingerprint) {
            true => Failure::CrashedAlone,
            false => Failure::Crashed,
        }
    }

    /// Records the outcome of a call that was handed over to the engine.
    pub fn on_call_end(
        &mut self,
        now: Time,
        call: &OfferedCall,
        end: CallOutcome,
        request_end: RequestEnd,
    ) {
        self.in_flight.finish(&call.run_id, &end);
        if let Some(keyed) = call.keyed() {
            self.calls.end(now, keyed, end);
        }
        self.finish_request(&call.run_id, request_end);
    }

    /// Issues a ticket for a call that must run at most once, or refuses if no call can run here.
    pub fn issue_ticket(
        &mut self,
        now: Time,
        client: &ClientId,
        service: &ServiceId,
    ) -> Result<OnceTicket, Refusal> {
        let fleet = self.fleet().ok_or(Refusal::new(Reason::Unconfigured))?;
        if fleet.pool_of(&self.own.vm).is_none_or(|pool| pool.service != *service) {
            return Err(Refusal::new(Reason::UnknownService));
        }
        if !self.gate.is_open() {
            return Err(Refusal::new(Reason::Leaving));
        }
        self.calls.issue_ticket(now, client)
    }

    /// Records the crashes that an entry reports in its heartbeat.
    pub fn on_entry_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) {
        for crash in &heartbeat.crashes {
            self.in_flight.suspects.record_crash(now, crash.clone());
        }
    }

    /// Returns the records of calls whose keys another endpoint now owns.
    pub fn handover_for(&mut self, now: Time, query: &KeysQuery) -> Handover {
        self.calls.handover_for(now, &query.vm, &query.members, query.generation)
    }

    /// Imports the records of calls that another endpoint hands over.
    pub fn import_handover(&mut self, now: Time, from: &VmId, handover: Handover) {
        self.calls.import_handover(now, from, handover);
    }

    /// Updates the endpoints that share the keys from the configuration in force.
    pub(super) fn update_key_members(&mut self, now: Time) {
        let Some((members, declared)) = self.key_members() else { return };
        self.calls.adopt(now, self.adopter.generation(), members, &declared);
        if !std::mem::replace(&mut self.handover_pending, true) {
            self.timers.schedule(now, Timer::RequestHandovers);
        }
    }

    /// Requests a handover from each endpoint that has not confirmed the current generation.
    pub(super) fn request_handovers(&mut self, now: Time) {
        let unconfirmed = self.calls.unconfirmed_endpoints();
        self.handover_pending = !unconfirmed.is_empty();
        let (Some(fleet), Some((members, _))) = (self.fleet(), self.key_members()) else { return };
        if !self.handover_pending {
            return;
        }
        let generation: Generation = self.adopter.generation();
        let addr = |vm: &VmId| -> Option<SocketAddr> { Some(fleet.vms.get(vm)?.addr) };
        for (vm, addr) in unconfirmed.iter().filter_map(|vm| Some((vm, addr(vm)?))) {
            let (own, members) = (self.own.vm.clone(), members.clone());
            let query = Box::new(KeysQuery { vm: own, generation, members });
            self.outputs.push(Output::RequestHandover(vm.clone(), addr, query));
        }
        self.timers.schedule(now + HANDOVER_RETRY, Timer::RequestHandovers);
    }

    /// Returns the endpoints in service and all declared ones, `None` for a repeatable service.
    fn key_members(&self) -> Option<(Vec<VmId>, Vec<VmId>)> {
        let fleet = self.fleet()?;
        let service = &fleet.pool_of(&self.own.vm)?.service;
        fleet.services.get(service).filter(|service: &&Service| !service.repeatable)?;
        Some((key_members(&fleet, service), fleet.endpoints(service).map(vm_name).collect()))
    }
}

/// Returns the endpoints that share the keys chosen by callers of a service.
pub fn key_members(fleet: &Fleet, service: &ServiceId) -> Vec<VmId> {
    fleet.endpoints(service).map(vm_name).filter(|vm| fleet.zone_in_service(vm)).collect()
}

fn vm_name(vm: &crate::declare::Vm) -> VmId {
    vm.name.clone()
}
