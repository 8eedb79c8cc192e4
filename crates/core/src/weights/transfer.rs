//! The transfer of a version to one VM: which chunk to pull next, and from which source.

mod failure;
mod takeover;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use super::{
    Manifest,
    chunk_set::ChunkSet,
    cross_zone::{CrossZonePolicy, RendezvousOwners},
    estimate::DurationEstimate,
    peer::PeerState,
    pull::{ChunkOutcome, ChunkSource, Pull, PullError, TransferLimits},
    state::{TransferEvent, TransferState, state_chart},
    task::{ActivePull, ChunkTask},
    topology::{PeerKey, Topology, chunk_seed},
};
use crate::{
    chart::Machine,
    ids::{Digest, VmId},
    time::Time,
    units::{ByteRate, Bytes, Span},
};

/// Interval between rounds of queries for the chunks that peers hold.
const QUERY_INTERVAL: Span = Span::millis(250);
/// Ring neighbors queried per round while too few chunks are available from peers.
const MAX_QUERIES: usize = 4;
/// Ring neighbors queried per round while enough chunks are available from peers.
const MIN_QUERIES: usize = 1;
/// Maximum number of owners with overdue chunks queried per round.
const MAX_WATCHED_OWNERS: usize = 2;
/// Minimum interval between queries to an owner with overdue chunks.
const WATCH_INTERVAL: Span = Span::secs(2);
/// Maximum number of concurrent pulls from one peer of the zone.
const MAX_PEER_PULLS: u32 = 2;
/// Minimum pull timeout, unless a time limit shortens it.
const MIN_TIMEOUT: Span = Span::secs(1);
/// Maximum pull timeout, and maximum pause after the origin failed.
const MAX_TIMEOUT: Span = Span::secs(300);
/// Minimum timeout of pulls within the region, in quarters of the initial timeout.
const MIN_IN_REGION_QUARTERS: u64 = 3;
/// Maximum number of chunks compared to find the rarest.
const RAREST_SAMPLE: usize = 512;

/// Plans the pulls by which one VM obtains all chunks of a version.
#[derive(Clone, Debug)]
pub struct Transfer<O = RendezvousOwners> {
    policy: O,
    topology: Topology,
    limits: TransferLimits,
    digests: Vec<Digest>,
    index: BTreeMap<Digest, usize>,
    chunk_size: Bytes,
    start: Time,
    missing: ChunkSet,
    pulling: ChunkSet,
    active_pulls: BTreeMap<usize, ActivePull>,
    local_estimate: DurationEstimate,
    remote_estimate: DurationEstimate,
    tasks: Vec<Option<ChunkTask>>,
    peers: BTreeMap<PeerKey, PeerState>,
    neighbors: Vec<PeerKey>,
    ring_cursor: usize,
    holder_counts: Vec<u16>,
    next_round: Time,
    last_progress: Time,
    window: usize,
    origin_retry: Time,
    origin_refusal: Option<Time>,
    idle_since: Option<Time>,
    origin_failures: u32,
    rng: SmallRng,
    state_machine: Machine<TransferState, TransferEvent>,
}

impl<O: CrossZonePolicy> Transfer<O> {
    /// Starts a transfer of the chunks for which `held` returns `false`.
    pub fn new(
        manifest: &Manifest,
        held: impl Fn(&Digest) -> bool,
        topology: Topology,
        policy: O,
        limits: TransferLimits,
        now: Time,
    ) -> Self {
        let chunk_count = manifest.chunks.len();
        let mut missing = ChunkSet::new(chunk_count);
        let mut index = BTreeMap::new();
        for (i, digest) in manifest.chunks.iter().enumerate() {
            if *index.entry(*digest).or_insert(i) == i && !held(digest) {
                missing.insert(i);
            }
        }
        let own = topology.vm(topology.own()).as_str();
        let seed = chunk_seed(&Digest::of(own.as_bytes())) ^ now.0;
        let mut transfer = Self {
            policy,
            topology,
            limits,
            digests: manifest.chunks.clone(),
            index,
            chunk_size: manifest.chunk,
            start: now,
            missing,
            pulling: ChunkSet::new(chunk_count),
            active_pulls: BTreeMap::new(),
            local_estimate: DurationEstimate::default(),
            remote_estimate: DurationEstimate::default(),
            tasks: vec![None; chunk_count],
            peers: BTreeMap::new(),
            neighbors: vec![],
            ring_cursor: 0,
            holder_counts: vec![0; chunk_count],
            next_round: now,
            last_progress: now,
            window: limits.max_window(),
            origin_retry: now,
            origin_refusal: None,
            idle_since: Some(now),
            origin_failures: 0,
            rng: SmallRng::seed_from_u64(seed),
            state_machine: Machine::new(std::sync::Arc::new(state_chart())),
        };
        transfer.plan_pulls();
        if transfer.is_complete() {
            transfer.state_machine.apply(TransferEvent::Complete);
        }
        transfer
    }

    /// Replaces the topology, keeping the state of the peers that remain in it.
    pub fn set_topology(&mut self, topology: Topology) {
        let old = std::mem::replace(&mut self.topology, topology);
        let key = |key: &PeerKey| self.topology.key(old.vm(*key));
        self.peers = std::mem::take(&mut self.peers)
            .into_iter()
            .filter_map(|(k, peer)| Some((key(&k)?, peer)))
            .collect();
        for pull in self.active_pulls.values_mut() {
            pull.source = pull.source.as_ref().and_then(key);
        }
        self.plan_pulls();
    }

    /// Sets the download rate that live traffic leaves to the transfer.
    pub fn set_rate(&mut self, rate: ByteRate) {
        self.limits.rate = rate;
    }

    /// Returns whether all chunks are held.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    /// Returns the number of missing chunks.
    pub fn missing_count(&self) -> usize {
        self.missing.count()
    }

    /// Returns the state of the transfer.
    pub fn state(&self) -> TransferState {
        self.state_machine.state()
    }

    /// Returns the next pull to start, or `None` if no chunk can be pulled now.
    pub fn next_pull(&mut self, now: Time) -> Option<Pull> {
        if now - self.last_progress >= self.stall_timeout() {
            self.state_machine.apply(TransferEvent::Timeout);
        }
        let pull = self.next_cross_zone(now);
        pull.or_else(|| self.next_in_zone(now))
    }

    /// Returns the peers to query now for the chunks that they hold.
    pub fn peers_to_query(&mut self, now: Time) -> Vec<VmId> {
        if now < self.next_round || self.is_complete() {
            return vec![];
        }
        self.next_round = now + QUERY_INTERVAL;
        let short = self.available_chunks(now).count() < self.limits.max_pulls as usize;
        let mut queried: BTreeSet<PeerKey> =
            self.owners_to_watch(now).into_iter().take(MAX_WATCHED_OWNERS).collect();
        for _ in 0..if short { MAX_QUERIES } else { MIN_QUERIES }.min(self.neighbors.len()) {
            self.ring_cursor = (self.ring_cursor + 1) % self.neighbors.len();
            queried.insert(self.neighbors[self.ring_cursor]);
        }
        if self.state() == TransferState::Stalled {
            let members = self.topology.zone_members();
            queried.insert(members[self.rng.random_range(0..members.len())]);
        }
        queried.remove(&self.topology.own());
        queried.into_iter().filter_map(|key| self.start_query(now, key)).collect()
    }

    /// Records the chunks that a peer holds, as bits in the order of the manifest.
    pub fn on_held_chunks(&mut self, now: Time, vm: &VmId, bits: &[u8]) {
        let Some(key) = self.topology.key(vm) else { return };
        let chunk_count = self.digests.len();
        let held = ChunkSet::from_bytes(bits, chunk_count);
        let peer = self.peers.entry(key).or_insert_with(|| PeerState::new(chunk_count));
        let new = peer.update_held(now, held);
        for chunk in new.iter() {
            self.holder_counts[chunk] += 1;
            if self.holder_counts[chunk] == 1 && self.missing.contains(chunk) {
                self.record_progress(now);
            }
        }
    }

    /// Records chunks that a VM announces without having been queried.
    ///
    /// From a VM of the own zone they count as an answer. A VM of another zone announces them to
    /// their owner here; it becomes the next source and ends the current pause.
    pub fn on_offer(&mut self, now: Time, vm: &VmId, bits: &[u8]) {
        let Some(key) = self.topology.key(vm) else { return };
        if self.topology.in_own_zone(key) {
            let query_pending = self.peers.get(&key).is_some_and(|peer| peer.query_pending);
            self.on_held_chunks(now, vm, bits);
            if let Some(peer) = self.peers.get_mut(&key) {
                peer.query_pending = query_pending;
            }
            return;
        }
        for chunk in ChunkSet::from_bytes(bits, self.digests.len()).iter() {
            if let Some(task) = &mut self.tasks[chunk] {
                (task.paused_until, task.offered_by) = (task.paused_until.min(now), Some(key));
            }
        }
    }

    /// Returns the owner of a chunk in the next zone, which waits to pull it from this VM.
    pub fn downstream_owner(&self, digest: &Digest) -> Option<VmId> {
        self.topology.downstream_owner(digest).map(|key| self.topology.vm(key).clone())
    }

    /// Records that a peer did not answer a query.
    pub fn on_query_unanswered(&mut self, vm: &VmId) {
        if let Some(peer) = self.topology.key(vm).and_then(|key| self.peers.get_mut(&key)) {
            peer.record_unanswered();
        }
    }

    /// Verifies and records a received chunk.
    pub fn on_chunk(&mut self, now: Time, digest: Digest, data: &[u8]) -> ChunkOutcome {
        self.on_checked_chunk(now, digest, Digest::of(data) == digest)
    }

    /// Records a received chunk, where `valid` tells whether it matches its digest.
    pub fn on_checked_chunk(&mut self, now: Time, digest: Digest, valid: bool) -> ChunkOutcome {
        let Some(chunk) = self.index.get(&digest).copied() else {
            return ChunkOutcome::Unwanted;
        };
        let pull = self.end_pull(chunk);
        if !self.missing.contains(chunk) {
            return ChunkOutcome::Unwanted;
        }
        let peer = pull.as_ref().and_then(|pull| self.peers.get_mut(&pull.source?));
        if !valid {
            peer.map(PeerState::record_corrupt);
            if let Some(task) = &mut self.tasks[chunk] {
                task.record_corrupt(now);
            }
            return ChunkOutcome::Corrupt;
        }
        peer.map(PeerState::record_success);
        if let Some(pull) = pull {
            self.estimate_mut(&pull).add_sample(now - pull.started);
            if pull.cross_zone {
                self.window = (self.window + 1).min(self.limits.max_window());
                self.origin_failures = if pull.source.is_none() { 0 } else { self.origin_failures };
            }
        }
        self.missing.remove(chunk);
        self.tasks[chunk] = None;
        self.record_progress(now);
        if self.is_complete() {
            self.state_machine.apply(TransferEvent::Complete);
            return ChunkOutcome::Complete;
        }
        ChunkOutcome::Accepted
    }

    /// Records that a pull failed.
    pub fn on_pull_failed(&mut self, now: Time, digest: &Digest, error: PullError) {
        let Some(chunk) = self.index.get(digest).copied() else { return };
        let Some(pull) = self.end_pull(chunk) else { return };
        if error == PullError::Silent {
            self.estimate_mut(&pull).back_off();
            self.window = if pull.cross_zone { (self.window / 2).max(1) } else { self.window };
        }
        match pull.source {
            None => self.origin_failed(now, chunk, error, pull.timeout),
            Some(key) => self.peer_failed(now, chunk, key, error, &pull),
        }
    }

    /// Returns when to query and pull again without an event, or `None` once complete.
    pub fn next_wakeup(&self) -> Option<Time> {
        (!self.is_complete()).then_some(self.next_round)
    }

    fn record_progress(&mut self, now: Time) {
        self.last_progress = now;
        self.state_machine.apply(TransferEvent::Progress);
    }

    /// Plans the pulls of the missing chunks from outside the zone, keeping their pauses.
    fn plan_pulls(&mut self) {
        let salt = self.digests.first().map_or(0, chunk_seed);
        self.neighbors = self.topology.ring_neighbors(salt);
        let old = std::mem::replace(&mut self.tasks, vec![None; self.digests.len()]);
        for (position, chunk) in self.missing.iter().enumerate() {
            let digest = &self.digests[chunk];
            let plan = self.policy.plan(&self.topology, digest, position, self.chunk_size);
            let paused_until = old[chunk].as_ref().map_or(self.start, |task| task.paused_until);
            let task = ChunkTask {
                plan,
                sources: None,
                source_zone: 0,
                unavailable: 0,
                unanswered: 0,
                corrupt: old[chunk].as_ref().map_or(0, |task| task.corrupt),
                paused_until,
                offered_by: None,
            };
            self.tasks[chunk] = Some(task);
        }
    }

    fn start_query(&mut self, now: Time, key: PeerKey) -> Option<VmId> {
        let chunk_count = self.digests.len();
        let peer = self.peers.entry(key).or_insert_with(|| PeerState::new(chunk_count));
        if peer.query_pending {
            return None;
        }
        peer.query_pending = true;
        peer.last_query = Some(now);
        Some(self.topology.vm(key).clone())
    }

    /// Returns the owners of overdue chunks without a known holder that were not queried lately.
    fn owners_to_watch(&self, now: Time) -> BTreeSet<PeerKey> {
        let unheld = self.chunks_without_holder();
        let due = |task: &&ChunkTask| now >= self.start + task.plan.delay;
        let tasks = unheld.iter().filter_map(|chunk| self.tasks[chunk].as_ref());
        let owners = tasks.filter(due).flat_map(|task| &task.plan.predecessors);
        let queried = |key: &PeerKey| self.peers.get(key).and_then(|peer| peer.last_query);
        owners
            .copied()
            .filter(|key| queried(key).is_none_or(|at| now - at >= WATCH_INTERVAL))
            .collect()
    }

    /// Returns the missing chunks that no working peer of the zone is known to hold.
    fn chunks_without_holder(&self) -> ChunkSet {
        self.missing.difference(&self.held_by(|peer| !peer.is_down()))
    }

    /// Returns the missing chunks that can be pulled now from peers of the zone.
    fn available_chunks(&self, now: Time) -> ChunkSet {
        let mut available =
            self.held_by(|peer| peer.is_available(now) && peer.pulls < MAX_PEER_PULLS);
        available.intersect_with(&self.missing);
        available.difference(&self.pulling)
    }

    fn held_by(&self, filter: impl Fn(&PeerState) -> bool) -> ChunkSet {
        let mut held = ChunkSet::new(self.digests.len());
        let members = self.peers.iter().filter(|(key, _)| self.topology.in_own_zone(**key));
        members.filter(|(_, peer)| filter(peer)).for_each(|(_, peer)| held.union_with(&peer.held));
        held
    }

    fn next_in_zone(&mut self, now: Time) -> Option<Pull> {
        let available = self.available_chunks(now);
        let count = available.count();
        if count == 0 {
            return None;
        }
        let skip = self.rng.random_range(0..count);
        let rotated = available.iter().skip(skip).chain(available.iter().take(skip));
        let chunk = rotated.take(RAREST_SAMPLE).min_by_key(|chunk| self.holder_counts[*chunk])?;
        let is_source = |(key, peer): &(&PeerKey, &PeerState)| {
            self.topology.in_own_zone(**key)
                && peer.held.contains(chunk)
                && peer.is_available(now)
                && peer.pulls < MAX_PEER_PULLS
        };
        let holders: Vec<(u32, PeerKey)> =
            self.peers.iter().filter(is_source).map(|(key, peer)| (peer.pulls, *key)).collect();
        let min_pulls = holders.iter().map(|(pulls, _)| *pulls).min()?;
        let least_loaded: Vec<PeerKey> =
            holders.into_iter().filter(|(pulls, _)| *pulls == min_pulls).map(|(_, k)| k).collect();
        let source = least_loaded[self.rng.random_range(0..least_loaded.len())];
        Some(self.pull(now, chunk, Some(source), false))
    }

    fn next_cross_zone(&mut self, now: Time) -> Option<Pull> {
        if self.active_pulls.values().filter(|pull| pull.cross_zone).count() >= self.window {
            return None;
        }
        self.update_idle(now);
        let unheld = self.chunks_without_holder().difference(&self.pulling);
        let is_due = |task: &ChunkTask| task.paused_until <= now && self.is_responsible(task, now);
        let chunk = unheld.iter().find(|chunk| self.tasks[*chunk].as_ref().is_some_and(is_due))?;
        let source = self.next_source(chunk, now)?;
        Some(self.pull(now, chunk, source, true))
    }

    /// Returns the next source outside the zone to try, where `Some(None)` is the origin.
    #[allow(clippy::option_option)]
    fn next_source(&mut self, chunk: usize, now: Time) -> Option<Option<PeerKey>> {
        let task = self.tasks[chunk].as_mut()?;
        let is_available =
            |key: &PeerKey| self.peers.get(key).is_none_or(|peer| peer.is_available(now));
        if let Some(key) = task.offered_by.take().filter(is_available) {
            return Some(Some(key));
        }
        let digest = &self.digests[chunk];
        let sources =
            task.sources.get_or_insert_with(|| self.policy.sources(&self.topology, digest));
        let zones = sources.len() + 1;
        for zone in (task.source_zone..task.source_zone + zones).map(|zone| zone % zones) {
            let Some(owners) = sources.get(zone) else {
                task.paused_until = task.paused_until.max(self.origin_retry);
                return (now >= self.origin_retry).then_some(None);
            };
            let first = (task.unavailable + task.unanswered) % owners.len().max(1);
            let rotated = owners.iter().cycle().skip(first).take(owners.len());
            if let Some(key) = rotated.into_iter().find(|key| is_available(key)) {
                return Some(Some(*key));
            }
        }
        None
    }

    fn pull(&mut self, now: Time, chunk: usize, source: Option<PeerKey>, cross_zone: bool) -> Pull {
        let timeout = self.pull_timeout(self.crosses_regions(source));
        let chunk_count = self.digests.len();
        if let Some(key) = source {
            self.peers.entry(key).or_insert_with(|| PeerState::new(chunk_count)).pulls += 1;
        }
        self.pulling.insert(chunk);
        self.active_pulls.insert(chunk, ActivePull { source, cross_zone, started: now, timeout });
        let source = source
            .map_or(ChunkSource::Origin, |key| ChunkSource::Peer(self.topology.vm(key).clone()));
        Pull { digest: self.digests[chunk], source, timeout }
    }

    fn end_pull(&mut self, chunk: usize) -> Option<ActivePull> {
        self.pulling.remove(chunk);
        let pull = self.active_pulls.remove(&chunk)?;
        if let Some(peer) = pull.source.and_then(|key| self.peers.get_mut(&key)) {
            peer.pulls = peer.pulls.saturating_sub(1);
        }
        Some(pull)
    }
}
