//! The choice of an endpoint by an entry.

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

/// The part of an endpoint's limit that stays free before its load gives way to another's.
const SPARE_DIVISOR: u32 = 4;

/// The requests beyond its credit that an entry may have at an endpoint with spare room.
const MAX_BORROWED: u32 = 1;

/// How an entry chooses among the endpoints that it knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The account's own endpoint while it has spare room, else the freer of two with credit.
    #[default]
    Credits,
    /// The freer of two picked at random, by their reports.
    TwoChoices,
    /// The freest by the reports.
    LeastLoaded,
    /// The account's own endpoint, whatever its load.
    HashOnly,
}

/// What an entry knows of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct KnownEndpoint {
    /// The load that the endpoint reported last.
    pub load: Load,
    /// When it did.
    pub reported_at: Time,
    /// The requests that this entry has sent there since that report.
    pub sent: u32,
    /// The requests that this entry has in progress there.
    pub in_progress: u32,
    /// Whether the platform's list or the endpoint itself says that it leaves.
    pub leaving: bool,
}

impl KnownEndpoint {
    /// Returns the room by the report and what was sent since.
    pub fn free_slots(&self) -> u32 {
        self.load.limit.saturating_sub(self.load.running + self.sent)
    }

    /// Returns the room by the credit that this entry holds, and where it may borrow, beyond it.
    pub fn available_credit(&self, borrow: bool) -> u32 {
        let borrowed = if borrow && self.has_spare_slots() { MAX_BORROWED } else { 0 };
        (self.load.credit + borrowed).saturating_sub(self.in_progress)
    }

    fn has_spare_slots(&self) -> bool {
        self.free_slots() > self.load.limit / SPARE_DIVISOR
    }
}

/// A request that looks for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The present time.
    pub now: Time,
    /// The service.
    pub service: &'a ServiceId,
    /// The client account.
    pub client: &'a ClientId,
    /// The endpoints that have refused it.
    pub tried: &'a [VmId],
    /// Whether it may go to an endpoint with spare room beyond the credit.
    pub borrow: bool,
}

/// Chooses endpoints for requests.
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

    /// Takes a load report.
    pub fn record_load(&mut self, now: Time, vm: &VmId, load: Load) {
        let known = self.known.entry(vm.clone()).or_default();
        known.load = load;
        known.reported_at = now;
        known.sent = 0;
    }

    /// Forgets an endpoint that no longer answers.
    pub fn remove_endpoint(&mut self, vm: &VmId) {
        self.known.remove(vm);
    }

    /// Takes note that an endpoint is leaving or no longer is.
    pub fn set_leaving(&mut self, vm: &VmId, leaving: bool) {
        if let Some(known) = self.known.get_mut(vm) {
            known.leaving = leaving;
        }
    }

    /// Takes note that an endpoint is full: nothing more is sent there before a report or an end.
    pub fn mark_full(&mut self, vm: &VmId) {
        if let Some(known) = self.known.get_mut(vm) {
            known.load.running = known.load.limit;
            known.load.credit = known.load.credit.min(known.in_progress);
        }
    }

    /// Takes note that a request that was sent to an endpoint has ended there.
    pub fn record_end(&mut self, vm: &VmId) {
        if let Some(known) = self.known.get_mut(vm) {
            known.in_progress = known.in_progress.saturating_sub(1);
        }
    }

    /// Returns what is known of each endpoint.
    pub fn endpoints(&self) -> &BTreeMap<VmId, KnownEndpoint> {
        &self.known
    }

    /// Returns the endpoints of a service that take new work.
    pub fn ready<'a>(
        &'a self,
        now: Time,
        fleet: &'a Fleet,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = (&'a VmId, &'a KnownEndpoint)> {
        let endpoints = fleet.endpoints(service).filter(|vm| fleet.in_service(&vm.name));
        let known = endpoints.filter_map(|vm| Some((&vm.name, self.known.get(&vm.name)?)));
        known.filter(move |(_, known)| {
            known.load.open && !known.leaving && known.reported_at + LEASE_DURATION > now
        })
    }

    /// Chooses an endpoint that takes new work, in the own zone where one has room.
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

    /// Takes note that a request goes to an endpoint.
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
