//! Routing: an entry's choice of an endpoint for each request.

use std::collections::BTreeMap;

use rand::{Rng, seq::IndexedRandom};

use crate::{
    declare::Fleet,
    ids::{ClientId, ServiceId, VmId, ZoneId},
    lease::LEASE_DURATION,
    proto::Load,
    refusal::{DEFAULT_RETRY_DELAY, Reason, Refusal},
    rendezvous::weight,
    time::Time,
};

/// An endpoint has spare slots while more than its limit divided by this are free; only then does
/// it attract the accounts that hash to it and accept requests beyond the credit.
const SPARE_DIVISOR: u32 = 4;

/// The number of requests beyond its credit that an entry may have at an endpoint with spare slots.
const MAX_BORROWED: u32 = 1;

/// The policy by which an entry chooses among endpoints.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The endpoint that rendezvous hashing assigns to the account among those with credit and
    /// spare slots; if there is none, the freer of two random endpoints with credit.
    #[default]
    Credits,
    /// The freer of two random endpoints, by the load that they reported.
    TwoChoices,
    /// The endpoint with the most free slots, by the load that it reported.
    LeastLoaded,
    /// The endpoint that rendezvous hashing assigns to the account, whatever its load.
    HashOnly,
}

/// The state of an endpoint as known to an entry.
#[derive(Clone, Debug, Default)]
pub struct KnownEndpoint {
    /// The last reported load.
    pub load: Load,
    /// The time of that report.
    pub reported_at: Time,
    /// The number of requests that this entry has sent since that report.
    pub sent: u32,
    /// The number of requests that this entry has in progress at the endpoint.
    pub in_progress: u32,
    /// Whether the platform or the endpoint itself has announced that the endpoint is leaving.
    pub leaving: bool,
}

impl KnownEndpoint {
    /// Returns the free slots by the last report, less the requests sent since.
    pub fn free_slots(&self) -> u32 {
        self.load.limit.saturating_sub(self.load.running + self.sent)
    }

    /// Returns how many more requests this entry may send by its credit, with `borrow` also beyond
    /// the credit if the endpoint has spare slots.
    pub fn available_credit(&self, borrow: bool) -> u32 {
        let borrowed = if borrow && self.has_spare_slots() { MAX_BORROWED } else { 0 };
        (self.load.credit + borrowed).saturating_sub(self.in_progress)
    }

    fn has_spare_slots(&self) -> bool {
        self.free_slots() > self.load.limit / SPARE_DIVISOR
    }
}

/// The parameters of a routing decision.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The current time.
    pub now: Time,
    /// The service.
    pub service: &'a ServiceId,
    /// The client account.
    pub client: &'a ClientId,
    /// The endpoints that have already refused the request.
    pub tried: &'a [VmId],
    /// Whether the request may exceed the credit at an endpoint with spare slots.
    pub borrow: bool,
}

/// Chooses endpoints for the requests of one entry.
#[derive(Clone, Debug)]
pub struct Router {
    zone: ZoneId,
    policy: Policy,
    known: BTreeMap<VmId, KnownEndpoint>,
}

impl Router {
    /// Returns a router for an entry in `zone`.
    pub fn new(zone: ZoneId, policy: Policy) -> Self {
        Self { zone, policy, known: BTreeMap::new() }
    }

    /// Records a load report.
    pub fn record_load(&mut self, now: Time, vm: &VmId, load: Load) {
        let known = self.known.entry(vm.clone()).or_default();
        known.load = load;
        known.reported_at = now;
        known.sent = 0;
    }

    /// Removes an endpoint that no longer responds.
    pub fn remove_endpoint(&mut self, vm: &VmId) {
        self.known.remove(vm);
    }

    /// Sets whether an endpoint is leaving.
    pub fn set_leaving(&mut self, vm: &VmId, leaving: bool) {
        if let Some(known) = self.known.get_mut(vm) {
            known.leaving = leaving;
        }
    }

    /// Marks an endpoint as full, so that it gets no more requests until its next report or until a
    /// request ends there.
    pub fn mark_full(&mut self, vm: &VmId) {
        if let Some(known) = self.known.get_mut(vm) {
            known.load.running = known.load.limit;
            known.load.credit = known.load.credit.min(known.in_progress);
        }
    }

    /// Records that a request sent to an endpoint has ended.
    pub fn record_end(&mut self, vm: &VmId) {
        if let Some(known) = self.known.get_mut(vm) {
            known.in_progress = known.in_progress.saturating_sub(1);
        }
    }

    /// Returns all known endpoints.
    pub fn endpoints(&self) -> &BTreeMap<VmId, KnownEndpoint> {
        &self.known
    }

    /// Returns the endpoints of a service that accept new requests and have reported within the
    /// lease duration.
    pub fn ready<'a>(
        &'a self,
        now: Time,
        fleet: &'a Fleet,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = (&'a VmId, &'a KnownEndpoint)> {
        let endpoints = fleet.endpoints(service).filter(|vm| fleet.zone_in_service(&vm.name));
        let known = endpoints.filter_map(|vm| Some((&vm.name, self.known.get(&vm.name)?)));
        known.filter(move |(_, known)| {
            known.load.open && !known.leaving && known.reported_at + LEASE_DURATION > now
        })
    }

    /// Chooses an endpoint that accepts new requests, with preference for the entry's own zone.
    pub fn choose(
        &mut self,
        fleet: &Fleet,
        query: RouteQuery<'_>,
        rng: &mut impl Rng,
    ) -> Result<VmId, Refusal> {
        let ready: Vec<(&VmId, &KnownEndpoint)> = self
            .ready(query.now, fleet, query.service)
            .filter(|(vm, _)| !query.tried.contains(vm))
            .collect();
        if ready.is_empty() {
            return Err(Refusal::retry_after(Reason::NoEndpoint, DEFAULT_RETRY_DELAY));
        }
        let same_zone = |vm: &VmId| fleet.vms.get(vm).is_some_and(|vm| vm.zone == self.zone);
        let (own, far): (Vec<_>, Vec<_>) = ready.into_iter().partition(|(vm, _)| same_zone(vm));
        let best = self.select(&own, query, rng).or_else(|| self.select(&far, query, rng));
        let best = best.ok_or(Refusal::retry_after(Reason::Overload, DEFAULT_RETRY_DELAY))?.clone();
        self.record_sent(&best);
        Ok(best)
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_sent(&mut self, vm: &VmId) {
        let known = self.known.entry(vm.clone()).or_default();
        known.sent += 1;
        known.in_progress += 1;
    }

    fn select<'a>(
        &self,
        from: &[(&'a VmId, &KnownEndpoint)],
        query: RouteQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a VmId> {
        let hash_owner = |known: &[(&'a VmId, &KnownEndpoint)]| {
            let rank = |(vm, _): &&(&'a VmId, &KnownEndpoint)| {
                weight(vm.as_str(), query.client.as_str().as_bytes())
            };
            known.iter().max_by_key(rank).map(|(vm, _)| *vm)
        };
        let freer_of_two = |known: &[(&'a VmId, &KnownEndpoint)], rng: &mut _| {
            let two = known.choose_multiple(rng, 2);
            two.max_by_key(|(_, known)| known.free_slots()).map(|(vm, _)| *vm)
        };
        let with_free_slots: Vec<_> =
            from.iter().filter(|(_, known)| known.free_slots() > 0).copied().collect();
        match self.policy {
            Policy::HashOnly => hash_owner(from),
            Policy::LeastLoaded => with_free_slots
                .iter()
                .max_by_key(|(_, known)| known.free_slots())
                .map(|(vm, _)| *vm),
            Policy::TwoChoices => freer_of_two(&with_free_slots, rng),
            Policy::Credits => {
                let has_credit = |(_, known): &&(&'a VmId, &KnownEndpoint)| {
                    known.available_credit(query.borrow) > 0
                };
                let with_credit: Vec<_> = from.iter().filter(has_credit).copied().collect();
                let has_spare_slots =
                    |(_, known): &&(&'a VmId, &KnownEndpoint)| known.has_spare_slots();
                let with_spare_slots: Vec<_> =
                    with_credit.iter().filter(has_spare_slots).copied().collect();
                hash_owner(&with_spare_slots).or_else(|| freer_of_two(&with_credit, rng))
            }
        }
    }
}
