//! The choice of an endpoint by an entry.

use std::collections::BTreeMap;

use rand::{Rng, seq::IndexedRandom};

use crate::{
    declare::Fleet,
    ids::{ServiceId, VmId, ZoneId},
    proto::Load,
    refuse::{Reason, Refusal},
    units::Span,
};

/// The time after which a refused caller may come back when no better figure is known.
const RETRY: Span = Span::secs(1);

/// What an entry knows of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// The load that the endpoint reported last.
    pub load: Load,
    /// The requests that this entry has sent there since that report.
    pub sent: u32,
    /// Whether the platform's list or the endpoint itself says that it leaves.
    pub leaving: bool,
}

impl Known {
    fn free(&self) -> i64 {
        i64::from(self.load.limit) - i64::from(self.load.running) - i64::from(self.sent)
    }
}

/// Chooses endpoints for requests.
#[derive(Clone, Debug)]
pub struct Router {
    zone: ZoneId,
    known: BTreeMap<VmId, Known>,
}

impl Router {
    /// Returns a router for an entry in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self { zone, known: BTreeMap::new() }
    }

    /// Takes a load report.
    pub fn report(&mut self, vm: &VmId, load: Load) {
        let known = self.known.entry(vm.clone()).or_default();
        known.load = load;
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

    /// Returns what is known of each endpoint.
    pub fn known(&self) -> &BTreeMap<VmId, Known> {
        &self.known
    }

    /// Chooses an endpoint that takes new work, the freer of two picked at random.
    pub fn choose(
        &mut self,
        fleet: &Fleet,
        service: &ServiceId,
        tried: &[VmId],
        rng: &mut impl Rng,
    ) -> Result<VmId, Refusal> {
        let ready: Vec<&VmId> = fleet
            .endpoints(service)
            .map(|vm| &vm.name)
            .filter(|vm| fleet.in_service(vm) && !tried.contains(vm))
            .filter(|vm| self.known.get(vm).is_some_and(|k| k.load.open && !k.leaving))
            .collect();
        if ready.is_empty() {
            return Err(Refusal::after(Reason::NoEndpoint, RETRY));
        }
        let free = |vm: &VmId| self.known.get(vm).map_or(0, Known::free);
        let with_room: Vec<&VmId> = ready.into_iter().filter(|vm| free(vm) > 0).collect();
        let near: Vec<&VmId> =
            with_room.iter().copied().filter(|vm| fleet.vms[*vm].zone == self.zone).collect();
        let from = if near.is_empty() { &with_room } else { &near };
        let picked: Vec<&&VmId> = from.choose_multiple(rng, 2).collect();
        let best = picked.into_iter().max_by_key(|vm| free(vm)).map(|vm| (*vm).clone());
        let best = best.ok_or(Refusal::after(Reason::Overload, RETRY))?;
        self.known.entry(best.clone()).or_default().sent += 1;
        Ok(best)
    }
}
