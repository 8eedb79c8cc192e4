//! Fetching an offered set and taking it into force.

use std::sync::Arc;

use bytes::Bytes;
use rand::seq::IndexedRandom as _;

use super::{
    delta::HeadDelta,
    fetch::{Fetch, Source},
    message::{ConfigCall, ConfigReply},
    node::{Node, Output, Timer, remember},
    state::ConfigEvent,
};
use crate::{
    adopt::{Adoption, Verify},
    declare::{Published, SetId},
    ids::{Digest, VmId},
    time::Time,
    units::Span,
};

/// Time that a fetch may take without a message.
const FETCH: Span = Span::secs(2);
/// Offers that are kept while a set is fetched.
const OFFERS: usize = 8;
/// Whole sets that a process gives in a second.
const MAX_SETS: u32 = 16;
/// Heads that a process keeps to tell differences from.
const RECENT: usize = 8;

impl<V: Verify> Node<V> {
    /// Takes the head of a peer, `None` where it has none.
    pub fn peer_head(&mut self, now: Time, vm: &VmId, delta: Option<&HeadDelta>) {
        let held = self.adopter.in_force().map(|now| now.published.clone());
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.is_from(vm)) else { return };
        let head = delta.and_then(|delta| delta.apply(held.as_ref().map(|held| &held.head)));
        let started = head.is_some_and(|head| fetch.start(head, held.as_deref(), &self.partial));
        if started { self.next_parts(now) } else { self.fail(now) }
    }

    /// Takes the whole set of a peer, `None` where it has none.
    pub fn peer_set(&mut self, now: Time, vm: &VmId, set: Option<Arc<Published>>) {
        if !self.fetch.as_ref().is_some_and(|fetch| fetch.is_from(vm)) {
            return;
        }
        match set {
            Some(set) => self.adopt(now, set),
            None => self.fail(now),
        }
    }

    /// Takes a part, `None` where the source did not give it.
    pub fn part(&mut self, now: Time, source: &Source, digest: Digest, part: Option<Bytes>) {
        let awaited = |fetch: &&mut Fetch| fetch.source == *source && fetch.awaits(&digest);
        let Some(fetch) = self.fetch.as_mut().filter(awaited) else { return };
        let Some(part) = part else { return self.fail(now) };
        if Digest::of(&part) != digest {
            self.counts.corrupt += 1;
            return self.fail(now);
        }
        fetch.arrived(digest, part);
        self.next_parts(now);
    }

    /// Answers a call of a peer about the configuration.
    pub fn answer(&mut self, now: Time, call: &ConfigCall) -> ConfigReply {
        match call {
            ConfigCall::Gossip(gossip) => {
                self.heard(now, gossip);
                ConfigReply::Gossip(Box::new(self.gossip(now)))
            }
            ConfigCall::Set => ConfigReply::Set(self.give_set(now)),
            ConfigCall::Head(base) => ConfigReply::Head(self.head(*base)),
            ConfigCall::Part(digest) => ConfigReply::Part(self.held_part(digest)),
        }
    }

    /// Returns the whole set in force, for a peer that holds nothing; a bounded number a second.
    pub fn give_set(&mut self, now: Time) -> Option<Arc<Published>> {
        let set = self.adopter.in_force().map(|now| now.published.clone())?;
        if now - self.given.0 >= Span::secs(1) {
            self.given = (now, 0);
        }
        self.given.1 += 1;
        (self.given.1 <= MAX_SETS).then_some(set)
    }

    /// Returns the head in force, as the difference from the head with this digest where known.
    pub fn head(&self, base: Digest) -> Option<HeadDelta> {
        let now = self.adopter.in_force()?;
        let base = self.recent.iter().find(|head| head.id().digest == base);
        Some(HeadDelta::between(base, &now.published.head))
    }

    /// Returns a part of the set in force.
    pub fn held_part(&self, digest: &Digest) -> Option<Bytes> {
        self.adopter.in_force()?.published.parts.get(digest).cloned()
    }

    /// Takes note that a source holds a set, and fetches it if it is newer.
    pub(super) fn offer(&mut self, now: Time, id: SetId, source: Source) {
        self.note_conflict(id);
        if !self.adopter.is_newer(&id) || self.refused.contains(&id) {
            return;
        }
        let offer = (id, source);
        if !self.offers.contains(&offer) {
            self.offers.push(offer);
        }
        if self.offers.len() > OFFERS {
            let lowest = self.offers.iter().enumerate().min_by_key(|(_, (id, _))| *id);
            if let Some((i, _)) = lowest {
                self.offers.swap_remove(i);
            }
        }
        self.start_fetch(now);
    }

    /// Fetches the newest set that is offered, from one of those that hold it.
    pub(super) fn start_fetch(&mut self, now: Time) {
        if self.fetch.is_some() {
            return;
        }
        self.offers.retain(|(id, _)| self.adopter.is_newer(id));
        let Some(best) = self.offers.iter().map(|(id, _)| *id).max() else { return };
        let holders: Vec<_> =
            (0..self.offers.len()).filter(|i| self.offers[*i].0 == best).collect();
        let Some(i) = holders.choose(&mut self.rng) else { return };
        if !self.state.apply(ConfigEvent::Offer) {
            return;
        }
        let (id, source) = self.offers.swap_remove(*i);
        self.fetch = Some(Fetch::new(id, source.clone(), now + FETCH));
        self.timers.schedule(now + FETCH, Timer::Fetch);
        match (source, self.adopter.id()) {
            (Source::Peer(vm, addr), Some(held)) => {
                self.outputs.push(Output::AskHead(vm, addr, held.digest));
            }
            (Source::Peer(vm, addr), None) => self.outputs.push(Output::AskSet(vm, addr)),
            (Source::Platform, _) => self.start_platform(now),
        }
    }

    /// Gives up a fetch that heard nothing for its time.
    pub(super) fn end_fetch(&mut self, now: Time) {
        match self.fetch.as_ref().map(|fetch| fetch.deadline) {
            Some(deadline) if deadline <= now => self.fail(now),
            Some(deadline) => drop(self.timers.schedule(deadline, Timer::Fetch)),
            None => {}
        }
    }

    fn start_platform(&mut self, now: Time) {
        let held = self.adopter.in_force().map(|now| now.published.clone());
        let head = self.shown.clone();
        let started = match (&mut self.fetch, head) {
            (Some(fetch), Some(head)) => fetch.start(head, held.as_deref(), &self.partial),
            _ => false,
        };
        if started { self.next_parts(now) } else { self.fail(now) }
    }

    fn next_parts(&mut self, now: Time) {
        let Some(fetch) = &mut self.fetch else { return };
        if let Some(whole) = fetch.whole() {
            return self.adopt(now, whole);
        }
        fetch.deadline = now + FETCH;
        for digest in fetch.next() {
            self.outputs.push(Output::AskPart(fetch.source.clone(), digest));
        }
    }

    fn adopt(&mut self, now: Time, set: Arc<Published>) {
        let id = set.head.id();
        self.fetch = None;
        let outcome = self.adopter.offer(set);
        if let Adoption::Adopted(_) = outcome {
            self.counts.adopted += 1;
            self.partial.clear();
            self.state.apply(ConfigEvent::Adopt);
            self.in_force_now(now);
        } else {
            self.state.apply(ConfigEvent::Fail);
        }
        if let Adoption::Refused(error) = outcome {
            self.counts.refused += 1;
            remember(&mut self.refused, id);
            self.outputs.push(Output::Refused(id, error.to_string()));
        }
        self.start_fetch(now);
    }

    /// Tells the program and the peers that have not shown the set yet.
    fn in_force_now(&mut self, now: Time) {
        let (Some(in_force), Some(id)) = (self.adopter.in_force().cloned(), self.adopter.id())
        else {
            return;
        };
        self.recent.push_back(in_force.published.head.clone());
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
        self.outputs.push(Output::Adopted(in_force));
        let heard = std::mem::take(&mut self.heard);
        self.set_neighbors();
        for (vm, addr) in self.neighbors.near(now, self.timing.fanout) {
            if heard.get(&vm).is_none_or(|held| *held < id) {
                self.outputs.push(Output::Gossip(vm, addr));
            }
        }
        self.read_at(now);
    }

    fn fail(&mut self, now: Time) {
        let Some(fetch) = self.fetch.take() else { return };
        self.counts.failed += 1;
        self.state.apply(ConfigEvent::Fail);
        let from_platform = fetch.source == Source::Platform;
        self.partial.extend(fetch.into_parts());
        if from_platform {
            self.shown = None;
            let pause = self.backoff();
            self.read_at(now + pause);
        }
        self.start_fetch(now);
    }
}
