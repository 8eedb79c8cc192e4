//! Injected faults, and the runs of each idempotency key.

use std::collections::{BTreeMap, BTreeSet};

use sequoiahold_core::{
    ids::VmId,
    once::{CallKey, OnceTicket},
    suspect::Fingerprint,
    units::Span,
};

use super::{
    CallId, Message,
    simulation::{Event, Simulation},
};

/// Faults to inject, and the number of runs of each idempotency key.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Number of times that a service started to run each key.
    pub key_runs: BTreeMap<CallKey, u32>,
    /// Delay after which each request is delivered again, even to a restarted endpoint.
    pub duplicate_delay: Option<Span>,
    /// VMs whose messages to entries are lost, except heartbeat replies and key handovers.
    pub muted_vms: Vec<VmId>,
    /// Pairs of VMs whose messages are lost both ways until the entry closes the connection.
    pub silent_pairs: BTreeSet<(VmId, VmId)>,
    /// Fingerprints of requests that crash the engine that runs them.
    pub poison_requests: BTreeSet<Fingerprint>,
}

impl Simulation {
    /// Issues an idempotency ticket at an endpoint; `None` if a name is invalid or it refuses.
    pub fn issue_ticket(&mut self, vm: &VmId, client: &str, service: &str) -> Option<OnceTicket> {
        let now = self.now;
        let (client, service) = (client.parse().ok()?, service.parse().ok()?);
        self.endpoints.get_mut(vm)?.core.issue_ticket(now, &client, &service).ok()
    }

    /// Returns the highest number of runs of one idempotency key.
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

    /// Returns whether a message is lost; otherwise schedules the duplicate of a request, if any.
    pub(super) fn inject_fault(&mut self, from: &VmId, to: &VmId, message: &Message) -> bool {
        let pairs = [(from.clone(), to.clone()), (to.clone(), from.clone())];
        if pairs.iter().any(|pair| self.faults.silent_pairs.contains(pair)) {
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
