//! Dispatches requests to endpoints, queues them or refuses them.

mod grant;
mod notices;
mod rate_limits;
mod versions;

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use rand::Rng;
use slotmap::{SlotMap, new_key_type};

pub use self::grant::Grant;
use self::rate_limits::Outlook;
use super::{
    admission::{Admission, Priority, Reserve, Urgency},
    catalog::{Catalog, EngineSpec},
    cells::{Cells, Relation},
    endpoint_notices::EndpointNotices,
    endpoint_state::{AttemptOutcome, EndpointState, InFlightLoad},
    load_exchange::LocalLoad,
    placement::{
        can_serve, first_event_ms, is_sampled, max_retry_delay, max_send_rate, meets_objective,
        prefill_ms, queue_deadline, retry_delay, score,
    },
    view::{TargetVersions, View},
    wait_queue::{QueueEntry, TicketKey, WaitQueue},
};
use crate::{
    ids::{ClientId, InstanceId, ModelId, RegionId, ServiceId, ZoneId},
    refusal::{Reason, Refusal},
    time::Time,
    units::Span,
};

/// Window over which completions are counted to estimate the queueing time.
const COMPLETION_WINDOW: Span = Span::secs(2);

new_key_type! {
    /// Identifies an endpoint within the scheduler.
    pub struct EndpointKey;
}

/// Location of this gateway and the limits that it enforces.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The zone of this gateway.
    pub zone: ZoneId,
    /// The region of each zone.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// Time within which a newly announced version must be in use.
    pub rollout_time: Span,
    /// Factor on the rate that a cold endpoint can serve.
    pub cold_factor: f64,
    /// Requests per second allowed in addition to that rate.
    pub cold_extra: f64,
    /// Whether endpoints get requests at the pace that their answers show.
    pub pace: bool,
}

impl SchedulerConfig {
    fn rollout_span(&self, fraction: f64) -> Span {
        Span((self.rollout_time.0 as f64 * fraction) as u64)
    }
}

/// A request to be placed at an endpoint.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The service.
    pub service: ServiceId,
    /// The client account.
    pub account: Option<ClientId>,
    /// The priority of its account and route.
    pub priority: Priority,
    /// The regions in which it may be served, `None` for all.
    pub regions: Option<BTreeSet<RegionId>>,
    /// The model.
    pub model: Option<ModelId>,
    /// Prompt tokens and expected answer tokens.
    pub tokens: (u32, u32),
    /// Time after which the answer, or the first event of a stream, counts as late.
    pub objective: Time,
    /// Time at which the caller gives up.
    pub deadline: Time,
    /// The endpoints of earlier attempts.
    pub tried: Vec<EndpointKey>,
    /// Whether endpoints with recent failures are excluded.
    pub healthy_only: bool,
}

impl PlacementRequest {
    /// Returns how urgent the request is at `now`.
    pub fn urgency(&self, now: Time) -> Urgency {
        Urgency { late: self.objective <= now, priority: self.priority }
    }
}

/// What happens to a submitted request.
#[derive(Debug)]
pub enum Decision {
    /// It is sent to an endpoint.
    Dispatch(Grant),
    /// It is queued.
    Wait(TicketKey),
    /// It is refused.
    Refuse(Refusal),
}

#[derive(Debug, Default)]
struct ServiceQueue {
    waiting: WaitQueue<Rc<PlacementRequest>>,
    admission: Admission,
    completions: std::collections::VecDeque<Time>,
    refused: u64,
    /// When the last caller that a rate limit refused was told to return.
    last_return: Time,
}

/// The endpoints and queued requests of one gateway.
#[derive(Debug)]
pub struct Scheduler {
    config: SchedulerConfig,
    endpoints: SlotMap<EndpointKey, EndpointState>,
    by_instance: BTreeMap<InstanceId, EndpointKey>,
    queues: BTreeMap<ServiceId, ServiceQueue>,
    specs: BTreeMap<ServiceId, Rc<ServiceSpec>>,
    targets: BTreeMap<ModelId, TargetVersions>,
    gateways: usize,
    outside: BTreeMap<ServiceId, usize>,
    /// Whether an endpoint has answered, after which a new instance counts as started.
    has_answers: bool,
    cells: Cells,
    notices: EndpointNotices,
}

/// The published properties of a service that placement depends on.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceSpec {
    pub(super) cold_rate: Option<f64>,
    pub(super) engine: Option<EngineSpec>,
}

impl Scheduler {
    /// Returns a scheduler without endpoints.
    pub fn new(config: SchedulerConfig) -> Self {
        Self {
            config,
            endpoints: SlotMap::with_key(),
            by_instance: BTreeMap::new(),
            queues: BTreeMap::new(),
            specs: BTreeMap::new(),
            targets: BTreeMap::new(),
            gateways: 1,
            outside: BTreeMap::new(),
            has_answers: false,
            cells: Cells::default(),
            notices: EndpointNotices::default(),
        }
    }

    /// Sets how many gateways may send to the same endpoints.
    pub fn set_gateway_count(&mut self, gateways: usize) {
        self.gateways = gateways.max(1);
    }

    /// Returns the endpoints and their state.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &EndpointState)> {
        self.endpoints.iter()
    }

    /// Returns the endpoints as the exchange of loads sees them.
    pub fn local_loads(&self) -> impl Iterator<Item = (EndpointKey, LocalLoad<'_>)> {
        self.endpoints.iter().map(|(key, state)| (key, state.local_load()))
    }

    /// Returns the number of queued requests of all services.
    pub fn queued_requests(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Applies the published state: adds, updates and removes endpoints.
    pub fn update(&mut self, view: &View) {
        self.targets =
            view.targets().map(|(model, versions)| (model.clone(), versions.clone())).collect();
        if let Some(catalog) = view.catalog() {
            self.specs = service_specs(catalog);
        }
        let removed = |instance: &InstanceId| {
            let endpoint = view.endpoints().get(instance);
            endpoint.is_none_or(|endpoint| view.is_evacuated(&endpoint.entry.zone))
        };
        let removed_instances: Vec<InstanceId> =
            self.by_instance.keys().filter(|instance| removed(instance)).cloned().collect();
        for instance in removed_instances {
            self.by_instance.remove(&instance).and_then(|key| self.endpoints.remove(key));
        }
        // The entry of another writer may name a service that is not configured.
        let is_foreign = |service: &ServiceId| {
            view.catalog().is_some_and(|catalog| !catalog.services.contains_key(service))
        };
        for (instance, endpoint) in view.endpoints() {
            if view.is_evacuated(&endpoint.entry.zone) {
                continue;
            }
            match self.by_instance.get(instance) {
                Some(key) => self.endpoints[*key].update(endpoint.clone()),
                None if is_foreign(&endpoint.entry.service) => {}
                None => {
                    let region = self.config.regions.get(&endpoint.entry.zone).cloned();
                    let distance = self.distance(&endpoint.entry.zone);
                    let mut state = EndpointState::new(endpoint.clone(), region, distance);
                    if self.has_answers {
                        state.pace.begin_start(state.slots());
                    }
                    let key = self.endpoints.insert(state);
                    self.by_instance.insert(instance.clone(), key);
                }
            }
        }
        self.apply_notices();
    }

    /// Assigns the endpoints to the cells of the gateways.
    pub fn assign(&mut self, cells: &Cells) {
        let keys: Vec<EndpointKey> = self.by_instance.values().copied().collect();
        let entries = keys.iter().map(|key| &self.endpoints[*key].endpoint.entry);
        let assignments = cells.assign(entries.map(|entry| (&entry.service, &entry.zone)));
        for (key, assignment) in keys.into_iter().zip(assignments) {
            self.endpoints[key].assignment = assignment;
        }
        self.outside = self.outside_counts();
        self.set_cells(cells);
    }

    /// Returns the number of endpoints of each service that are outside the own cell.
    fn outside_counts(&self) -> BTreeMap<ServiceId, usize> {
        let outside = self
            .endpoints
            .values()
            .filter(|state| state.assignment.relation == Relation::Outside)
            .map(|state| state.endpoint.entry.service.clone());
        let mut counts = BTreeMap::new();
        outside.for_each(|service| *counts.entry(service).or_default() += 1);
        counts
    }

    /// Sets the load that other gateways report at an endpoint.
    pub fn set_peer_load(&mut self, now: Time, key: EndpointKey, peer_load: InFlightLoad) {
        if let Some(state) = self.endpoints.get_mut(key) {
            state.set_peer_load(now, peer_load);
        }
    }

    /// Places a new request, queues it or refuses it.
    pub fn submit(&mut self, now: Time, request: PlacementRequest, rng: &mut impl Rng) -> Decision {
        self.record_submit(now, &request);
        let no_queue =
            self.queues.get(&request.service).is_none_or(|queue| queue.waiting.is_empty());
        if no_queue && let Some(grant) = self.try_place(now, &request, rng) {
            return Decision::Dispatch(grant);
        }
        let until = queue_deadline(now, &request);
        let late = request.objective <= now;
        let wait = match self.outlook(now, &request, until) {
            // It is unknown when an endpoint returns, so the longest delay has the best chance.
            Outlook::NoEndpoint => {
                let delay = max_retry_delay(now, &request);
                return Decision::Refuse(Refusal::retry_after(Reason::NoEndpoint, delay));
            }
            Outlook::Unavailable(end) => {
                return Decision::Refuse(self.unavailable_refusal(now, &request, end));
            }
            Outlook::Unlimited => self.estimate_wait(now, &request, late),
            Outlook::Limited(allowance) => {
                if self.queued_ahead(&request, late) >= allowance.requests {
                    return Decision::Refuse(self.limit_refusal(now, &request, allowance));
                }
                Span(0)
            }
        };
        let queue = self.queues.entry(request.service.clone()).or_default();
        if until <= now || now + wait > until {
            queue.refused += 1;
            return Decision::Refuse(Refusal::retry_after(
                Reason::Overload,
                retry_delay(now, &request, queue.refused),
            ));
        }
        let entry = QueueEntry {
            priority: request.priority,
            account: request.account.clone(),
            queued_at: now,
            expires_at: until,
            late,
        };
        Decision::Wait(queue.waiting.push(entry, Rc::new(request)))
    }

    /// Places queued requests where capacity is free and refuses those whose queueing time is over.
    pub fn dispatch_queued(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<(ServiceId, TicketKey, Result<Grant, Refusal>)> {
        let mut decided = vec![];
        let services: Vec<ServiceId> = self.queues.keys().cloned().collect();
        for service in services {
            self.dispatch_service(now, &service, rng, &mut decided);
        }
        decided
    }

    /// Removes a queued request whose caller disconnected.
    pub fn cancel(&mut self, service: &ServiceId, ticket: TicketKey) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.waiting.remove(ticket);
        }
    }

    /// Removes the prefill time of a request from the endpoint's load, once.
    pub fn finish_prefill(&mut self, grant: &mut Grant) {
        let prefill_ms = std::mem::take(&mut grant.prefill_ms);
        if let Some(state) = self.endpoints.get_mut(grant.endpoint) {
            state.finish_prefill(prefill_ms);
        }
    }

    /// Records the first event of a request, from which the pace of its endpoint follows.
    pub fn record_first_event(&mut self, now: Time, grant: &Grant) {
        if let Some(state) = self.endpoints.get_mut(grant.endpoint) {
            let slots = state.slots();
            state.pace.record_first_event(now, grant.granted_at, grant.first_ms, slots);
        }
    }

    /// Releases the slot of a request that ended and records its outcome.
    pub fn release(&mut self, now: Time, grant: &mut Grant, outcome: AttemptOutcome) {
        self.finish_prefill(grant);
        // A rejection of a version that has been replaced says nothing of the present one.
        let is_late = outcome == AttemptOutcome::Misdirected && self.is_replaced(grant);
        let outcome = if is_late { AttemptOutcome::Dropped } else { outcome };
        self.has_answers |= outcome == AttemptOutcome::Answered;
        if let Some(state) = self.endpoints.get_mut(grant.endpoint) {
            state.record_outcome(now, outcome);
            if matches!(outcome, AttemptOutcome::Full | AttemptOutcome::Failed) {
                state.pace.record_refusal(now, grant.granted_at);
            }
        }
        let queue = self.queues.entry(grant.service.clone()).or_default();
        queue.waiting.record_end(&grant.account);
        queue.completions.push_back(now);
    }

    fn dispatch_service(
        &mut self,
        now: Time,
        service: &ServiceId,
        rng: &mut impl Rng,
        decided: &mut Vec<(ServiceId, TicketKey, Result<Grant, Refusal>)>,
    ) {
        let Some(queue) = self.queues.get_mut(service) else { return };
        if queue.waiting.is_empty() {
            return;
        }
        for (ticket, request) in queue.waiting.expire(now) {
            queue.refused += 1;
            let refusal =
                Refusal::retry_after(Reason::Overload, retry_delay(now, &request, queue.refused));
            decided.push((service.clone(), ticket, Err(refusal)));
        }
        let tickets = queue.waiting.dispatch_order();
        let may_refuse = self.may_refuse_queued(now, service);
        for ticket in tickets {
            let request =
                self.queues.get(service).and_then(|queue| queue.waiting.get(ticket)).cloned();
            let Some(request) = request else { continue };
            let placed = self.try_place(now, &request, rng).map(Ok);
            let refused =
                || may_refuse.then(|| self.known_refusal(now, &request, ticket)).flatten().map(Err);
            let Some(result) = placed.or_else(refused) else { continue };
            if let Some(queue) = self.queues.get_mut(service) {
                queue.waiting.remove(ticket);
            }
            decided.push((service.clone(), ticket, result));
        }
    }

    /// Reserves a slot at the eligible endpoint with the lowest score.
    fn try_place(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        rng: &mut impl Rng,
    ) -> Option<Grant> {
        let spec = self.specs.get(&request.service).cloned().unwrap_or_default();
        let outside = self.outside.get(&request.service).copied().unwrap_or(0);
        let min_version = self.min_version(now, request);
        let prefill_ms = prefill_ms(&spec, request.tokens.0);
        let reserve = self.reserve_for(now, request);
        let (gateways, salt) = (self.gateways, self.cells.salt());
        let mut best: Option<(u64, EndpointKey, u32)> = None;
        for (key, state) in &mut self.endpoints {
            let send_limit = max_send_rate(&self.config, &spec, &state.assignment, self.gateways);
            if !is_sampled(state, send_limit, outside, rng) {
                continue;
            }
            let load = state.total_load(now);
            let first_ms = first_event_ms(&spec, load, prefill_ms);
            let capacity = state.capacity(gateways);
            let has_room = meets_objective(now, request, load, prefill_ms, first_ms)
                && load.requests < capacity
                && reserve.admits(load, capacity, spec.engine.is_some());
            let usable = can_serve(state, request, min_version)
                && state.is_available(now, gateways)
                && state.allows_return(now)
                && state.allows_send(now, send_limit, salt)
                && (!self.config.pace || state.allows_pace(now));
            let tried = request.tried.contains(&key);
            if !has_room || !usable || tried || (request.healthy_only && !state.is_healthy()) {
                continue;
            }
            let score = score(state, now, rng);
            if best.is_none_or(|(least, ..)| score < least) {
                best = Some((score, key, first_ms));
            }
        }
        let (_, key, first_ms) = best?;
        Some(self.reserve(now, request, key, min_version, (prefill_ms, first_ms)))
    }

    /// Counts a new request; further attempts of one whose work has begun are not demand.
    fn record_submit(&mut self, now: Time, request: &PlacementRequest) {
        if request.tried.is_empty() {
            let allowed = request.objective - now;
            let queue = self.queues.entry(request.service.clone()).or_default();
            queue.admission.record_submit(now, request.urgency(now), allowed);
        }
    }

    /// Returns the room that a request leaves for more urgent ones; none once its work has begun.
    fn reserve_for(&self, now: Time, request: &PlacementRequest) -> Reserve {
        match self.queues.get(&request.service) {
            Some(queue) if request.tried.is_empty() => {
                queue.admission.reserve(now, request.urgency(now))
            }
            _ => Reserve::default(),
        }
    }

    /// Estimates the queueing time of a request from the rate of recent completions.
    fn estimate_wait(&mut self, now: Time, request: &PlacementRequest, late: bool) -> Span {
        let ahead = self.queued_ahead(request, late) as u64;
        let queue = self.queues.entry(request.service.clone()).or_default();
        while queue.completions.front().is_some_and(|at| *at + COMPLETION_WINDOW < now) {
            queue.completions.pop_front();
        }
        let completed = queue.completions.len() as u64;
        Span((COMPLETION_WINDOW.0 * ahead).checked_div(completed).unwrap_or(0))
    }

    /// Returns the number of queued requests that are dispatched before a new one.
    fn queued_ahead(&self, request: &PlacementRequest, late: bool) -> usize {
        let queue = self.queues.get(&request.service);
        queue.map_or(0, |queue| queue.waiting.count_ahead(request.priority, late))
    }

    fn distance(&self, zone: &ZoneId) -> u32 {
        let region = |zone| self.config.regions.get(zone);
        match () {
            () if *zone == self.config.zone => 0,
            () if region(zone) == region(&self.config.zone) => 1,
            () => 2,
        }
    }
}

fn service_specs(catalog: &Catalog) -> BTreeMap<ServiceId, Rc<ServiceSpec>> {
    let spec = |service: &super::catalog::Service| ServiceSpec {
        cold_rate: service.cold_rate,
        engine: service.engine.clone(),
    };
    catalog.services.iter().map(|(name, service)| (name.clone(), Rc::new(spec(service)))).collect()
}
