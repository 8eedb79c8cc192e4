//! Decisions of an entry process.

mod forecast;
mod keyed;
mod outcome;
mod request;
mod service_queue;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

pub use self::request::{Arrival, RequestEvent, RequestState, URGENCY};
use self::{
    request::{Request, chart},
    service_queue::ServiceQueues,
};
use crate::{
    adopt::{Adopter, Adoption, ConfigInForce},
    budget::RetryBudget,
    chart::Chart,
    declare::{Fleet, Published, Role},
    ids::{Incarnation, RequestId, ServiceId, VmId, ZoneId},
    proto::Heartbeat,
    refusal::{DEFAULT_RETRY_DELAY, Failure, Reason, Refusal},
    route::{Policy, RouteQuery, Router},
    suspect::Suspects,
    time::{Time, Timers},
    units::Span,
    vm_state::VmState,
};

/// Endpoints that a request is offered to before it is refused.
const MAX_OFFERS: usize = 3;

slotmap::new_key_type! {
    /// A request in progress at an entry.
    pub struct RequestKey;
}

/// What the process must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a request to an endpoint.
    Send {
        /// The request.
        request: RequestKey,
        /// Its number on the wire.
        id: RequestId,
        /// The endpoint VM.
        vm: VmId,
        /// Its address.
        addr: SocketAddr,
        /// The incarnation of its process.
        to: Incarnation,
        /// The time left until the deadline.
        left: Span,
    },
    /// Give the caller its final answer: the request did not run.
    Refuse(RequestKey, Refusal),
    /// Give the caller its final answer: the request was handed over and failed.
    Fail(RequestKey, Failure),
    /// Exchange a heartbeat with an endpoint.
    Beat(VmId, SocketAddr),
    /// Close the connection to a VM; the next one uses a new local port.
    Close(VmId),
}

#[derive(Clone, Debug)]
enum Timer {
    Beat(VmId),
    Deadline(RequestKey),
    Pass(ServiceId),
}

/// Who an entry is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The VM.
    pub vm: VmId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The time between two heartbeats on a connection.
    pub heartbeat: Span,
    /// How endpoints are chosen.
    pub policy: Policy,
}

/// The state and the decisions of an entry process.
#[derive(Debug)]
pub struct Entry {
    own: Identity,
    adopter: Adopter,
    router: Router,
    queues: ServiceQueues,
    requests: SlotMap<RequestKey, Request>,
    chart: Arc<Chart<RequestState, RequestEvent>>,
    timers: Timers<Timer>,
    beating: BTreeMap<VmId, Time>,
    incarnations: BTreeMap<VmId, Incarnation>,
    leaving: BTreeSet<VmId>,
    suspects: Suspects,
    budget: RetryBudget,
    outputs: Vec<Output>,
    last: RequestId,
    rng: SmallRng,
}

impl Entry {
    /// Returns an entry that knows nothing yet.
    pub fn new(own: Identity, seed: u64) -> Self {
        let router = Router::new(own.zone.clone(), own.policy);
        Self {
            own,
            adopter: Adopter::default(),
            router,
            queues: ServiceQueues::new(),
            requests: SlotMap::with_key(),
            chart: Arc::new(chart()),
            timers: Timers::default(),
            beating: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            leaving: BTreeSet::new(),
            suspects: Suspects::default(),
            budget: RetryBudget::default(),
            outputs: vec![],
            last: RequestId::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes a published set if it is newer and sound.
    pub fn offer(&mut self, now: Time, published: Arc<Published>) -> Adoption {
        let outcome = self.adopter.offer(published);
        if matches!(outcome, Adoption::Adopted(_)) {
            self.start_beats(now);
            self.forget_withdrawn();
        }
        outcome
    }

    /// Takes the platform's list of VMs; one that it no longer names stays as it was.
    pub fn list(&mut self, list: &BTreeMap<VmId, VmState>) {
        for (vm, state) in list {
            let leaving = *state == VmState::Leaving;
            if leaving {
                self.leaving.insert(vm.clone())
            } else {
                self.leaving.remove(vm)
            };
            self.router.set_leaving(vm, leaving);
        }
    }

    /// Takes the state that a peer told.
    pub fn heard(&mut self, now: Time, beat: Heartbeat) {
        for crash in beat.crashes {
            self.suspects.record_crash(now, crash);
        }
        self.incarnations.insert(beat.vm.clone(), beat.incarnation);
        if let Some(load) = beat.load {
            self.router.record_load(now, &beat.vm, load);
            self.router.set_leaving(&beat.vm, self.leaving.contains(&beat.vm));
            self.pass_all(now);
        }
    }

    /// Takes note that a peer did not answer its heartbeat.
    pub fn silent(&mut self, vm: &VmId) {
        self.router.remove_endpoint(vm);
        self.outputs.push(Output::Close(vm.clone()));
    }

    /// Takes a request; its first output follows.
    pub fn arrive(&mut self, now: Time, arrival: Arrival) -> RequestKey {
        let deadline = now + arrival.timeout;
        self.budget.deposit(&arrival.client);
        let held = self.refusal_on_arrival(&arrival);
        let key = self.requests.insert_with_key(|key| {
            let timer = self.timers.schedule(deadline, Timer::Deadline(key));
            Request::new(arrival, now, self.chart.clone(), timer)
        });
        match held {
            Some(refusal) => self.refuse(key, refusal),
            None => {
                self.send(now, key, Refusal::retry_after(Reason::NoEndpoint, DEFAULT_RETRY_DELAY))
            }
        }
        key
    }

    /// Takes note that an endpoint refused a request.
    pub fn refused(&mut self, now: Time, key: RequestKey, refusal: Refusal) {
        let freed = self.freed(now, key, false);
        if refusal.reason == Reason::Leaving {
            self.mark_leaving(key);
        }
        if refusal == Refusal::new(Reason::Suspect) {
            return self.refuse(key, refusal);
        }
        if let Some(vm) = freed.filter(|_| refusal.reason == Reason::Overload) {
            self.router.mark_full(&vm);
        }
        self.send(now, key, refusal);
    }

    /// Takes note that the answer to a request has begun.
    pub fn started(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(key) {
            request.state.apply(RequestEvent::Start);
        }
    }

    /// Takes note that a request has its whole answer.
    pub fn ended(&mut self, now: Time, key: RequestKey) {
        self.clear_suspicion(key);
        self.freed(now, key, true);
        self.end(key, RequestEvent::End);
    }

    /// Takes note that the caller of a request has gone.
    pub fn left(&mut self, now: Time, key: RequestKey) {
        self.freed(now, key, false);
        self.end(key, RequestEvent::Leave);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) {
        self.suspects.expire(now);
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Beat(vm) => self.send_beat(now, vm),
                Timer::Deadline(key) => self.out_of_time(now, key),
                Timer::Pass(service) => self.pass(now, &service),
            }
        }
    }

    /// Returns the time of the next tick.
    pub fn next_time(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// Returns what the process must do now.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&ConfigInForce> {
        self.adopter.in_force()
    }

    /// Returns the state that this process tells its peers.
    pub fn beat(&self) -> Heartbeat {
        Heartbeat {
            vm: self.own.vm.clone(),
            incarnation: self.own.incarnation,
            generation: self.adopter.generation(),
            load: None,
            crashes: self.suspects.recent_crashes(),
            demand: 0,
        }
    }

    /// Returns the state that this process tells an endpoint.
    pub fn beat_to(&self, vm: &VmId) -> Heartbeat {
        let want = self.fleet().map_or(0, |fleet| self.want(&fleet, vm));
        Heartbeat { demand: want, ..self.beat() }
    }

    /// Returns the requests that wait for an endpoint.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.items.len()).sum()
    }

    /// Returns the service that a request in progress asks for.
    pub fn service(&self, key: RequestKey) -> Option<&ServiceId> {
        self.arrival(key).map(|arrival| &arrival.service)
    }

    /// Returns a request in progress as it came.
    pub fn arrival(&self, key: RequestKey) -> Option<&Arrival> {
        self.requests.get(key).map(|request| &request.arrival)
    }

    /// Returns what is known of the endpoints.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    fn fleet(&self) -> Option<Arc<Fleet>> {
        self.adopter.in_force().map(|now| now.fleet.clone())
    }

    /// Offers a request to the next endpoint, or refuses it with the last refusal.
    fn send(&mut self, now: Time, key: RequestKey, last: Refusal) {
        let Some(request) = self.requests.get(key) else { return };
        if request.tried.len() >= MAX_OFFERS {
            return self.wait(now, key, last);
        }
        if self.others_wait(&request.arrival) {
            return self.wait(now, key, Refusal::new(Reason::Overload));
        }
        let owner_refused = request.arrival.key.is_some() && !request.tried.is_empty();
        match self.choose(now, key, true) {
            Ok(output) => self.sent(now, key, output),
            Err(_) if owner_refused => self.refuse(key, last),
            Err(refusal) => self.wait(now, key, refusal),
        }
    }

    fn choose(&mut self, now: Time, key: RequestKey, borrow: bool) -> Result<Output, Refusal> {
        let fleet =
            self.fleet().ok_or(Refusal::retry_after(Reason::Unconfigured, DEFAULT_RETRY_DELAY))?;
        let request = self.requests.get(key).ok_or(Refusal::new(Reason::Leaving))?;
        let left = request.left(now).ok_or(Refusal::new(Reason::Deadline))?;
        let vm = match &request.arrival.key {
            Some(key) => {
                let service = &request.arrival.service;
                let vm = self.choose_keyed(&fleet, service, key, &request.tried)?;
                self.router.record_sent(&vm);
                vm
            }
            None => {
                let tried = self.avoided(key);
                let (service, client) = (&request.arrival.service, &request.arrival.client);
                let query = RouteQuery { now, service, client, tried: &tried, borrow };
                self.router.choose(&fleet, query, &mut self.rng)?
            }
        };
        let addr = fleet.vms.get(&vm).map(|vm| vm.addr).ok_or(Refusal::new(Reason::NoEndpoint))?;
        let to = self.incarnations.get(&vm).copied().unwrap_or_default();
        if let Some(request) = self.requests.get_mut(key) {
            request.tried.push(vm.clone());
        }
        self.last = self.last.next();
        Ok(Output::Send { request: key, id: self.last, vm, addr, to, left })
    }

    fn end(&mut self, key: RequestKey, event: RequestEvent) -> bool {
        let Some(request) = self.requests.get_mut(key) else { return false };
        let ended = request.state.apply(event);
        if ended && let Some(request) = self.requests.remove(key) {
            self.timers.cancel(request.timer);
        }
        ended
    }

    fn pass_all(&mut self, now: Time) {
        let services: Vec<ServiceId> = self.queues.keys().cloned().collect();
        services.iter().for_each(|service| self.pass(now, service));
    }

    fn start_beats(&mut self, now: Time) {
        let Some(fleet) = self.fleet() else { return };
        let endpoints = fleet.vms.values().filter(|vm| matches!(vm.role, Role::Endpoint(_)));
        for vm in endpoints {
            if self.beating.insert(vm.name.clone(), now).is_none() {
                self.timers.schedule(now, Timer::Beat(vm.name.clone()));
            }
        }
    }

    fn send_beat(&mut self, now: Time, vm: VmId) {
        let Some(addr) = self.fleet().and_then(|fleet| Some(fleet.vms.get(&vm)?.addr)) else {
            self.beating.remove(&vm);
            self.router.remove_endpoint(&vm);
            return;
        };
        self.timers.schedule(now + self.own.heartbeat, Timer::Beat(vm.clone()));
        self.outputs.push(Output::Beat(vm, addr));
    }
}
