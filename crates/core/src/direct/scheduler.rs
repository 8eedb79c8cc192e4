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
    placement::{first_event, fits, is_soon, most_retry, patience, reading, retry, score},
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
const VERSION_PART: f64 = 0.82;
/// Part of the bound on cold endpoints that is used; the rest covers late arrivals.
const COLD_PART: f64 = 0.9;
/// Time over which departures are counted to foretell how long a request would wait.
const RATE_WINDOW: Span = Span::secs(2);

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
    pub version_time: Span,
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
    pub careful: bool,
}

/// A place at an endpoint.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The endpoint.
    pub seat: EndpointKey,
    /// The instance that is meant.
    pub instance: InstanceId,
    /// Its address.
    pub addr: std::net::SocketAddr,
    /// The version of the weights that alone may be used.
    pub version: Option<u64>,
    /// The time that reading the prompt takes, in ms; 0 once it is read.
    pub reading: u32,
    /// The time to the first event that the engine's figures foretell, in ms; 0 without figures.
    pub first: u32,
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
    line: WaitQueue<Rc<PlacementRequest>>,
    ends: std::collections::VecDeque<Time>,
    refused: u64,
}

/// The endpoints and the waiting requests.
#[derive(Debug)]
pub struct Scheduler {
    place: SchedulerConfig,
    seats: SlotMap<EndpointKey, EndpointState>,
    names: BTreeMap<InstanceId, EndpointKey>,
    services: BTreeMap<ServiceId, ServiceQueue>,
    specs: BTreeMap<ServiceId, Rc<ServiceSpec>>,
    wanted: BTreeMap<ModelId, TargetVersions>,
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
            place,
            seats: SlotMap::with_key(),
            names: BTreeMap::new(),
            services: BTreeMap::new(),
            specs: BTreeMap::new(),
            wanted: BTreeMap::new(),
            gateways: 1,
        }
    }

    /// Sets how many gateways may send to the same endpoints.
    pub fn set_gateways(&mut self, gateways: usize) {
        self.gateways = gateways.max(1);
    }

    /// Returns the seats.
    pub fn seats(&self) -> impl Iterator<Item = (EndpointKey, &EndpointState)> {
        self.seats.iter()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.services.values().map(|service| service.line.len()).sum()
    }

    /// Takes the published state.
    pub fn follow(&mut self, view: &View) {
        self.wanted =
            view.models().map(|(model, wanted)| (model.clone(), wanted.clone())).collect();
        if let Some(catalog) = view.catalog() {
            self.specs = specs(catalog);
        }
        let gone = |instance: &InstanceId| {
            let endpoint = view.endpoints().get(instance);
            endpoint.is_none_or(|endpoint| view.is_out(&endpoint.listed.zone))
        };
        let left: Vec<InstanceId> = self.names.keys().filter(|name| gone(name)).cloned().collect();
        for instance in left {
            self.names.remove(&instance).and_then(|seat| self.seats.remove(seat));
        }
        for (instance, endpoint) in view.endpoints() {
            if view.is_out(&endpoint.listed.zone) {
                continue;
            }
            match self.names.get(instance) {
                Some(seat) => self.seats[*seat].refresh(endpoint.clone()),
                None => {
                    let region = self.place.regions.get(&endpoint.listed.zone).cloned();
                    let distance = self.distance(&endpoint.listed.zone);
                    let seat =
                        self.seats.insert(EndpointState::new(endpoint.clone(), region, distance));
                    self.names.insert(instance.clone(), seat);
                }
            }
        }
    }

    /// Sets the endpoints that this gateway sends to before others do: the endpoints of each zone
    /// are dealt in turn to the gateways of that zone, and to all where it has none.
    pub fn deal(&mut self, own: &VmId, gateways: &[(VmId, ZoneId)]) {
        let mut zones: BTreeMap<&ZoneId, Vec<&VmId>> = BTreeMap::new();
        for (vm, zone) in gateways {
            zones.entry(zone).or_default().push(vm);
        }
        let mut dealt: BTreeMap<(ServiceId, ZoneId), usize> = BTreeMap::new();
        for seat in self.names.values() {
            let seat = &mut self.seats[*seat];
            let listed = &seat.endpoint.listed;
            let near = zones.get(&listed.zone).map_or(&[][..], Vec::as_slice);
            let turn = dealt.entry((listed.service.clone(), listed.zone.clone())).or_default();
            seat.primary = near.get(*turn % near.len().max(1)).is_none_or(|vm| *vm == own);
            *turn += 1;
        }
    }

    /// Takes the load that other gateways cause at an endpoint.
    pub fn tell(&mut self, now: Time, instance: &InstanceId, others: InFlightLoad) {
        if let Some(seat) = self.names.get(instance) {
            self.seats[*seat].tell(now, others);
        }
    }

    /// Takes note that an endpoint takes no new requests until a time.
    pub fn pause(&mut self, instance: &InstanceId, until: Time) {
        if let Some(seat) = self.names.get(instance) {
            self.seats[*seat].pause(until);
        }
    }

    /// Places a request, lets it wait, or turns it away.
    pub fn arrive(&mut self, now: Time, ask: PlacementRequest, rng: &mut impl Rng) -> Decision {
        let first = self.services.get(&ask.service).is_none_or(|desk| desk.line.is_empty());
        if first && let Some(grant) = self.place(now, &ask, rng) {
            return Decision::Dispatch(grant);
        }
        if !self.has_endpoint(now, &ask) {
            // It is not known when one serves again: the later return has the better chance.
            return Decision::Refuse(Refusal::after(Reason::NoEndpoint, most_retry(now, &ask)));
        }
        let until = patience(now, &ask);
        let late = ask.objective <= now;
        let wait = self.foretell(now, &ask, late);
        let desk = self.services.entry(ask.service.clone()).or_default();
        if until <= now || now + wait > until {
            desk.refused += 1;
            return Decision::Refuse(Refusal::after(
                Reason::Overload,
                retry(now, &ask, desk.refused),
            ));
        }
        let waiting = QueueEntry {
            priority: ask.priority,
            account: ask.account.clone(),
            since: now,
            until,
            late,
        };
        Decision::Wait(desk.line.push(waiting, Rc::new(ask)))
    }

    /// Places waiting requests where there is room now and turns away those that waited too long.
    pub fn pump(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<(ServiceId, TicketKey, Result<Grant, Refusal>)> {
        let mut decided = vec![];
        let names: Vec<ServiceId> = self.services.keys().cloned().collect();
        for name in names {
            self.pump_service(now, &name, rng, &mut decided);
        }
        decided
    }

    /// Removes a waiting request whose caller left.
    pub fn cancel(&mut self, service: &ServiceId, ticket: TicketKey) {
        if let Some(desk) = self.services.get_mut(service) {
            desk.line.remove(ticket);
        }
    }

    /// Takes note that the prompt of a request has been read.
    pub fn read(&mut self, grant: &mut Grant) {
        let reading = std::mem::take(&mut grant.reading);
        if let Some(seat) = self.seats.get_mut(grant.seat) {
            seat.read(reading);
        }
    }

    /// Takes note of the end of a request at an endpoint.
    pub fn end(&mut self, now: Time, grant: &mut Grant, ended: AttemptOutcome) {
        self.read(grant);
        if let Some(seat) = self.seats.get_mut(grant.seat) {
            seat.end(now, ended);
        }
        let desk = self.services.entry(grant.service.clone()).or_default();
        desk.line.end(&grant.account);
        desk.ends.push_back(now);
    }

    fn pump_service(
        &mut self,
        now: Time,
        name: &ServiceId,
        rng: &mut impl Rng,
        decided: &mut Vec<(ServiceId, TicketKey, Result<Grant, Refusal>)>,
    ) {
        let Some(desk) = self.services.get_mut(name) else { return };
        if desk.line.is_empty() {
            return;
        }
        for (ticket, ask) in desk.line.expire(now) {
            desk.refused += 1;
            let refusal = Refusal::after(Reason::Overload, retry(now, &ask, desk.refused));
            decided.push((name.clone(), ticket, Err(refusal)));
        }
        for ticket in desk.line.order() {
            let ask = self.services.get(name).and_then(|desk| desk.line.get(ticket)).cloned();
            let Some(ask) = ask else { continue };
            let Some(grant) = self.place(now, &ask, rng) else { continue };
            if let Some(desk) = self.services.get_mut(name) {
                desk.line.remove(ticket);
            }
            decided.push((name.clone(), ticket, Ok(grant)));
        }
    }

    /// Takes a place at the least loaded endpoint that has room.
    fn place(&mut self, now: Time, ask: &PlacementRequest, rng: &mut impl Rng) -> Option<Grant> {
        let spec = self.specs.get(&ask.service).cloned().unwrap_or_default();
        let most = self.most_a_second(&spec);
        let oldest = self.oldest(now, ask);
        let reading = reading(&spec, ask.tokens.0);
        let mut best: Option<(u64, EndpointKey, u32)> = None;
        for (key, seat) in &mut self.seats {
            let load = seat.load(now);
            let first = first_event(&spec, load, reading);
            let room =
                is_soon(now, ask, load, reading, first) && load.count < seat.room(self.gateways);
            let fit = fits(seat, ask, oldest) && seat.is_fit(now) && seat.is_open(now, most);
            let tried = ask.tried.contains(&key);
            if !room || !fit || tried || (ask.careful && !seat.is_sound()) {
                continue;
            }
            let score = score(seat, now, rng);
            if best.is_none_or(|(least, ..)| score < least) {
                best = Some((score, key, first));
            }
        }
        let (_, key, first) = best?;
        let seat = &mut self.seats[key];
        seat.send(now, reading);
        let listed = &seat.endpoint.listed;
        let held = ask.model.as_ref().and_then(|model| seat.endpoint.held(model));
        let version = oldest.and(held).map(|loaded| loaded.version);
        let grant = Grant {
            seat: key,
            instance: listed.instance.clone(),
            addr: listed.addr,
            version,
            reading,
            first,
            account: ask.account.clone(),
            service: ask.service.clone(),
        };
        let desk = self.services.entry(ask.service.clone()).or_default();
        desk.line.start(&ask.account);
        Some(grant)
    }

    /// Returns whether any endpoint may serve the request, now or when its load falls.
    fn has_endpoint(&self, now: Time, ask: &PlacementRequest) -> bool {
        let oldest = self.oldest(now, ask);
        let open = |(key, seat): (EndpointKey, &EndpointState)| {
            fits(seat, ask, oldest) && !seat.endpoint.listed.leaving && !ask.tried.contains(&key)
        };
        self.seats.iter().any(open)
    }

    /// Returns the oldest version that may be used, where older ones would come too late.
    fn oldest(&self, now: Time, ask: &PlacementRequest) -> Option<u64> {
        let last = Span((self.place.version_time.0 as f64 * VERSION_PART) as u64);
        self.wanted.get(ask.model.as_ref()?)?.oldest(now, last)
    }

    /// Returns the requests that this gateway may send to one endpoint in any second, such that all
    /// gateways together keep what a cold endpoint bears, whether or not it is known to be cold.
    fn most_a_second(&self, spec: &ServiceSpec) -> usize {
        let Some(rate) = spec.cold_rate else { return usize::MAX };
        let all = (rate * self.place.cold_factor + self.place.cold_extra) * COLD_PART;
        ((all / self.gateways as f64) as usize).max(1)
    }

    /// Returns how long a request would wait, by the places that were given back of late.
    fn foretell(&mut self, now: Time, ask: &PlacementRequest, late: bool) -> Span {
        let desk = self.services.entry(ask.service.clone()).or_default();
        while desk.ends.front().is_some_and(|at| *at + RATE_WINDOW < now) {
            desk.ends.pop_front();
        }
        let ahead = desk.line.ahead(ask.priority, late) as u64;
        let ends = desk.ends.len() as u64;
        Span((RATE_WINDOW.0 * ahead).checked_div(ends).unwrap_or(0))
    }

    fn distance(&self, zone: &ZoneId) -> u32 {
        let region = |zone| self.place.regions.get(zone);
        match () {
            () if *zone == self.place.zone => 0,
            () if region(zone) == region(&self.place.zone) => 1,
            () => 2,
        }
    }
}

fn specs(catalog: &Catalog) -> BTreeMap<ServiceId, Rc<ServiceSpec>> {
    let spec = |service: &super::catalog::Service| ServiceSpec {
        cold_rate: service.cold_rate,
        engine: service.engine.clone(),
    };
    catalog.services.iter().map(|(name, service)| (name.clone(), Rc::new(spec(service)))).collect()
}
