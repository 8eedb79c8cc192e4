//! The plan of a transfer: which chunk to draw next, and from where.

mod failure;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use super::{
    Manifest,
    chunk_set::ChunkSet,
    chunk_task::{ActivePull, ChunkTask},
    cross_zone::{CrossZonePolicy, RendezvousOwners},
    estimate::DurationEstimate,
    peer::PeerState,
    pull::{ChunkOutcome, ChunkSource, Pull, PullError, TransferLimits},
    state::{TransferEvent, TransferState, chart},
    topology::{PeerKey, Topology, chunk_seed},
};
use crate::{
    chart::Machine,
    ids::{Digest, VmId},
    time::Time,
    units::{ByteRate, Bytes, Span},
};

/// Time between two rounds of questions to peers.
const QUERY_INTERVAL: Span = Span::millis(250);
/// Peers that are asked in a round while there is too little to draw.
const QUERIES_WHEN_SHORT: usize = 4;
/// Peers that are asked in a round while there is enough to draw.
const QUERIES_WHEN_SUPPLIED: usize = 1;
/// Owners that are looked after in a round.
const MAX_WATCHED_OWNERS: usize = 2;
/// Time between two questions to an owner that is looked after.
const WATCH_INTERVAL: Span = Span::secs(2);
/// Draws from one peer at the same time.
const MAX_PULLS_PER_PEER: u32 = 2;
/// Shortest timeout of a draw.
const MIN_TIMEOUT: Span = Span::secs(1);
/// Longest timeout of a draw, and longest pause of the origin.
const MAX_TIMEOUT: Span = Span::secs(300);
/// Quarters of the usual timeout that draws within a region keep at least.
const MIN_IN_REGION_QUARTERS: u64 = 3;
/// Times the usual patience after which a due owner that makes some progress is out.
const SLOW_OWNER_FACTOR: u64 = 3;
/// Chunks that are compared for the rarest.
const RAREST_SAMPLE: usize = 512;

/// Decides what one VM draws to make a version whole.
#[derive(Clone, Debug)]
pub struct Transfer<O = RendezvousOwners> {
    outside: O,
    topology: Topology,
    limits: TransferLimits,
    digests: Vec<Digest>,
    index: BTreeMap<Digest, usize>,
    chunk: Bytes,
    start: Time,
    missing: ChunkSet,
    flying: ChunkSet,
    in_flight: BTreeMap<usize, ActivePull>,
    near: DurationEstimate,
    far: DurationEstimate,
    tasks: Vec<Option<ChunkTask>>,
    peers: BTreeMap<PeerKey, PeerState>,
    ring: Vec<PeerKey>,
    cursor: usize,
    seen: Vec<u16>,
    round: Time,
    progress: Time,
    window: usize,
    origin: Time,
    idle: Option<Time>,
    refused: u32,
    rng: SmallRng,
    life: Machine<TransferState, TransferEvent>,
}

impl<O: CrossZonePolicy> Transfer<O> {
    /// Starts a transfer of the chunks that `held` does not hold.
    pub fn new(
        manifest: &Manifest,
        held: impl Fn(&Digest) -> bool,
        topology: Topology,
        outside: O,
        limits: TransferLimits,
        now: Time,
    ) -> Self {
        let len = manifest.chunks.len();
        let mut missing = ChunkSet::new(len);
        let mut index = BTreeMap::new();
        for (i, digest) in manifest.chunks.iter().enumerate() {
            if *index.entry(*digest).or_insert(i) == i && !held(digest) {
                missing.insert(i);
            }
        }
        let own = topology.vm(topology.own()).as_str();
        let seed = chunk_seed(&Digest::of(own.as_bytes())) ^ now.0;
        let mut transfer = Self {
            outside,
            topology,
            limits,
            digests: manifest.chunks.clone(),
            index,
            chunk: manifest.chunk,
            start: now,
            missing,
            flying: ChunkSet::new(len),
            in_flight: BTreeMap::new(),
            near: DurationEstimate::default(),
            far: DurationEstimate::default(),
            tasks: vec![None; len],
            peers: BTreeMap::new(),
            ring: vec![],
            cursor: 0,
            seen: vec![0; len],
            round: now,
            progress: now,
            window: limits.window(),
            origin: now,
            idle: Some(now),
            refused: 0,
            rng: SmallRng::seed_from_u64(seed),
            life: Machine::new(std::sync::Arc::new(chart())),
        };
        transfer.assign();
        if transfer.is_whole() {
            transfer.life.apply(TransferEvent::Complete);
        }
        transfer
    }

    /// Takes the VMs that share the weights now; what is known of VMs that stay is kept.
    pub fn set_topology(&mut self, topology: Topology) {
        let old = std::mem::replace(&mut self.topology, topology);
        let key = |key: &PeerKey| self.topology.key(old.vm(*key));
        self.peers = std::mem::take(&mut self.peers)
            .into_iter()
            .filter_map(|(k, peer)| Some((key(&k)?, peer)))
            .collect();
        for flight in self.in_flight.values_mut() {
            flight.source = flight.source.as_ref().and_then(key);
        }
        self.assign();
    }

    /// Sets the rate at which the VM draws, as live traffic leaves it.
    pub fn set_rate(&mut self, rate: ByteRate) {
        self.limits.rate = rate;
    }

    /// Returns whether all chunks are held.
    pub fn is_whole(&self) -> bool {
        self.missing.is_empty()
    }

    /// Returns how many chunks are missing.
    pub fn missing(&self) -> usize {
        self.missing.count()
    }

    /// Returns the state of the transfer.
    pub fn state(&self) -> TransferState {
        self.life.state()
    }

    /// Returns the next draw, or `None` while there is nothing to draw.
    pub fn next(&mut self, now: Time) -> Option<Pull> {
        if now - self.progress >= self.patience() {
            self.life.apply(TransferEvent::Timeout);
        }
        let draw = self.next_outside(now);
        draw.or_else(|| self.next_near(now))
    }

    /// Returns the peers to ask now for the chunks that they hold.
    pub fn asks(&mut self, now: Time) -> Vec<VmId> {
        if now < self.round || self.is_whole() {
            return vec![];
        }
        self.round = now + QUERY_INTERVAL;
        let hungry = self.usable(now).count() < self.limits.draws as usize;
        let mut asked: BTreeSet<PeerKey> =
            self.watched(now).into_iter().take(MAX_WATCHED_OWNERS).collect();
        for _ in
            0..if hungry { QUERIES_WHEN_SHORT } else { QUERIES_WHEN_SUPPLIED }.min(self.ring.len())
        {
            self.cursor = (self.cursor + 1) % self.ring.len();
            asked.insert(self.ring[self.cursor]);
        }
        if self.state() == TransferState::Stalled {
            let near = self.topology.near();
            asked.insert(near[self.rng.random_range(0..near.len())]);
        }
        asked.remove(&self.topology.own());
        asked.into_iter().filter_map(|key| self.ask(now, key)).collect()
    }

    /// Takes the chunks that a peer holds, as bits in the order of the manifest.
    pub fn have(&mut self, now: Time, vm: &VmId, bits: &[u8]) {
        let Some(key) = self.topology.key(vm) else { return };
        let len = self.digests.len();
        let held = ChunkSet::read(bits, len);
        let peer = self.peers.entry(key).or_insert_with(|| PeerState::new(len));
        let new = peer.tells(now, held);
        for chunk in new.iter() {
            self.seen[chunk] += 1;
            if self.seen[chunk] == 1 && self.missing.contains(chunk) {
                self.progress = now;
                self.life.apply(TransferEvent::Progress);
            }
        }
    }

    /// Takes the chunks that a VM says it has got, without having been asked.
    ///
    /// From a VM of the zone they count like an answer; a VM of another zone, which tells the owner
    /// here, is drawn from next and without a further pause.
    pub fn offered(&mut self, now: Time, vm: &VmId, bits: &[u8]) {
        let Some(key) = self.topology.key(vm) else { return };
        if self.topology.is_near(key) {
            let waiting = self.peers.get(&key).is_some_and(|peer| peer.waiting);
            self.have(now, vm, bits);
            if let Some(peer) = self.peers.get_mut(&key) {
                peer.waiting = waiting;
            }
            return;
        }
        for chunk in ChunkSet::read(bits, self.digests.len()).iter() {
            if let Some(task) = &mut self.tasks[chunk] {
                (task.pause, task.offer) = (task.pause.min(now), Some(key));
            }
        }
    }

    /// Returns the VM of another zone that waits for a chunk from this one.
    pub fn awaited_by(&self, digest: &Digest) -> Option<VmId> {
        self.topology.downstream(digest).map(|key| self.topology.vm(key).clone())
    }

    /// Takes note that a peer gave no answer about its chunks.
    pub fn silent(&mut self, vm: &VmId) {
        if let Some(peer) = self.topology.key(vm).and_then(|key| self.peers.get_mut(&key)) {
            peer.silent();
        }
    }

    /// Takes a chunk that arrived.
    pub fn arrived(&mut self, now: Time, digest: Digest, data: &[u8]) -> ChunkOutcome {
        self.arrived_checked(now, digest, Digest::of(data) == digest)
    }

    /// Takes a chunk that arrived and was checked against its digest.
    pub fn arrived_checked(&mut self, now: Time, digest: Digest, sound: bool) -> ChunkOutcome {
        let Some(chunk) = self.index.get(&digest).copied() else {
            return ChunkOutcome::Unwanted;
        };
        let flight = self.land(chunk);
        if !self.missing.contains(chunk) {
            return ChunkOutcome::Unwanted;
        }
        let peer = flight.as_ref().and_then(|flight| self.peers.get_mut(&flight.source?));
        if !sound {
            peer.map(PeerState::charge);
            self.tasks[chunk].iter_mut().for_each(|task| task.silent += 1);
            return ChunkOutcome::Corrupt;
        }
        peer.map(PeerState::gave);
        if let Some(flight) = flight {
            self.estimate(&flight).sample(now - flight.since);
            if flight.outside {
                self.window = (self.window + 1).min(self.limits.window());
                self.refused = if flight.source.is_none() { 0 } else { self.refused };
            }
        }
        self.missing.remove(chunk);
        self.tasks[chunk] = None;
        self.progress = now;
        self.life.apply(TransferEvent::Progress);
        if self.is_whole() {
            self.life.apply(TransferEvent::Complete);
            return ChunkOutcome::Complete;
        }
        ChunkOutcome::Accepted
    }

    /// Takes note that a draw ended without a chunk.
    pub fn failed(&mut self, now: Time, digest: &Digest, error: PullError) {
        let Some(chunk) = self.index.get(digest).copied() else { return };
        let Some(flight) = self.land(chunk) else { return };
        if error == PullError::NoResponse {
            self.estimate(&flight).back_off();
            self.window = if flight.outside { (self.window / 2).max(1) } else { self.window };
        }
        match flight.source {
            None => self.origin_failed(now, chunk, error, flight.timeout),
            Some(key) => self.peer_failed(now, chunk, key, error, &flight),
        }
    }

    /// Returns when to ask and draw again without an event.
    pub fn wake(&self) -> Option<Time> {
        (!self.is_whole()).then_some(self.round)
    }

    /// Works out the duties of this VM for the missing chunks.
    fn assign(&mut self) {
        let salt = self.digests.first().map_or(0, chunk_seed);
        self.ring = self.topology.ring(salt);
        let old = std::mem::replace(&mut self.tasks, vec![None; self.digests.len()]);
        for (place, chunk) in self.missing.iter().enumerate() {
            let digest = &self.digests[chunk];
            let duty = self.outside.duty(&self.topology, digest, place, self.chunk);
            let pause = old[chunk].as_ref().map_or(self.start, |task| task.pause);
            let task = ChunkTask {
                duty,
                sources: None,
                zone: 0,
                absent: 0,
                silent: 0,
                pause,
                offer: None,
            };
            self.tasks[chunk] = Some(task);
        }
    }

    fn ask(&mut self, now: Time, key: PeerKey) -> Option<VmId> {
        let len = self.digests.len();
        let peer = self.peers.entry(key).or_insert_with(|| PeerState::new(len));
        if peer.waiting {
            return None;
        }
        peer.waiting = true;
        peer.asked = Some(now);
        Some(self.topology.vm(key).clone())
    }

    /// Returns the owners whose turn has come and whose chunks nobody is known to hold.
    fn watched(&self, now: Time) -> BTreeSet<PeerKey> {
        let unknown = self.unknown();
        let due = |task: &&ChunkTask| now >= self.start + task.duty.turn;
        let tasks = unknown.iter().filter_map(|chunk| self.tasks[chunk].as_ref());
        let ahead = tasks.filter(due).flat_map(|task| &task.duty.ahead);
        let asked = |key: &PeerKey| self.peers.get(key).and_then(|peer| peer.asked);
        ahead
            .copied()
            .filter(|key| asked(key).is_none_or(|asked| now - asked >= WATCH_INTERVAL))
            .collect()
    }

    /// Returns the missing chunks that no peer of the zone is known to hold.
    fn unknown(&self) -> ChunkSet {
        self.missing.without(&self.held_by(|peer| !peer.down()))
    }

    /// Returns the missing chunks that can be drawn now from peers of the zone.
    fn usable(&self, now: Time) -> ChunkSet {
        let mut usable = self.held_by(|peer| peer.open(now) && peer.draws < MAX_PULLS_PER_PEER);
        usable.keep(&self.missing);
        usable.without(&self.flying)
    }

    fn held_by(&self, filter: impl Fn(&PeerState) -> bool) -> ChunkSet {
        let mut held = ChunkSet::new(self.digests.len());
        let near = self.peers.iter().filter(|(key, _)| self.topology.is_near(**key));
        near.filter(|(_, peer)| filter(peer)).for_each(|(_, peer)| held.add(&peer.held));
        held
    }

    fn next_near(&mut self, now: Time) -> Option<Pull> {
        let usable = self.usable(now);
        let count = usable.count();
        if count == 0 {
            return None;
        }
        let skip = self.rng.random_range(0..count);
        let turned = usable.iter().skip(skip).chain(usable.iter().take(skip));
        let chunk = turned.take(RAREST_SAMPLE).min_by_key(|chunk| self.seen[*chunk])?;
        let holds = |(key, peer): &(&PeerKey, &PeerState)| {
            self.topology.is_near(**key)
                && peer.held.contains(chunk)
                && peer.open(now)
                && peer.draws < MAX_PULLS_PER_PEER
        };
        let holders: Vec<(u32, PeerKey)> =
            self.peers.iter().filter(holds).map(|(key, peer)| (peer.draws, *key)).collect();
        let least = holders.iter().map(|(draws, _)| *draws).min()?;
        let idle: Vec<PeerKey> =
            holders.into_iter().filter(|(draws, _)| *draws == least).map(|(_, k)| k).collect();
        let source = idle[self.rng.random_range(0..idle.len())];
        Some(self.fly(now, chunk, Some(source), false))
    }

    fn next_outside(&mut self, now: Time) -> Option<Pull> {
        if self.in_flight.values().filter(|flight| flight.outside).count() >= self.window {
            return None;
        }
        self.note_idle(now);
        let idle = self.unknown().without(&self.flying);
        let due = |task: &ChunkTask| task.pause <= now && self.acts(task, now);
        let chunk = idle.iter().find(|chunk| self.tasks[*chunk].as_ref().is_some_and(due))?;
        let source = self.source(chunk, now)?;
        Some(self.fly(now, chunk, source, true))
    }

    /// Takes note since when no chunk that is this VM's own duty is due.
    fn note_idle(&mut self, now: Time) {
        let own = |task: &ChunkTask| task.duty.rank == 0 && self.start + task.duty.turn <= now;
        let busy = self.missing.iter().any(|chunk| self.tasks[chunk].as_ref().is_some_and(own));
        self.idle = if busy { None } else { self.idle.or(Some(now)) };
    }

    /// Returns whether this VM draws a chunk from outside: its turn has come and those ahead are out.
    fn acts(&self, task: &ChunkTask, now: Time) -> bool {
        let turn = self.start + task.duty.turn;
        if now < turn {
            return false;
        }
        if task.duty.rank == 0 {
            return true;
        }
        let stalled = self.state() == TransferState::Stalled;
        let watched = task.duty.rank == task.duty.ahead.len();
        if !watched && !stalled {
            return false;
        }
        let patience = self.patience();
        // Where a time is wanted, an owner on a slow link is out although it makes some progress.
        // While the own chunks do not come either, the source is slow and not the owner.
        let since = self.idle.map(|idle| turn.max(idle));
        let late = since.is_some_and(|since| now - since >= Span(SLOW_OWNER_FACTOR * patience.0));
        let slow = self.limits.within.is_some() && late;
        let out = |key: &PeerKey| {
            if slow {
                return true;
            }
            let stuck = |peer: &PeerState| now - turn >= patience && peer.stuck(now, patience);
            self.peers.get(key).is_some_and(|peer| peer.down() || stuck(peer))
        };
        let late = Span(patience.0.saturating_mul(1 + task.duty.rank as u64));
        (watched && task.duty.ahead.iter().all(out)) || (stalled && now - self.progress >= late)
    }

    /// Returns the source outside the zone that is tried next, `Some(None)` for the origin.
    #[allow(clippy::option_option)]
    fn source(&mut self, chunk: usize, now: Time) -> Option<Option<PeerKey>> {
        let task = self.tasks[chunk].as_mut()?;
        let free = |key: &PeerKey| self.peers.get(key).is_none_or(|peer| peer.open(now));
        if let Some(key) = task.offer.take().filter(free) {
            return Some(Some(key));
        }
        let digest = &self.digests[chunk];
        let sources =
            task.sources.get_or_insert_with(|| self.outside.sources(&self.topology, digest));
        let zones = sources.len() + 1;
        for zone in (task.zone..task.zone + zones).map(|zone| zone % zones) {
            let Some(owners) = sources.get(zone) else {
                task.pause = task.pause.max(self.origin);
                return (now >= self.origin).then_some(None);
            };
            let first = (task.absent + task.silent) % owners.len().max(1);
            let turned = owners.iter().cycle().skip(first).take(owners.len());
            if let Some(key) = turned.into_iter().find(|key| free(key)) {
                return Some(Some(*key));
            }
        }
        None
    }

    fn fly(&mut self, now: Time, chunk: usize, source: Option<PeerKey>, outside: bool) -> Pull {
        let timeout = self.timeout(self.is_far(source));
        let len = self.digests.len();
        if let Some(key) = source {
            self.peers.entry(key).or_insert_with(|| PeerState::new(len)).draws += 1;
        }
        self.flying.insert(chunk);
        self.in_flight.insert(chunk, ActivePull { source, outside, since: now, timeout });
        let supplier = source
            .map_or(ChunkSource::Origin, |key| ChunkSource::Peer(self.topology.vm(key).clone()));
        Pull { digest: self.digests[chunk], supplier, timeout }
    }

    fn land(&mut self, chunk: usize) -> Option<ActivePull> {
        self.flying.remove(chunk);
        let flight = self.in_flight.remove(&chunk)?;
        if let Some(peer) = flight.source.and_then(|key| self.peers.get_mut(&key)) {
            peer.draws = peer.draws.saturating_sub(1);
        }
        Some(flight)
    }
}
