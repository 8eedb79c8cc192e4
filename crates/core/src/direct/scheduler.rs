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
    queue: WaitQueue<Rc<PlacementRequest>>,
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
    pub fn new(place: SchedulerConfig) -> Self {
        Self {
            config: place,
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
        self.queues.values().map(|service| service.queue.len()).sum()
    }

    /// Takes the published state.
    pub fn update(&mut self, view: &View) {
        self.targets =
            view.targets().map(|(model, wanted)| (model.clone(), wanted.clone())).collect();
        if let Some(catalog) = view.catalog() {
            self.specs = service_specs(catalog);
        }
        let gone = |instance: &InstanceId| {
            let endpoint = view.endpoints().get(instance);
            endpoint.is_none_or(|endpoint| view.is_evacuated(&endpoint.entry.zone))
        };
        let left: Vec<InstanceId> =
            self.by_instance.keys().filter(|name| gone(name)).cloned().collect();
        for instance in left {
            self.by_instance.remove(&instance).and_then(|seat| self.endpoints.remove(seat));
        }
        for (instance, endpoint) in view.endpoints() {
            if view.is_evacuated(&endpoint.entry.zone) {
                continue;
            }
            match self.by_instance.get(instance) {
                Some(seat) => self.endpoints[*seat].update(endpoint.clone()),
                None => {
                    let region = self.config.regions.get(&endpoint.entry.zone).cloned();
                    let distance = self.distance(&endpoint.entry.zone);
                    let seat = self.endpoints.insert(EndpointState::new(
                        endpoint.clone(),
                        region,
                        distance,
                    ));
                    self.by_instance.insert(instance.clone(), seat);
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
        let mut dealt: BTreeMap<(ServiceId, ZoneId), usize> = BTreeMap::new();
        for seat in self.by_instance.values() {
            let seat = &mut self.endpoints[*seat];
            let listed = &seat.endpoint.entry;
            let near = zones.get(&listed.zone).map_or(&[][..], Vec::as_slice);
            let turn = dealt.entry((listed.service.clone(), listed.zone.clone())).or_default();
            seat.primary = near.get(*turn % near.len().max(1)).is_none_or(|vm| *vm == own);
            *turn += 1;
        }
    }

    /// Takes the load that other gateways cause at an endpoint.
    pub fn set_peer_load(&mut self, now: Time, instance: &InstanceId, others: InFlightLoad) {
        if let Some(seat) = self.by_instance.get(instance) {
            self.endpoints[*seat].set_peer_load(now, others);
        }
    }

    /// Takes note that an endpoint takes no new requests until a time.
    pub fn pause_endpoint(&mut self, instance: &InstanceId, until: Time) {
        if let Some(seat) = self.by_instance.get(instance) {
            self.endpoints[*seat].pause_until(until);
        }
    }

    /// Places a request, lets it wait, or turns it away.
    pub fn submit(&mut self, now: Time, ask: PlacementRequest, rng: &mut impl Rng) -> Decision {
        let first = self.queues.get(&ask.service).is_none_or(|desk| desk.queue.is_empty());
        if first && let Some(grant) = self.try_place(now, &ask, rng) {
            return Decision::Dispatch(grant);
        }
        if !self.has_candidate(now, &ask) {
            // It is not known when one serves again: the later return has the better chance.
            return Decision::Refuse(Refusal::after(
                Reason::NoEndpoint,
                max_retry_delay(now, &ask),
            ));
        }
        let until = queue_deadline(now, &ask);
        let late = ask.objective <= now;
        let wait = self.estimate_wait(now, &ask, late);
        let desk = self.queues.entry(ask.service.clone()).or_default();
        if until <= now || now + wait > until {
            desk.refused += 1;
            return Decision::Refuse(Refusal::after(
                Reason::Overload,
                retry_delay(now, &ask, desk.refused),
            ));
        }
        let waiting = QueueEntry {
            priority: ask.priority,
            account: ask.account.clone(),
            queued_at: now,
            expires_at: until,
            late,
        };
        Decision::Wait(desk.queue.push(waiting, Rc::new(ask)))
    }

    /// Places waiting requests where there is room now and turns away those that waited too long.
    pub fn dispatch_queued(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<(ServiceId, TicketKey, Result<Grant, Refusal>)> {
        let mut decided = vec![];
        let names: Vec<ServiceId> = self.queues.keys().cloned().collect();
        for name in names {
            self.dispatch_service(now, &name, rng, &mut decided);
        }
        decided
    }

    /// Removes a waiting request whose caller left.
    pub fn cancel(&mut self, service: &ServiceId, ticket: TicketKey) {
        if let Some(desk) = self.queues.get_mut(service) {
            desk.queue.remove(ticket);
        }
    }

    /// Takes note that the prompt of a request has been read.
    pub fn finish_prefill(&mut self, grant: &mut Grant) {
        let reading = std::mem::take(&mut grant.prefill_ms);
        if let Some(seat) = self.endpoints.get_mut(grant.endpoint) {
            seat.finish_prefill(reading);
        }
    }

    /// Takes note of the end of a request at an endpoint.
    pub fn release(&mut self, now: Time, grant: &mut Grant, ended: AttemptOutcome) {
        self.finish_prefill(grant);
        if let Some(seat) = self.endpoints.get_mut(grant.endpoint) {
            seat.record_outcome(now, ended);
        }
        let desk = self.queues.entry(grant.service.clone()).or_default();
        desk.queue.record_end(&grant.account);
        desk.completions.push_back(now);
    }

    fn dispatch_service(
        &mut self,
        now: Time,
        name: &ServiceId,
        rng: &mut impl Rng,
        decided: &mut Vec<(ServiceId, TicketKey, Result<Grant, Refusal>)>,
    ) {
        let Some(desk) = self.queues.get_mut(name) else { return };
        if desk.queue.is_empty() {
            return;
        }
        for (ticket, ask) in desk.queue.expire(now) {
            desk.refused += 1;
            let refusal = Refusal::after(Reason::Overload, retry_delay(now, &ask, desk.refused));
            decided.push((name.clone(), ticket, Err(refusal)));
        }
        for ticket in desk.queue.dispatch_order() {
            let ask = self.queues.get(name).and_then(|desk| desk.queue.get(ticket)).cloned();
            let Some(ask) = ask else { continue };
            let Some(grant) = self.try_place(now, &ask, rng) else { continue };
            if let Some(desk) = self.queues.get_mut(name) {
                desk.queue.remove(ticket);
            }
            decided.push((name.clone(), ticket, Ok(grant)));
        }
    }

    /// Takes a place at the least loaded endpoint that has room.
    fn try_place(
        &mut self,
        now: Time,
        ask: &PlacementRequest,
        rng: &mut impl Rng,
    ) -> Option<Grant> {
        let spec = self.specs.get(&ask.service).cloned().unwrap_or_default();
        let most = self.max_send_rate(&spec);
        let oldest = self.min_version(now, ask);
        let reading = prefill_ms(&spec, ask.tokens.0);
        let mut best: Option<(u64, EndpointKey, u32)> = None;
        for (key, seat) in &mut self.endpoints {
            let load = seat.total_load(now);
            let first = first_event_ms(&spec, load, reading);
            let room = meets_objective(now, ask, load, reading, first)
                && load.requests < seat.capacity(self.gateways);
            let fit = can_serve(seat, ask, oldest)
                && seat.is_available(now)
                && seat.allows_send(now, most);
            let tried = ask.tried.contains(&key);
            if !room || !fit || tried || (ask.healthy_only && !seat.is_healthy()) {
                continue;
            }
            let score = score(seat, now, rng);
            if best.is_none_or(|(least, ..)| score < least) {
                best = Some((score, key, first));
            }
        }
        let (_, key, first) = best?;
        let seat = &mut self.endpoints[key];
        seat.record_send(now, reading);
        let listed = &seat.endpoint.entry;
        let held = ask.model.as_ref().and_then(|model| seat.endpoint.loaded_model(model));
        let version = oldest.and(held).map(|loaded| loaded.version);
        let grant = Grant {
            endpoint: key,
            instance: listed.instance.clone(),
            addr: listed.addr,
            version,
            prefill_ms: reading,
            first_ms: first,
            account: ask.account.clone(),
            service: ask.service.clone(),
        };
        let desk = self.queues.entry(ask.service.clone()).or_default();
        desk.queue.record_start(&ask.account);
        Some(grant)
    }

    /// Returns whether any endpoint may serve the request, now or when its load falls.
    fn has_candidate(&self, now: Time, ask: &PlacementRequest) -> bool {
        let oldest = self.min_version(now, ask);
        let open = |(key, seat): (EndpointKey, &EndpointState)| {
            can_serve(seat, ask, oldest)
                && !seat.endpoint.entry.leaving
                && !ask.tried.contains(&key)
        };
        self.endpoints.iter().any(open)
    }

    /// Returns the oldest version that may be used, where older ones would come too late.
    fn min_version(&self, now: Time, ask: &PlacementRequest) -> Option<u64> {
        let last = Span((self.config.rollout_time.0 as f64 * ROLLOUT_FRACTION) as u64);
        self.targets.get(ask.model.as_ref()?)?.min_usable(now, last)
    }

    /// Returns the requests that this gateway may send to one endpoint in any second, such that all
    /// gateways together keep what a cold endpoint bears, whether or not it is known to be cold.
    fn max_send_rate(&self, spec: &ServiceSpec) -> usize {
        let Some(rate) = spec.cold_rate else { return usize::MAX };
        let all = (rate * self.config.cold_factor + self.config.cold_extra) * COLD_RATE_FRACTION;
        ((all / self.gateways as f64) as usize).max(1)
    }

    /// Returns how long a request would wait, by the places that were given back of late.
    fn estimate_wait(&mut self, now: Time, ask: &PlacementRequest, late: bool) -> Span {
        let desk = self.queues.entry(ask.service.clone()).or_default();
        while desk.completions.front().is_some_and(|at| *at + COMPLETION_WINDOW < now) {
            desk.completions.pop_front();
        }
        let ahead = desk.queue.count_ahead(ask.priority, late) as u64;
        let ends = desk.completions.len() as u64;
        Span((COMPLETION_WINDOW.0 * ahead).checked_div(ends).unwrap_or(0))
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
