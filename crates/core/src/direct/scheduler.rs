//! Places requests at endpoints, lets them wait, or turns them away.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use rand::Rng;
use slotmap::{SlotMap, new_key_type};

use super::{
    catalog::{Catalog, EngineSpec},
    endpoint_state::{AttemptOutcome, EndpointState, InFlightLoad},
    placement::{
        can_serve, first_event_ms, max_retry_delay, meets_objective, prefill_ms, queue_deadline,
        retry_delay, score,
    },
    view::{TargetVersions, View},
    wait_queue::{QueueEntry, TicketKey, WaitQueue},
};
use crate::{
    ids::{ClientId, InstanceId, ModelId, RegionId, ServiceId, VmId, ZoneId},
    refuse::{Reason, Refusal},
    time::Time,
    units::Span,
};

/// Part of the time within which a version must be in use after which nothing older is asked for: of
/// 8 s, the rest covers the 1.1 s that a request took to begin behind a link that was narrow before.
const ROLLOUT_FRACTION: f64 = 0.82;
/// Part of the bound on cold endpoints that is used; the rest covers late arrivals.
const COLD_RATE_FRACTION: f64 = 0.9;
/// Time over which departures are counted to foretell how long a request would wait.
const COMPLETION_WINDOW: Span = Span::secs(2);

new_key_type! {
    /// An endpoint that requests can be sent to.
    pub struct EndpointKey;
}

/// Where this gateway stands, and what it must keep.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The own zone.
    pub zone: ZoneId,
    /// The regions of the zones.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// Time within which a wanted version must be in use.
    pub rollout_time: Span,
    /// What is allowed of the rate that a cold endpoint bears.
    pub cold_factor: f64,
    /// Requests a second that are allowed beyond it.
    pub cold_extra: f64,
}

/// A request that looks for a place.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The service.
    pub service: ServiceId,
    /// The client account.
    pub account: Option<ClientId>,
    /// The rank; 0 goes first.
    pub priority: u8,
    /// The regions that it may be served in, `None` for all.
    pub regions: Option<BTreeSet<RegionId>>,
    /// The model.
    pub model: Option<ModelId>,
    /// Tokens of the prompt and expected tokens of the answer.
    pub tokens: (u32, u32),
    /// When the answer, or the first event, is late.
    pub objective: Time,
    /// When the caller gives up.
    pub deadline: Time,
    /// The endpoints that it was sent to before.
    pub tried: Vec<EndpointKey>,
    /// Whether only an endpoint that answered its last requests will do.
    pub healthy_only: bool,
}

/// A place at an endpoint.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The instance that is meant.
    pub instance: InstanceId,
    /// Its address.
    pub addr: std::net::SocketAddr,
    /// The version of the weights that alone may be used.
    pub version: Option<u64>,
    /// The time that reading the prompt takes, in ms; 0 once it is read.
    pub prefill_ms: u32,
    /// The time to the first event that the engine's figures foretell, in ms; 0 without figures.
    pub first_ms: u32,
    /// The client account.
    pub account: Option<ClientId>,
    /// The service.
    pub service: ServiceId,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Decision {
    /// It goes to an endpoint.
    Dispatch(Grant),
    /// It waits.
    Wait(TicketKey),
    /// It is turned away.
    Refuse(Refusal),
}

#[derive(Debug, Default)]
struct ServiceQueue {
    waiting: WaitQueue<Rc<PlacementRequest>>,
    completions: std::collections::VecDeque<Time>,
    refused: u64,
}

/// The endpoints and the waiting requests.
#[derive(Debug)]
pub struct Scheduler {
    config: SchedulerConfig,
    endpoints: SlotMap<EndpointKey, EndpointState>,
    by_instance: BTreeMap<InstanceId, EndpointKey>,
    queues: BTreeMap<ServiceId, ServiceQueue>,
    specs: BTreeMap<ServiceId, Rc<ServiceSpec>>,
    targets: BTreeMap<ModelId, TargetVersions>,
    gateways: usize,
}

/// What is known of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceSpec {
    pub(super) cold_rate: Option<f64>,
    pub(super) engine: Option<EngineSpec>,
}

impl Scheduler {
    /// Returns a desk without endpoints.
    pub fn new(config: SchedulerConfig) -> Self {
        Self {
            config,
            endpoints: SlotMap::with_key(),
            by_instance: BTreeMap::new(),
            queues: BTreeMap::new(),
            specs: BTreeMap::new(),
            targets: BTreeMap::new(),
            gateways: 1,
        }
    }

    /// Sets how many gateways may send to the same endpoints.
    pub fn set_gateway_count(&mut self, gateways: usize) {
        self.gateways = gateways.max(1);
    }

    /// Returns the seats.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &EndpointState)> {
        self.endpoints.iter()
    }

    /// Returns how many requests wait.
    pub fn queued_requests(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Takes the published state.
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
        for (instance, endpoint) in view.endpoints() {
            if view.is_evacuated(&endpoint.entry.zone) {
                continue;
            }
            match self.by_instance.get(instance) {
                Some(key) => self.endpoints[*key].update(endpoint.clone()),
                None => {
                    let region = self.config.regions.get(&endpoint.entry.zone).cloned();
                    let distance = self.distance(&endpoint.entry.zone);
                    let key = self.endpoints.insert(EndpointState::new(
                        endpoint.clone(),
                        region,
                        distance,
                    ));
                    self.by_instance.insert(instance.clone(), key);
                }
            }
        }
    }

    /// Sets the endpoints that this gateway sends to before others do: the endpoints of each zone
    /// are dealt in turn to the gateways of that zone, and to all where it has none.
    pub fn assign_primaries(&mut self, own: &VmId, gateways: &[(VmId, ZoneId)]) {
        let mut zones: BTreeMap<&ZoneId, Vec<&VmId>> = BTreeMap::new();
        for (vm, zone) in gateways {
            zones.entry(zone).or_default().push(vm);
        }
        let mut assigned: BTreeMap<(ServiceId, ZoneId), usize> = BTreeMap::new();
        for key in self.by_instance.values() {
            let state = &mut self.endpoints[*key];
            let entry = &state.endpoint.entry;
            let local = zones.get(&entry.zone).map_or(&[][..], Vec::as_slice);
            let index = assigned.entry((entry.service.clone(), entry.zone.clone())).or_default();
            state.primary = local.get(*index % local.len().max(1)).is_none_or(|vm| *vm == own);
            *index += 1;
        }
    }

    /// Takes the load that other gateways cause at an endpoint.
    pub fn set_peer_load(&mut self, now: Time, instance: &InstanceId, peer_load: InFlightLoad) {
        if let Some(key) = self.by_instance.get(instance) {
            self.endpoints[*key].set_peer_load(now, peer_load);
        }
    }

    /// Takes note that an endpoint takes no new requests until a time.
    pub fn pause_endpoint(&mut self, instance: &InstanceId, until: Time) {
        if let Some(key) = self.by_instance.get(instance) {
            self.endpoints[*key].pause_until(until);
        }
    }

    /// Places a request, lets it wait, or turns it away.
    pub fn submit(&mut self, now: Time, request: PlacementRequest, rng: &mut impl Rng) -> Decision {
        let no_queue =
            self.queues.get(&request.service).is_none_or(|queue| queue.waiting.is_empty());
        if no_queue && let Some(grant) = self.try_place(now, &request, rng) {
            return Decision::Dispatch(grant);
        }
        if !self.has_candidate(now, &request) {
            // It is not known when one serves again: the later return has the better chance.
            return Decision::Refuse(Refusal::after(
                Reason::NoEndpoint,
                max_retry_delay(now, &request),
            ));
        }
        let until = queue_deadline(now, &request);
        let late = request.objective <= now;
        let wait = self.estimate_wait(now, &request, late);
        let queue = self.queues.entry(request.service.clone()).or_default();
        if until <= now || now + wait > until {
            queue.refused += 1;
            return Decision::Refuse(Refusal::after(
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

    /// Places waiting requests where there is room now and turns away those that waited too long.
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

    /// Removes a waiting request whose caller left.
    pub fn cancel(&mut self, service: &ServiceId, ticket: TicketKey) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.waiting.remove(ticket);
        }
    }

    /// Takes note that the prompt of a request has been read.
    pub fn finish_prefill(&mut self, grant: &mut Grant) {
        let prefill_ms = std::mem::take(&mut grant.prefill_ms);
        if let Some(state) = self.endpoints.get_mut(grant.endpoint) {
            state.finish_prefill(prefill_ms);
        }
    }

    /// Takes note of the end of a request at an endpoint.
    pub fn release(&mut self, now: Time, grant: &mut Grant, outcome: AttemptOutcome) {
        self.finish_prefill(grant);
        if let Some(state) = self.endpoints.get_mut(grant.endpoint) {
            state.record_outcome(now, outcome);
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
                Refusal::after(Reason::Overload, retry_delay(now, &request, queue.refused));
            decided.push((service.clone(), ticket, Err(refusal)));
        }
        for ticket in queue.waiting.dispatch_order() {
            let request =
                self.queues.get(service).and_then(|queue| queue.waiting.get(ticket)).cloned();
            let Some(request) = request else { continue };
            let Some(grant) = self.try_place(now, &request, rng) else { continue };
            if let Some(queue) = self.queues.get_mut(service) {
                queue.waiting.remove(ticket);
            }
            decided.push((service.clone(), ticket, Ok(grant)));
        }
    }

    /// Takes a place at the least loaded endpoint that has room.
    fn try_place(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        rng: &mut impl Rng,
    ) -> Option<Grant> {
        let spec = self.specs.get(&request.service).cloned().unwrap_or_default();
        let send_limit = self.max_send_rate(&spec);
        let min_version = self.min_version(now, request);
        let prefill_ms = prefill_ms(&spec, request.tokens.0);
        let mut best: Option<(u64, EndpointKey, u32)> = None;
        for (key, state) in &mut self.endpoints {
            let load = state.total_load(now);
            let first_ms = first_event_ms(&spec, load, prefill_ms);
            let room = meets_objective(now, request, load, prefill_ms, first_ms)
                && load.requests < state.capacity(self.gateways);
            let fit = can_serve(state, request, min_version)
                && state.is_available(now)
                && state.allows_send(now, send_limit);
            let tried = request.tried.contains(&key);
            if !room || !fit || tried || (request.healthy_only && !state.is_healthy()) {
                continue;
            }
            let score = score(state, now, rng);
            if best.is_none_or(|(least, ..)| score < least) {
                best = Some((score, key, first_ms));
            }
        }
        let (_, key, first_ms) = best?;
        let state = &mut self.endpoints[key];
        state.record_send(now, prefill_ms);
        let entry = &state.endpoint.entry;
        let loaded = request.model.as_ref().and_then(|model| state.endpoint.loaded_model(model));
        let version = min_version.and(loaded).map(|loaded| loaded.version);
        let grant = Grant {
            endpoint: key,
            instance: entry.instance.clone(),
            addr: entry.addr,
            version,
            prefill_ms,
            first_ms,
            account: request.account.clone(),
            service: request.service.clone(),
        };
        let queue = self.queues.entry(request.service.clone()).or_default();
        queue.waiting.record_start(&request.account);
        Some(grant)
    }

    /// Returns whether any endpoint may serve the request, now or when its load falls.
    fn has_candidate(&self, now: Time, request: &PlacementRequest) -> bool {
        let min_version = self.min_version(now, request);
        let open = |(key, state): (EndpointKey, &EndpointState)| {
            can_serve(state, request, min_version)
                && !state.endpoint.entry.leaving
                && !request.tried.contains(&key)
        };
        self.endpoints.iter().any(open)
    }

    /// Returns the oldest version that may be used, where older ones would come too late.
    fn min_version(&self, now: Time, request: &PlacementRequest) -> Option<u64> {
        let last = Span((self.config.rollout_time.0 as f64 * ROLLOUT_FRACTION) as u64);
        self.targets.get(request.model.as_ref()?)?.min_usable(now, last)
    }

    /// Returns the requests that this gateway may send to one endpoint in any second, such that all
    /// gateways together keep what a cold endpoint bears, whether or not it is known to be cold.
    fn max_send_rate(&self, spec: &ServiceSpec) -> usize {
        let Some(rate) = spec.cold_rate else { return usize::MAX };
        let all = (rate * self.config.cold_factor + self.config.cold_extra) * COLD_RATE_FRACTION;
        ((all / self.gateways as f64) as usize).max(1)
    }

    /// Returns how long a request would wait, by the places that were given back of late.
    fn estimate_wait(&mut self, now: Time, request: &PlacementRequest, late: bool) -> Span {
        let queue = self.queues.entry(request.service.clone()).or_default();
        while queue.completions.front().is_some_and(|at| *at + COMPLETION_WINDOW < now) {
            queue.completions.pop_front();
        }
        let ahead = queue.waiting.count_ahead(request.priority, late) as u64;
        let completed = queue.completions.len() as u64;
        Span((COMPLETION_WINDOW.0 * ahead).checked_div(completed).unwrap_or(0))
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
