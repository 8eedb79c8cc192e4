//! Ownership of the keys that callers choose, and its transfer between endpoints.
//!
//! `spec/once.pml` models this protocol; its variables `highest_generation`, `changed_generation`,
//! `records_lost` and `previous_owner` have the names of the fields that they model.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{KEY_LIFETIME, MAX_CLOCK_SKEW, Record, key::creation_time};
use crate::{
    ids::{Generation, IdempotencyKey, VmId},
    rendezvous,
    time::Time,
    units::Span,
};

/// The answer of an endpoint to the new owner of keys that the endpoint may have run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Handover {
    /// The generation in force at the endpoint, which runs no key under an older one.
    pub generation: Generation,
    /// The generation of the request for the handover.
    pub asked: Generation,
    /// The time since the process adopted its first configuration; it has no earlier records.
    pub age: Span,
    /// The records of keys that the endpoint has run or runs and that the requester owns.
    pub records: Vec<Record>,
}

/// The state of an endpoint that may have run keys under an earlier generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PreviousOwner {
    /// The endpoint has not confirmed that it follows the new generation.
    Unconfirmed,
    /// Callers may repeat keys that the endpoint has run until this time.
    Until(Time),
}

/// Decides which keys chosen by callers this endpoint may run.
#[derive(Clone, Debug)]
pub struct KeyOwnership {
    own: VmId,
    generation: Generation,
    /// The highest generation that any endpoint is known to follow.
    highest_generation: Generation,
    /// The generation of the last change of members.
    changed_generation: Generation,
    members: Vec<VmId>,
    declared: Vec<VmId>,
    /// Earlier member lists under which callers may still repeat keys.
    past: Vec<Vec<VmId>>,
    epoch: Time,
    /// When the process adopted its first configuration.
    since: Option<Time>,
    /// Whether an earlier incarnation may have run keys that callers may still repeat.
    records_lost: bool,
    /// The states of the other endpoints that may have run keys under an earlier generation.
    previous_owner: BTreeMap<VmId, PreviousOwner>,
}

impl KeyOwnership {
    /// Returns the state of a new process; `epoch` is the wall clock at time 0.
    pub fn new(own: VmId, epoch: Time) -> Self {
        Self {
            own,
            generation: Generation::default(),
            highest_generation: Generation::default(),
            changed_generation: Generation::default(),
            members: vec![],
            declared: vec![],
            past: vec![],
            epoch,
            since: None,
            records_lost: true,
            previous_owner: BTreeMap::new(),
        }
    }

    /// Sets the endpoints that share the keys and all declared endpoints of the service.
    pub fn adopt(
        &mut self,
        now: Time,
        generation: Generation,
        members: Vec<VmId>,
        declared: &[VmId],
    ) {
        self.generation = generation;
        self.record_generation(generation);
        self.record_withdrawn(now, declared);
        let first = self.since.is_none();
        self.since.get_or_insert(now);
        if !first && self.members == members {
            return;
        }
        let previous = std::mem::replace(&mut self.members, members);
        if !first {
            self.past.push(previous);
        }
        self.changed_generation = generation;
        for vm in self.declared.iter().filter(|vm| **vm != self.own) {
            self.previous_owner.insert(vm.clone(), PreviousOwner::Unconfirmed);
        }
    }

    /// Records a generation that another endpoint follows.
    pub fn record_generation(&mut self, generation: Generation) {
        self.highest_generation = self.highest_generation.max(generation);
    }

    /// Records the handover of another endpoint and returns whether it holds for the current
    /// owners.
    ///
    /// An endpoint above the requested generation may run the keys under a configuration that this
    /// endpoint has not seen; one below the last change of owners may run them under an old one.
    pub fn accept_handover(&mut self, now: Time, from: &VmId, handover: &Handover) -> bool {
        self.record_generation(handover.generation);
        if handover.generation < self.changed_generation || handover.generation > handover.asked {
            return false;
        }
        if let Some(owner) = self.previous_owner.get_mut(from)
            && *owner == PreviousOwner::Unconfirmed
        {
            *owner =
                PreviousOwner::Until(now + Span(KEY_LIFETIME.0.saturating_sub(handover.age.0)));
        }
        true
    }

    /// Returns whether this endpoint may run a key of which it has no record.
    pub fn may_run(&mut self, now: Time, key: &IdempotencyKey) -> bool {
        let owned = |members: &[VmId]| key_owner(members, key) == Some(&self.own);
        let created = creation_time(key, self.epoch);
        let future = created.is_some_and(|at| at > now + MAX_CLOCK_SKEW);
        if future || self.highest_generation > self.generation || !owned(&self.members) {
            return false;
        }
        let always_owned = !self.records_lost && self.past.iter().all(|members| owned(members));
        always_owned
            || self.try_settle(now)
            || created.is_some_and(|at| self.is_created_after_transfer(at))
    }

    /// Returns whether no previous owner can have run a key that callers may still repeat.
    pub fn try_settle(&mut self, now: Time) -> bool {
        let quarantine_over = self.since.is_some_and(|since| now >= since + KEY_LIFETIME);
        let expired =
            |owner: &PreviousOwner| matches!(owner, PreviousOwner::Until(at) if *at <= now);
        let settled =
            self.previous_owner.values().all(expired) && (quarantine_over || !self.records_lost);
        if settled && self.since.is_some() {
            self.records_lost = false;
            self.past.clear();
            self.previous_owner.retain(|vm, _| self.declared.contains(vm));
        }
        settled && !self.records_lost
    }

    /// Returns whether a key was created after all previous owners had stopped running keys.
    fn is_created_after_transfer(&self, created: Time) -> bool {
        let after = |stopped: Time| created > stopped + MAX_CLOCK_SKEW;
        let stopped = |owner: &PreviousOwner| match owner {
            PreviousOwner::Unconfirmed => false,
            PreviousOwner::Until(at) => after(Time((*at - Time(KEY_LIFETIME.0)).0)),
        };
        self.since.is_some_and(after) && self.previous_owner.values().all(stopped)
    }

    /// Returns the endpoints that have not yet confirmed that they follow the current generation.
    pub fn unconfirmed(&self) -> Vec<VmId> {
        let unconfirmed =
            self.previous_owner.iter().filter(|(_, owner)| **owner == PreviousOwner::Unconfirmed);
        unconfirmed.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the generation that this endpoint follows.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the time since the process adopted its first configuration.
    pub fn age(&self, now: Time) -> Span {
        self.since.map_or(Span::default(), |since| now - since)
    }

    /// Treats an undeclared VM as stopped, which its operators confirm by withdrawing it.
    fn record_withdrawn(&mut self, now: Time, declared: &[VmId]) {
        let previous = std::mem::replace(&mut self.declared, declared.to_vec());
        for vm in previous.into_iter().filter(|vm| !declared.contains(vm)) {
            self.previous_owner.insert(vm, PreviousOwner::Until(now + KEY_LIFETIME));
        }
    }
}

/// Returns the owner of a key among the endpoints that share the keys, by rendezvous hashing.
pub fn key_owner<'a>(members: &'a [VmId], key: &IdempotencyKey) -> Option<&'a VmId> {
    members.iter().max_by_key(|vm| rendezvous::weight(vm.as_str(), key.as_str().as_bytes()))
}
