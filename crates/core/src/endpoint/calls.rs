//! Calls with keys and tickets at an endpoint.

use std::net::SocketAddr;

use super::{Endpoint, Output, Timer};
use crate::{
    declare::{Fleet, Service},
    gate::{RequestEnd, RunId},
    ids::{ClientId, Generation, Incarnation, ServiceId, VersionId, VmId},
    once::{Answer, CallKey, HandOver, KeyedCall, OnceTicket, RunEnd, Verdict},
    proto::{Heartbeat, KeysQuery},
    refusal::{Failure, Reason, Refusal},
    suspect::Fingerprint,
    time::Time,
    units::Span,
};

/// Pause before an endpoint that has not handed over its keys is asked again.
const KEYS: Span = Span::millis(300);

/// A call as it comes to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offered {
    /// The request.
    pub ticket: RunId,
    /// The incarnation of the endpoint that the entry means.
    pub to: Incarnation,
    /// The client account.
    pub client: ClientId,
    /// The service.
    pub service: ServiceId,
    /// The key of a call that may not be repeated.
    pub key: Option<CallKey>,
    /// The fingerprint, the same for each copy of the request.
    pub print: Fingerprint,
}

impl Offered {
    fn keyed(&self) -> Option<KeyedCall<'_>> {
        let key = self.key.as_ref()?;
        Some(KeyedCall { client: &self.client, key, print: self.print })
    }
}

/// What a request that passes the gate meets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pass {
    /// The version that answers it.
    pub version: Option<VersionId>,
    /// The start of the engine as it was seen last.
    pub engine: u64,
}

/// What an endpoint does with a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Hand it over.
    Run(Pass),
    /// Give the answer of the earlier call with the same key again.
    Replay(Answer),
    /// Say that this call does not run.
    Refuse(Refusal),
    /// Say that the outcome is not known.
    Fail(Failure),
    /// Say nothing: the message is a copy.
    Drop,
}

impl Endpoint {
    /// Decides what becomes of a call.
    pub fn decide(&mut self, now: Time, call: &Offered) -> Decision {
        if call.to != self.own.incarnation {
            return Decision::Fail(Failure::Unknown);
        }
        if !self.seen.is_first(&call.ticket) {
            return Decision::Drop;
        }
        if let Some(keyed) = call.keyed() {
            match self.once.decide(now, keyed) {
                Verdict::Run => {}
                Verdict::Replay(answer) => return Decision::Replay(answer),
                Verdict::Refuse(refusal) => return Decision::Refuse(refusal),
                Verdict::Fail(failure) => return Decision::Fail(failure),
            }
        }
        let admitted = self.presence.admit(now).and_then(|()| self.in_flight.admit(call.print));
        if let Err(refusal) = admitted {
            return Decision::Refuse(refusal);
        }
        match self.ask(now, call.ticket.clone(), &call.service) {
            Ok(version) => {
                self.in_flight.start(call.ticket.clone(), call.print);
                if let Some(keyed) = call.keyed() {
                    self.once.begin(now, keyed);
                }
                Decision::Run(Pass { version, engine: self.in_flight.engine() })
            }
            Err(refusal) => Decision::Refuse(refusal),
        }
    }

    /// Takes note that the engine crashed under a call, and returns how the call failed.
    pub fn engine_crashed(&mut self, now: Time, call: &Offered, engine: u64) -> Failure {
        self.in_flight.look(now, &self.own.vm, engine);
        match self.in_flight.suspects.is_sole_suspect(call.print) {
            true => Failure::CrashedAlone,
            false => Failure::Crashed,
        }
    }

    /// Takes note of how a call that was handed over ended.
    pub fn ended(&mut self, now: Time, call: &Offered, end: RunEnd, engine: RequestEnd) {
        self.in_flight.end(&call.ticket, &end);
        if let Some(keyed) = call.keyed() {
            self.once.end(now, keyed, end);
        }
        self.finished(&call.ticket, engine);
    }

    /// Issues a ticket for a call that may not be repeated.
    pub fn issue(
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
        self.once.issue(now, client)
    }

    /// Takes the state that an entry told.
    pub fn heard(&mut self, now: Time, beat: &Heartbeat) {
        for crash in &beat.crashes {
            self.in_flight.suspects.record_crash(now, crash.clone());
        }
    }

    /// Tells another endpoint which of its keys this process has run or runs.
    pub fn hand_over(&mut self, now: Time, ask: &KeysQuery) -> HandOver {
        self.once.hand_over(now, &ask.vm, &ask.members, ask.generation)
    }

    /// Takes the keys that another endpoint hands over.
    pub fn take_over(&mut self, now: Time, from: &VmId, given: HandOver) {
        self.once.take_over(now, from, given);
    }

    /// Takes the members that share the keys from the set in force.
    pub(super) fn adopt_keys(&mut self, now: Time) {
        let Some((members, declared)) = self.members() else { return };
        self.once.adopt(now, self.adopter.generation(), members, &declared);
        if !std::mem::replace(&mut self.asking, true) {
            self.timers.schedule(now, Timer::Keys);
        }
    }

    /// Asks the endpoints that have not handed over their keys.
    pub(super) fn ask_keys(&mut self, now: Time) {
        let silent = self.once.ask_next();
        self.asking = !silent.is_empty();
        let (Some(fleet), Some((members, _))) = (self.fleet(), self.members()) else { return };
        if !self.asking {
            return;
        }
        let generation: Generation = self.adopter.generation();
        let addr = |vm: &VmId| -> Option<SocketAddr> { Some(fleet.vms.get(vm)?.addr) };
        for (vm, addr) in silent.iter().filter_map(|vm| Some((vm, addr(vm)?))) {
            let (own, members) = (self.own.vm.clone(), members.clone());
            let ask = Box::new(KeysQuery { vm: own, generation, members });
            self.outputs.push(Output::AskKeys(vm.clone(), addr, ask));
        }
        self.timers.schedule(now + KEYS, Timer::Keys);
    }

    /// Returns the endpoints in service and all declared ones, where calls may not be repeated.
    fn members(&self) -> Option<(Vec<VmId>, Vec<VmId>)> {
        let fleet = self.fleet()?;
        let service = &fleet.pool_of(&self.own.vm)?.service;
        fleet.services.get(service).filter(|service: &&Service| !service.repeatable)?;
        Some((key_members(&fleet, service), fleet.endpoints(service).map(named).collect()))
    }
}

/// Returns the endpoints that share the chosen keys of a service.
pub fn key_members(fleet: &Fleet, service: &ServiceId) -> Vec<VmId> {
    fleet.endpoints(service).map(named).filter(|vm| fleet.in_service(vm)).collect()
}

fn named(vm: &crate::declare::Vm) -> VmId {
    vm.name.clone()
}
