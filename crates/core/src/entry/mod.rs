//! State machine of an entry process: events in, actions for the process out.

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

pub use self::request::{Arrival, DEFAULT_URGENCY, RequestEvent, RequestState};
use self::{
    request::{Request, chart},
    service_queue::ServiceQueues,
};
use crate::{
    adopt::{Adopter, Adoption, ConfigInForce},
    budget::RetryBudget,
    chart::Chart,
    declare::{Fleet, PublishedSet, Role},
    ids::{Incarnation, RequestId, ServiceId, VmId, ZoneId},
    proto::Heartbeat,
    refusal::{DEFAULT_RETRY_DELAY, Failure, Reason, Refusal},
    route::{Policy, RouteQuery, Router},
    suspect::Suspects,
    time::{Time, Timers},
    units::Span,
    vm_state::VmState,
};

/// Maximum number of endpoints that a request is offered to before it is queued or refused.
const MAX_OFFERS: usize = 3;

slotmap::new_key_type! {
    /// A request in progress at an entry.
    pub struct RequestKey;
}

/// An action that the process must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a request to an endpoint.
    Send {
        /// The request.
        request: RequestKey,
        /// The request number in messages to the endpoint.
        id: RequestId,
        /// The endpoint VM.
        vm: VmId,
        /// The address of the endpoint.
        addr: SocketAddr,
        /// The incarnation of the endpoint process that the entry addresses.
        target_incarnation: Incarnation,
        /// The time left until the deadline.
        left: Span,
    },
    /// Answer the caller that the request did not run.
    Refuse(RequestKey, Refusal),
    /// Answer the caller that the request was handed over to an endpoint and failed.
    Fail(RequestKey, Failure),
    /// Exchange a heartbeat with an endpoint.
    SendHeartbeat(VmId, SocketAddr),
    /// Close the connection to a VM; the next one uses a new local port.
    CloseConnection(VmId),
}

#[derive(Clone, Debug)]
enum Timer {
    Heartbeat(VmId),
    Deadline(RequestKey),
    ServeQueue(ServiceId),
}

/// The identity and the local settings of an entry process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub zone: ZoneId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The time between two heartbeats to the same endpoint.
    pub heartbeat: Span,
    /// The policy for choosing endpoints.
    pub policy: Policy,
}

/// The state machine of an entry process.
#[derive(Debug)]
pub struct Entry {
    own: Identity,
    adopter: Adopter,
    router: Router,
    queues: ServiceQueues,
    requests: SlotMap<RequestKey, Request>,
    chart: Arc<Chart<RequestState, RequestEvent>>,
    timers: Timers<Timer>,
    heartbeats: BTreeMap<VmId, Time>,
    incarnations: BTreeMap<VmId, Incarnation>,
    leaving: BTreeSet<VmId>,
    suspects: Suspects,
    budget: RetryBudget,
    outputs: Vec<Output>,
    last_id: RequestId,
    rng: SmallRng,
}

impl Entry {
    /// Returns an entry without a configuration; `seed` makes its random choices reproducible.
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
            heartbeats: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            leaving: BTreeSet::new(),
            suspects: Suspects::default(),
            budget: RetryBudget::default(),
            outputs: vec![],
            last_id: RequestId::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adopts a published configuration if it is newer than the one in force and valid.
    pub fn offer_config(&mut self, now: Time, published: Arc<PublishedSet>) -> Adoption {
        let outcome = self.adopter.offer(published);
        if matches!(outcome, Adoption::Adopted(_)) {
            self.start_heartbeats(now);
            self.forget_undeclared();
        }
        outcome
    }

    /// Applies the platform's list of VMs; a VM that is not listed keeps its last state.
    pub fn update_vms(&mut self, list: &BTreeMap<VmId, VmState>) {
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

    /// Handles the heartbeat of a peer.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) {
        for crash in heartbeat.crashes {
            self.suspects.record_crash(now, crash);
        }
        self.incarnations.insert(heartbeat.vm.clone(), heartbeat.incarnation);
        if let Some(load) = heartbeat.load {
            self.router.record_load(now, &heartbeat.vm, load);
            self.router.set_leaving(&heartbeat.vm, self.leaving.contains(&heartbeat.vm));
            self.serve_queues(now);
        }
    }

    /// Handles a heartbeat that a peer did not answer in time.
    pub fn on_heartbeat_timeout(&mut self, vm: &VmId) {
        self.router.remove_endpoint(vm);
        self.outputs.push(Output::CloseConnection(vm.clone()));
    }

    /// Accepts a request; the action for it is in the next outputs unless the request is queued.
    pub fn on_arrival(&mut self, now: Time, arrival: Arrival) -> RequestKey {
        let deadline = now + arrival.timeout;
        self.budget.deposit(&arrival.client);
        let refusal = self.refusal_on_arrival(&arrival);
        let key = self.requests.insert_with_key(|key| {
            let timer = self.timers.schedule(deadline, Timer::Deadline(key));
            Request::new(arrival, now, self.chart.clone(), timer)
        });
        match refusal {
            Some(refusal) => self.refuse(key, refusal),
            None => self.dispatch(
                now,
                key,
                Refusal::retry_after(Reason::NoEndpoint, DEFAULT_RETRY_DELAY),
            ),
        }
        key
    }

    /// Handles the refusal of a request by an endpoint.
    pub fn on_refused(&mut self, now: Time, key: RequestKey, refusal: Refusal) {
        let released_from = self.release(now, key, false);
        if refusal.reason == Reason::Leaving {
            self.mark_endpoint_leaving(key);
        }
        if refusal == Refusal::new(Reason::Suspect) {
            return self.refuse(key, refusal);
        }
        if let Some(vm) = released_from.filter(|_| refusal.reason == Reason::Overload) {
            self.router.mark_full(&vm);
        }
        self.dispatch(now, key, refusal);
    }

    /// Records that the answer to a request has begun.
    pub fn on_started(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(key) {
            request.state.apply(RequestEvent::Start);
        }
    }

    /// Records that a request has its complete answer.
    pub fn on_completed(&mut self, now: Time, key: RequestKey) {
        self.clear_suspicion(key);
        self.release(now, key, true);
        self.finish(key, RequestEvent::End);
    }

    /// Drops a request whose caller has disconnected.
    pub fn on_caller_gone(&mut self, now: Time, key: RequestKey) {
        self.release(now, key, false);
        self.finish(key, RequestEvent::Leave);
    }

    /// Handles the timers that are due.
    pub fn tick(&mut self, now: Time) {
        self.suspects.expire(now);
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Heartbeat(vm) => self.send_heartbeat(now, vm),
                Timer::Deadline(key) => self.on_deadline(now, key),
                Timer::ServeQueue(service) => self.serve_queue(now, &service),
            }
        }
    }

    /// Returns the time of the next tick.
    pub fn next_time(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// Takes the actions that the process must carry out now.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&ConfigInForce> {
        self.adopter.in_force()
    }

    /// Returns the heartbeat that this process sends to its peers.
    pub fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            vm: self.own.vm.clone(),
            incarnation: self.own.incarnation,
            generation: self.adopter.generation(),
            load: None,
            crashes: self.suspects.recent_crashes(),
            demand: 0,
        }
    }

    /// Returns the heartbeat for an endpoint, with the demand for its service.
    pub fn heartbeat_for(&self, vm: &VmId) -> Heartbeat {
        let demand = self.fleet().map_or(0, |fleet| self.demand(&fleet, vm));
        Heartbeat { demand, ..self.heartbeat() }
    }

    /// Returns the number of requests that wait for an endpoint.
    pub fn waiting_count(&self) -> usize {
        self.queues.values().map(|queue| queue.items.len()).sum()
    }

    /// Returns the service of a request in progress.
    pub fn service(&self, key: RequestKey) -> Option<&ServiceId> {
        self.arrival(key).map(|arrival| &arrival.service)
    }

    /// Returns a request in progress as it arrived.
    pub fn arrival(&self, key: RequestKey) -> Option<&Arrival> {
        self.requests.get(key).map(|request| &request.arrival)
    }

    /// Returns the router, which holds the known state of the endpoints.
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

    /// Offers a request to the next endpoint, or queues or refuses it if there is none.
    fn dispatch(&mut self, now: Time, key: RequestKey, last_refusal: Refusal) {
        let Some(request) = self.requests.get(key) else { return };
        if request.tried.len() >= MAX_OFFERS {
            return self.enqueue(now, key, last_refusal);
        }
        if self.has_waiters(&request.arrival) {
            return self.enqueue(now, key, Refusal::new(Reason::Overload));
        }
        let owner_refused = request.arrival.key.is_some() && !request.tried.is_empty();
        match self.build_send(now, key, true) {
            Ok(output) => self.record_send(now, key, output),
            Err(_) if owner_refused => self.refuse(key, last_refusal),
            Err(refusal) => self.enqueue(now, key, refusal),
        }
    }

    fn build_send(&mut self, now: Time, key: RequestKey, borrow: bool) -> Result<Output, Refusal> {
        let fleet =
            self.fleet().ok_or(Refusal::retry_after(Reason::Unconfigured, DEFAULT_RETRY_DELAY))?;
        let request = self.requests.get(key).ok_or(Refusal::new(Reason::Leaving))?;
        let left = request.time_left(now).ok_or(Refusal::new(Reason::Deadline))?;
        let vm = match &request.arrival.key {
            Some(key) => {
                let service = &request.arrival.service;
                let vm = self.choose_keyed(&fleet, service, key, &request.tried)?;
                self.router.record_sent(&vm);
                vm
            }
            None => {
                let excluded = self.excluded(key);
                let (service, client) = (&request.arrival.service, &request.arrival.client);
                let query = RouteQuery { now, service, client, tried: &excluded, borrow };
                self.router.choose(&fleet, query, &mut self.rng)?
            }
        };
        let addr = fleet.vms.get(&vm).map(|vm| vm.addr).ok_or(Refusal::new(Reason::NoEndpoint))?;
        let target_incarnation = self.incarnations.get(&vm).copied().unwrap_or_default();
        if let Some(request) = self.requests.get_mut(key) {
            request.tried.push(vm.clone());
        }
        self.last_id = self.last_id.next();
        Ok(Output::Send { request: key, id: self.last_id, vm, addr, target_incarnation, left })
    }

    fn finish(&mut self, key: RequestKey, event: RequestEvent) -> bool {
        let Some(request) = self.requests.get_mut(key) else { return false };
        let ended = request.state.apply(event);
        if ended && let Some(request) = self.requests.remove(key) {
            self.timers.cancel(request.timer);
        }
        ended
    }

    fn serve_queues(&mut self, now: Time) {
        let services: Vec<ServiceId> = self.queues.keys().cloned().collect();
        services.iter().for_each(|service| self.serve_queue(now, service));
    }

    fn start_heartbeats(&mut self, now: Time) {
        let Some(fleet) = self.fleet() else { return };
        let endpoints = fleet.vms.values().filter(|vm| matches!(vm.role, Role::Endpoint(_)));
        for vm in endpoints {
            if self.heartbeats.insert(vm.name.clone(), now).is_none() {
                self.timers.schedule(now, Timer::Heartbeat(vm.name.clone()));
            }
        }
    }

    fn send_heartbeat(&mut self, now: Time, vm: VmId) {
        let Some(addr) = self.fleet().and_then(|fleet| Some(fleet.vms.get(&vm)?.addr)) else {
            self.heartbeats.remove(&vm);
            self.router.remove_endpoint(&vm);
            return;
        };
        self.timers.schedule(now + self.own.heartbeat, Timer::Heartbeat(vm.clone()));
        self.outputs.push(Output::SendHeartbeat(vm, addr));
    }
}
