//! Routing of a call with a key or ticket to the only endpoint that may run it.

use std::net::SocketAddr;

use rand::seq::IndexedRandom as _;

use super::Entry;
use crate::{
    declare::Fleet,
    endpoint::key_members,
    ids::{ServiceId, VmId},
    once::{CallKey, key_owner},
    refusal::{Reason, Refusal},
    time::Time,
    units::Span,
};

/// Retry delay for a call with a key.
const KEY_RETRY: Span = Span::secs(1);

impl Entry {
    /// Chooses a random ready endpoint to issue a ticket for a service.
    pub fn choose_issuer(
        &mut self,
        now: Time,
        service: &ServiceId,
    ) -> Result<(VmId, SocketAddr), Refusal> {
        let fleet = self.fleet().ok_or(Refusal::retry_after(Reason::Unconfigured, KEY_RETRY))?;
        let ready: Vec<&VmId> = self.router.ready(now, &fleet, service).map(|(vm, _)| vm).collect();
        let chosen = ready.choose(&mut self.rng).map(|vm| (*vm).clone());
        let vm = chosen.ok_or(Refusal::retry_after(Reason::NoEndpoint, KEY_RETRY))?;
        let addr = fleet.vms.get(&vm).map(|vm| vm.addr).ok_or(Refusal::new(Reason::NoEndpoint))?;
        Ok((vm, addr))
    }

    /// Returns the only endpoint that may run a call with this key, or why it cannot run now.
    pub(super) fn choose_keyed(
        &self,
        fleet: &Fleet,
        service: &ServiceId,
        key: &CallKey,
        tried: &[VmId],
    ) -> Result<VmId, Refusal> {
        let unreachable = Refusal::retry_after(Reason::NoEndpoint, KEY_RETRY);
        let vm = match key {
            CallKey::Chosen(key) => key_owner(&key_members(fleet, service), key).cloned(),
            CallKey::Ticket(ticket) => Some(ticket.vm.clone()),
        };
        let vm = vm.filter(|vm| !tried.contains(vm)).ok_or(unreachable)?;
        let pool = fleet.pool_of(&vm).filter(|pool| pool.service == *service);
        pool.ok_or(Refusal::new(Reason::Key))?;
        let incarnation = self.incarnations.get(&vm).ok_or(unreachable)?;
        if let CallKey::Ticket(ticket) = key
            && ticket.incarnation != *incarnation
        {
            return Err(Refusal::new(Reason::Key));
        }
        self.router.endpoints().get(&vm).filter(|known| known.load.open).ok_or(unreachable)?;
        Ok(vm)
    }
}
