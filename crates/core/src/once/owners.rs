//! Which endpoint may run a key that its caller chose.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{KEY_LIFE, KEY_SKEW, Record, key::created};
use crate::{
    ids::{Generation, IdempotencyKey, VmId},
    rendezvous,
    time::Time,
    units::Span,
};

/// What an endpoint tells the new owner of keys that it may have run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HandOver {
    /// The generation that the endpoint follows; it runs no key by an older one.
    pub generation: Generation,
    /// The generation of the question.
    pub asked: Generation,
    /// The time since the process adopted its first set; what ran before is not known to it.
    pub age: Span,
    /// The keys that it has run or runs and that the asking endpoint owns.
    pub records: Vec<Record>,
}

/// What is known of an endpoint that may have run keys under an earlier generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Earlier {
    /// It has not said that it follows the new generation.
    Silent,
    /// Keys that it may have run can be repeated until this time.
    Until(Time),
}

/// Decides which chosen keys this endpoint may run.
#[derive(Clone, Debug)]
pub struct Owners {
    own: VmId,
    generation: Generation,
    newest: Generation,
    changed: Generation,
    members: Vec<VmId>,
    declared: Vec<VmId>,
    past: Vec<Vec<VmId>>,
    epoch: Time,
    since: Option<Time>,
    blank: bool,
    earlier: BTreeMap<VmId, Earlier>,
}

impl Owners {
    /// Returns the state of a process that has just started; `epoch` is the wall clock at time 0.
    pub fn new(own: VmId, epoch: Time) -> Self {
        Self {
            own,
            generation: Generation::default(),
            newest: Generation::default(),
            changed: Generation::default(),
            members: vec![],
            declared: vec![],
            past: vec![],
            epoch,
            since: None,
            blank: true,
            earlier: BTreeMap::new(),
        }
    }

    /// Takes the members that share the keys and all declared endpoints of the service.
    pub fn adopt(
        &mut self,
        now: Time,
        generation: Generation,
        members: Vec<VmId>,
        declared: &[VmId],
    ) {
        self.generation = generation;
        self.heard(generation);
        self.withdraw(now, declared);
        let first = self.since.is_none();
        self.since.get_or_insert(now);
        if !first && self.members == members {
            return;
        }
        let before = std::mem::replace(&mut self.members, members);
        if !first {
            self.past.push(before);
        }
        self.changed = generation;
        for vm in self.declared.iter().filter(|vm| **vm != self.own) {
            self.earlier.insert(vm.clone(), Earlier::Silent);
        }
    }

    /// Takes note of a generation that another endpoint follows.
    pub fn heard(&mut self, generation: Generation) {
        self.newest = self.newest.max(generation);
    }

    /// Takes the word of another endpoint and returns whether it holds for the present set.
    ///
    /// An endpoint above the generation of the question may run the keys by a set that this one
    /// has not seen; one below the last change of owners may run them by an old set.
    pub fn confirm(&mut self, now: Time, from: &VmId, given: &HandOver) -> bool {
        self.heard(given.generation);
        if given.generation < self.changed || given.generation > given.asked {
            return false;
        }
        if let Some(earlier) = self.earlier.get_mut(from)
            && *earlier == Earlier::Silent
        {
            *earlier = Earlier::Until(now + Span(KEY_LIFE.0.saturating_sub(given.age.0)));
        }
        true
    }

    /// Returns whether this endpoint may run a key that it does not remember.
    pub fn may_run(&mut self, now: Time, key: &IdempotencyKey) -> bool {
        let mine = |members: &[VmId]| owner(members, key) == Some(&self.own);
        let made = created(key, self.epoch);
        let future = made.is_some_and(|at| at > now + KEY_SKEW);
        if future || self.newest > self.generation || !mine(&self.members) {
            return false;
        }
        let always = !self.blank && self.past.iter().all(|members| mine(members));
        always || self.settle(now) || made.is_some_and(|at| self.is_young(at))
    }

    /// Returns whether no earlier owner can have run a key that may still be repeated.
    pub fn settle(&mut self, now: Time) -> bool {
        let alone = self.since.is_some_and(|since| now >= since + KEY_LIFE);
        let over = |earlier: &Earlier| matches!(earlier, Earlier::Until(at) if *at <= now);
        let settled = self.earlier.values().all(over) && (alone || !self.blank);
        if settled && self.since.is_some() {
            self.blank = false;
            self.past.clear();
            self.earlier.retain(|vm, _| self.declared.contains(vm));
        }
        settled && !self.blank
    }

    /// Returns whether a key was made at a time at which no earlier owner ran keys any more.
    fn is_young(&self, created: Time) -> bool {
        let after = |stopped: Time| created > stopped + KEY_SKEW;
        let stopped = |earlier: &Earlier| match earlier {
            Earlier::Silent => false,
            Earlier::Until(at) => after(Time((*at - Time(KEY_LIFE.0)).0)),
        };
        self.since.is_some_and(after) && self.earlier.values().all(stopped)
    }

    /// Returns the endpoints that have not yet said that they follow the present generation.
    pub fn silent(&self) -> Vec<VmId> {
        let silent = self.earlier.iter().filter(|(_, earlier)| **earlier == Earlier::Silent);
        silent.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the generation that this endpoint follows.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the time since the process adopted its first set.
    pub fn age(&self, now: Time) -> Span {
        self.since.map_or(Span::default(), |since| now - since)
    }

    /// Takes the withdrawal of a VM as its operators' word that the VM has stopped.
    fn withdraw(&mut self, now: Time, declared: &[VmId]) {
        let before = std::mem::replace(&mut self.declared, declared.to_vec());
        for vm in before.into_iter().filter(|vm| !declared.contains(vm)) {
            self.earlier.insert(vm, Earlier::Until(now + KEY_LIFE));
        }
    }
}

/// Returns the owner of a key among the members that share the keys.
pub fn owner<'a>(members: &'a [VmId], key: &IdempotencyKey) -> Option<&'a VmId> {
    members.iter().max_by_key(|vm| rendezvous::weight(vm.as_str(), key.as_str().as_bytes()))
}
