//! Keys and tickets in a driven world: who ran what, and copies of messages.

use std::collections::{BTreeMap, BTreeSet};

use sequoiahold_core::{
    ids::VmId,
    once::{CallKey, OnceTicket},
    suspect::Fingerprint,
    units::Span,
};

use super::{
    CallId, Message,
    world::{Event, World},
};

/// Faults of messages and the runs of each key.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The times that a service began to run a key.
    pub key_runs: BTreeMap<CallKey, u32>,
    /// The delay after which each request comes once more, whatever became of its endpoint since.
    pub duplicate_delay: Option<Span>,
    /// The VMs whose answers to entries are lost.
    pub muted_vms: Vec<VmId>,
    /// The pairs of VMs whose connection has gone silent; a new one works.
    pub silenced: BTreeSet<(VmId, VmId)>,
    /// The requests that crash the engine that runs them.
    pub poison_requests: BTreeSet<Fingerprint>,
}

impl World {
    /// Issues a ticket at an endpoint.
    pub fn issue_ticket(&mut self, vm: &VmId, client: &str, service: &str) -> Option<OnceTicket> {
        let now = self.now;
        let (client, service) = (client.parse().ok()?, service.parse().ok()?);
        self.endpoints.get_mut(vm)?.core.issue_ticket(now, &client, &service).ok()
    }

    /// Returns the most times that a service began to run one key.
    pub fn max_key_runs(&self) -> u32 {
        self.faults.key_runs.values().copied().max().unwrap_or(0)
    }

    pub(super) fn count_run(&mut self, call: CallId) {
        let record = &mut self.calls[call.0];
        record.runs += 1;
        if let Some(key) = &record.key {
            *self.faults.key_runs.entry(key.clone()).or_default() += 1;
        }
    }

    /// Returns whether a message is lost, and sends a copy of a request later.
    pub(super) fn inject_fault(&mut self, from: &VmId, to: &VmId, message: &Message) -> bool {
        let pairs = [(from.clone(), to.clone()), (to.clone(), from.clone())];
        if pairs.iter().any(|pair| self.faults.silenced.contains(pair)) {
            return true;
        }
        let is_answer = !matches!(message, Message::HeartbeatReply(_) | Message::Handover(_));
        if self.faults.muted_vms.contains(from) && self.entries.contains_key(to) && is_answer {
            return true;
        }
        if let (Message::Request(_), Some(span)) = (message, self.faults.duplicate_delay) {
            let (from, to, message) = (from.clone(), to.clone(), message.clone());
            self.schedule(span, Event::Duplicate { from, to, message });
        }
        false
    }
}
