//! The choice of an endpoint by an entry.

use std::collections::BTreeMap;

use rand::{Rng, seq::IndexedRandom};

use crate::{
    declare::Fleet,
    ids::{ClientId, ServiceId, VmId, ZoneId},
    lease::LEASE,
    peers::weight,
    proto::Load,
    refuse::{RETRY, Reason, Refusal},
    time::Time,
};

/// The part of an endpoint's limit that stays free before its load gives way to another's.
const SPARE: u32 = 4;

/// The requests beyond its credit that an entry may have at an endpoint with spare room.
const BORROWED: u32 = 1;

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
pub struct Known {
    /// The load that the endpoint reported last.
    pub load: Load,
    /// When it did.
    pub at: Time,
    /// The requests that this entry has sent there since that report.
    pub sent: u32,
    /// The requests that this entry has in progress there.
    pub own: u32,
    /// Whether the platform's list or the endpoint itself says that it leaves.
    pub leaving: bool,
}

impl Known {
    /// Returns the room by the report and what was sent since.
    pub fn free(&self) -> u32 {
        self.load.limit.saturating_sub(self.load.running + self.sent)
    }

    /// Returns the room by the credit that this entry holds, and where it may borrow, beyond it.
    pub fn credit(&self, borrow: bool) -> u32 {
        let borrowed = if borrow && self.spare() { BORROWED } else { 0 };
        (self.load.credit + borrowed).saturating_sub(self.own)
    }

    fn spare(&self) -> bool {
        self.free() > self.load.limit / SPARE
    }
}

/// A request that looks for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
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
    known: BTreeMap<VmId, Known>,
}

impl Router {
    /// Returns a router for an entry in `zone`.
    pub fn new(zone: ZoneId, policy: Policy) -> Self {
        Self { zone, policy, known: BTreeMap::new() }
    }

    /// Takes a load report.
    pub fn report(&mut self, now: Time, vm: &VmId, load: Load) {
        let known = self.known.entry(vm.clone()).or_default();
        known.load = load;
        known.at = now;
        known.sent = 0;
    }

    /// Forgets an endpoint that no longer answers.
    pub fn lost(&mut self, vm: &VmId) {
        self.known.remove(vm);
    }

    /// Takes note that an endpoint is leaving or no longer is.
    pub fn leaving(&mut self, vm: &VmId, leaving: bool) {
        if let Some(known) = self.known.get_mut(vm) {
            known.leaving = leaving;
        }
    }

    /// Takes note that an endpoint is full: nothing more is sent there before a report or an end.
    pub fn full(&mut self, vm: &VmId) {
        if let Some(known) = self.known.get_mut(vm) {
            known.load.running = known.load.limit;
            known.load.credit = known.load.credit.min(known.own);
        }
    }

    /// Takes note that a request that was sent to an endpoint has ended there.
    pub fn ended(&mut self, vm: &VmId) {
        if let Some(known) = self.known.get_mut(vm) {
            known.own = known.own.saturating_sub(1);
        }
    }

    /// Returns what is known of each endpoint.
    pub fn known(&self) -> &BTreeMap<VmId, Known> {
        &self.known
    }

    /// Returns the endpoints of a service that take new work.
    pub fn ready<'a>(
        &'a self,
        now: Time,
        fleet: &'a Fleet,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = (&'a VmId, &'a Known)> {
        let endpoints = fleet.endpoints(service).filter(|vm| fleet.zone_in_service(&vm.name));
        let known = endpoints.filter_map(|vm| Some((&vm.name, self.known.get(&vm.name)?)));
        known.filter(move |(_, known)| known.load.open && !known.leaving && known.at + LEASE > now)
    }

    /// Chooses an endpoint that takes new work, in the own zone where one has room.
    pub fn choose(
        &mut self,
        fleet: &Fleet,
        query: Query<'_>,
        rng: &mut impl Rng,
    ) -> Result<VmId, Refusal> {
        let ready: Vec<(&VmId, &Known)> = self
            .ready(query.now, fleet, query.service)
            .filter(|(vm, _)| !query.tried.contains(vm))
            .collect();
        if ready.is_empty() {
            return Err(Refusal::after(Reason::NoEndpoint, RETRY));
        }
        let near = |vm: &VmId| fleet.vms.get(vm).is_some_and(|vm| vm.zone == self.zone);
        let (own, far): (Vec<_>, Vec<_>) = ready.into_iter().partition(|(vm, _)| near(vm));
        let best = self.pick(&own, query, rng).or_else(|| self.pick(&far, query, rng));
        let best = best.ok_or(Refusal::after(Reason::Overload, RETRY))?.clone();
        self.taken(&best);
        Ok(best)
    }

    /// Takes note that a request goes to an endpoint.
    pub fn taken(&mut self, vm: &VmId) {
        let known = self.known.entry(vm.clone()).or_default();
        known.sent += 1;
        known.own += 1;
    }

    fn pick<'a>(
        &self,
        from: &[(&'a VmId, &Known)],
        query: Query<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a VmId> {
        let home = |known: &[(&'a VmId, &Known)]| {
            let rank = |(vm, _): &&(&'a VmId, &Known)| {
                weight(vm.as_str(), query.client.as_str().as_bytes())
            };
            known.iter().max_by_key(rank).map(|(vm, _)| *vm)
        };
        let freer = |known: &[(&'a VmId, &Known)], rng: &mut _| {
            let two = known.choose_multiple(rng, 2);
            two.max_by_key(|(_, known)| known.free()).map(|(vm, _)| *vm)
        };
        let room: Vec<_> = from.iter().filter(|(_, known)| known.free() > 0).copied().collect();
        match self.policy {
            Policy::HashOnly => home(from),
            Policy::LeastLoaded => {
                room.iter().max_by_key(|(_, known)| known.free()).map(|(vm, _)| *vm)
            }
            Policy::TwoChoices => freer(&room, rng),
            Policy::Credits => {
                let credit = |(_, known): &&(&'a VmId, &Known)| known.credit(query.borrow) > 0;
                let credited: Vec<_> = from.iter().filter(credit).copied().collect();
                let spare = |(_, known): &&(&'a VmId, &Known)| known.spare();
                let spared: Vec<_> = credited.iter().filter(spare).copied().collect();
                home(&spared).or_else(|| freer(&credited, rng))
            }
        }
    }
}
