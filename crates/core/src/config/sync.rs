//! Fetches newer sets from peers or the platform, adopts them and serves them to peers.

use std::sync::Arc;

use bytes::Bytes;
use rand::seq::IndexedRandom as _;

use super::{
    delta::HeadDelta,
    fetch::{Fetch, SetSource},
    message::{ConfigCall, ConfigReply},
    node::{ConfigNode, Output, Timer, push_bounded},
    state::ConfigEvent,
};
use crate::{
    adopt::{Adoption, Verify},
    declare::{PublishedSet, SetId},
    ids::{Digest, VmId},
    time::Time,
    units::Span,
};

/// Time without progress after which a fetch is aborted.
const FETCH_TIMEOUT: Span = Span::secs(2);
/// Maximum number of queued offers; beyond it, the one with the oldest set is dropped.
const MAX_OFFERS: usize = 8;
/// Maximum number of full sets that a process serves per second.
const MAX_SETS_PER_SECOND: u32 = 16;
/// Number of recently adopted heads kept as bases for deltas.
const MAX_RECENT_HEADS: usize = 8;

impl<V: Verify> ConfigNode<V> {
    /// Handles a peer's reply to a head request, `None` if the peer has none or did not answer.
    pub fn receive_head(&mut self, now: Time, vm: &VmId, delta: Option<&HeadDelta>) {
        let held = self.adopter.in_force().map(|now| now.published.clone());
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.is_from(vm)) else { return };
        let head = delta.and_then(|delta| delta.apply(held.as_ref().map(|held| &held.head)));
        let started =
            head.is_some_and(|head| fetch.set_head(head, held.as_deref(), &self.fetched_parts));
        if started { self.continue_fetch(now) } else { self.abort_fetch(now) }
    }

    /// Handles a peer's reply to a set request, `None` if the peer gave none or did not answer.
    pub fn receive_set(&mut self, now: Time, vm: &VmId, set: Option<Arc<PublishedSet>>) {
        if !self.fetch.as_ref().is_some_and(|fetch| fetch.is_from(vm)) {
            return;
        }
        match set {
            Some(set) => self.adopt(now, set),
            None => self.abort_fetch(now),
        }
    }

    /// Handles the reply to a part request, `None` if the source did not provide the part.
    pub fn receive_part(
        &mut self,
        now: Time,
        source: &SetSource,
        digest: Digest,
        part: Option<Bytes>,
    ) {
        let awaited = |fetch: &&mut Fetch| fetch.source == *source && fetch.is_pending(&digest);
        let Some(fetch) = self.fetch.as_mut().filter(awaited) else { return };
        let Some(part) = part else { return self.abort_fetch(now) };
        if Digest::of(&part) != digest {
            self.counters.corrupt += 1;
            return self.abort_fetch(now);
        }
        fetch.receive_part(digest, part);
        self.continue_fetch(now);
    }

    /// Handles a configuration call of a peer and returns the reply.
    pub fn handle_call(&mut self, now: Time, call: &ConfigCall) -> ConfigReply {
        match call {
            ConfigCall::Gossip(gossip) => {
                self.receive_gossip(now, gossip);
                ConfigReply::Gossip(Box::new(self.gossip(now)))
            }
            ConfigCall::Set => ConfigReply::Set(self.serve_set(now)),
            ConfigCall::Head(base) => ConfigReply::Head(self.head_delta(*base)),
            ConfigCall::Part(digest) => ConfigReply::Part(self.part(digest)),
        }
    }

    /// Returns the set in force for a peer that has none, or `None` above the limit per second.
    pub fn serve_set(&mut self, now: Time) -> Option<Arc<PublishedSet>> {
        let set = self.adopter.in_force().map(|now| now.published.clone())?;
        if now - self.served_sets.0 >= Span::secs(1) {
            self.served_sets = (now, 0);
        }
        self.served_sets.1 += 1;
        (self.served_sets.1 <= MAX_SETS_PER_SECOND).then_some(set)
    }

    /// Returns the head in force as a delta from `base`, or in full if `base` is not a recent head.
    pub fn head_delta(&self, base: Digest) -> Option<HeadDelta> {
        let now = self.adopter.in_force()?;
        let base = self.recent_heads.iter().find(|head| head.id().digest == base);
        Some(HeadDelta::between(base, &now.published.head))
    }

    /// Returns a part of the set in force.
    pub fn part(&self, digest: &Digest) -> Option<Bytes> {
        self.adopter.in_force()?.published.parts.get(digest).cloned()
    }

    /// Queues an offer if its set is newer than the one in force and was not refused before.
    pub(super) fn offer(&mut self, now: Time, id: SetId, source: SetSource) {
        self.record_conflict(id);
        if !self.adopter.is_newer(&id) || self.refused_sets.contains(&id) {
            return;
        }
        let offer = (id, source);
        if !self.offers.contains(&offer) {
            self.offers.push(offer);
        }
        if self.offers.len() > MAX_OFFERS {
            let lowest = self.offers.iter().enumerate().min_by_key(|(_, (id, _))| *id);
            if let Some((i, _)) = lowest {
                self.offers.swap_remove(i);
            }
        }
        self.start_fetch(now);
    }

    /// Fetches the newest offered set from one of its sources at random, unless a fetch is running.
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
        self.fetch = Some(Fetch::new(id, source.clone(), now + FETCH_TIMEOUT));
        self.timers.schedule(now + FETCH_TIMEOUT, Timer::FetchTimeout);
        match (source, self.adopter.id()) {
            (SetSource::Peer(vm, addr), Some(held)) => {
                self.outputs.push(Output::RequestHead(vm, addr, held.digest));
            }
            (SetSource::Peer(vm, addr), None) => self.outputs.push(Output::RequestSet(vm, addr)),
            (SetSource::Platform, _) => self.start_platform_fetch(now),
        }
    }

    /// Aborts the running fetch if its deadline has passed, else sets the timer again.
    pub(super) fn check_fetch_timeout(&mut self, now: Time) {
        match self.fetch.as_ref().map(|fetch| fetch.deadline) {
            Some(deadline) if deadline <= now => self.abort_fetch(now),
            Some(deadline) => drop(self.timers.schedule(deadline, Timer::FetchTimeout)),
            None => {}
        }
    }

    fn start_platform_fetch(&mut self, now: Time) {
        let held = self.adopter.in_force().map(|now| now.published.clone());
        let head = self.platform_head.clone();
        let started = match (&mut self.fetch, head) {
            (Some(fetch), Some(head)) => fetch.set_head(head, held.as_deref(), &self.fetched_parts),
            _ => false,
        };
        if started { self.continue_fetch(now) } else { self.abort_fetch(now) }
    }

    fn continue_fetch(&mut self, now: Time) {
        let Some(fetch) = &mut self.fetch else { return };
        if let Some(set) = fetch.complete_set() {
            return self.adopt(now, set);
        }
        fetch.deadline = now + FETCH_TIMEOUT;
        for digest in fetch.next_requests() {
            self.outputs.push(Output::RequestPart(fetch.source.clone(), digest));
        }
    }

    fn adopt(&mut self, now: Time, set: Arc<PublishedSet>) {
        let id = set.head.id();
        self.fetch = None;
        let outcome = self.adopter.offer(set);
        if let Adoption::Adopted(_) = outcome {
            self.counters.adopted += 1;
            self.fetched_parts.clear();
            self.state.apply(ConfigEvent::Adopt);
            self.announce_adoption(now);
        } else {
            self.state.apply(ConfigEvent::Fail);
        }
        if let Adoption::Refused(error) = outcome {
            self.counters.refused += 1;
            push_bounded(&mut self.refused_sets, id);
            self.outputs.push(Output::Refused(id, error.to_string()));
        }
        self.start_fetch(now);
    }

    /// Reports the adopted set to the process and gossips to zone peers not known to have it.
    fn announce_adoption(&mut self, now: Time) {
        let (Some(in_force), Some(id)) = (self.adopter.in_force().cloned(), self.adopter.id())
        else {
            return;
        };
        self.recent_heads.push_back(in_force.published.head.clone());
        if self.recent_heads.len() > MAX_RECENT_HEADS {
            self.recent_heads.pop_front();
        }
        self.outputs.push(Output::Adopted(in_force));
        let peer_sets = std::mem::take(&mut self.peer_sets);
        self.update_neighbors();
        for (vm, addr) in self.neighbors.zone_peers(now, self.params.fanout) {
            if peer_sets.get(&vm).is_none_or(|held| *held < id) {
                self.outputs.push(Output::Gossip(vm, addr));
            }
        }
        self.schedule_read(now);
    }

    fn abort_fetch(&mut self, now: Time) {
        let Some(fetch) = self.fetch.take() else { return };
        self.counters.failed += 1;
        self.state.apply(ConfigEvent::Fail);
        let from_platform = fetch.source == SetSource::Platform;
        self.fetched_parts.extend(fetch.into_parts());
        if from_platform {
            self.platform_head = None;
            let pause = self.next_backoff();
            self.schedule_read(now + pause);
        }
        self.start_fetch(now);
    }
}
