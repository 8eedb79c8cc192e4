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
pub struct Keys {
    /// The times that a service began to run a key.
    pub runs: BTreeMap<CallKey, u32>,
    /// The delay after which each request comes once more, whatever became of its endpoint since.
    pub copies: Option<Span>,
    /// The VMs whose answers to entries are lost.
    pub mute: Vec<VmId>,
    /// The pairs of VMs whose connection has gone silent; a new one works.
    pub silent: BTreeSet<(VmId, VmId)>,
    /// The requests that crash the engine that runs them.
    pub poison: BTreeSet<Fingerprint>,
}

impl World {
    /// Issues a ticket at an endpoint.
    pub fn issue(&mut self, vm: &VmId, client: &str, service: &str) -> Option<OnceTicket> {
        let now = self.now;
        let (client, service) = (client.parse().ok()?, service.parse().ok()?);
        self.endpoints.get_mut(vm)?.core.issue_ticket(now, &client, &service).ok()
    }

    /// Returns the most times that a service began to run one key.
    pub fn most_runs(&self) -> u32 {
        self.keys.runs.values().copied().max().unwrap_or(0)
    }

    pub(super) fn count_run(&mut self, call: CallId) {
        let record = &mut self.calls[call.0];
        record.runs += 1;
        if let Some(key) = &record.key {
            *self.keys.runs.entry(key.clone()).or_default() += 1;
        }
    }

    /// Returns whether a message is lost, and sends a copy of a request later.
    pub(super) fn disturb(&mut self, from: &VmId, to: &VmId, message: &Message) -> bool {
        let pairs = [(from.clone(), to.clone()), (to.clone(), from.clone())];
        if pairs.iter().any(|pair| self.keys.silent.contains(pair)) {
            return true;
        }
        let answer = !matches!(message, Message::Answer(_) | Message::Keys(_));
        if self.keys.mute.contains(from) && self.entries.contains_key(to) && answer {
            return true;
        }
        if let (Message::Ask(_), Some(span)) = (message, self.keys.copies) {
            let (from, to, message) = (from.clone(), to.clone(), message.clone());
            self.push(span, Event::Copy { from, to, message });
        }
        false
    }
}
