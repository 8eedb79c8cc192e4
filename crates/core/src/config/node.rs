//! The configuration sync of a process as a state machine driven by messages and timers.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use super::{
    fetch::{Fetch, SetSource},
    message::{Gossip, PlatformError, Seed},
    neighbors::{Neighbors, READER_RANK_FACTOR},
    state::{ConfigEvent, ConfigState, chart},
};
use crate::{
    adopt::{Adopter, ConfigInForce, FullVerification, Verify},
    chart::Machine,
    declare::{Head, SetId},
    ids::{Digest, VmId, ZoneId},
    time::{Time, TimerId, Timers},
    units::Span,
    vm_state::VmState,
};

/// Pause between two watches of the platform's head.
const WATCH_INTERVAL: Span = Span::millis(50);
/// Mean pause after the first failed read of the platform.
const MIN_BACKOFF: Span = Span::millis(500);
/// Maximum number of times that `MIN_BACKOFF` is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Interval at which a process that is not a reader checks whether it must become one.
const READER_CHECK_INTERVAL: Span = Span::secs(1);
/// Maximum number of refused sets, and of conflicting sets, that are remembered.
const MAX_REMEMBERED_IDS: usize = 16;

/// The identity of a process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub zone: ZoneId,
    /// The address at which other processes reach this one.
    pub addr: SocketAddr,
}

/// Parameters of configuration sync.
#[derive(Clone, Copy, Debug)]
pub struct SyncParams {
    /// The time between two rounds of gossip.
    pub gossip_interval: Span,
    /// The number of peers in the same zone per round of gossip.
    pub fanout: usize,
    /// The number of processes per zone that read the platform.
    pub readers: usize,
    /// The time for which a process without a set waits for replies of its seeds.
    pub seed_timeout: Span,
    /// The age of the platform's last answer at which the next ranked processes start to read it.
    pub stale_after: Span,
}

/// An action that the process must carry out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Exchange gossip with a peer.
    Gossip(VmId, SocketAddr),
    /// Request the full set of a peer.
    RequestSet(VmId, SocketAddr),
    /// Request the head of a peer as a delta from the head with this digest.
    RequestHead(VmId, SocketAddr, Digest),
    /// Request the part with this digest.
    RequestPart(SetSource, Digest),
    /// Wait until the head at the platform differs from this one, and read it.
    WatchHead(Option<SetId>),
    /// Apply a newly adopted set.
    Adopted(ConfigInForce),
    /// Report that a set was refused, with the reason.
    Refused(SetId, String),
    /// Report that a set has the generation of another one in force.
    Conflict(SetId),
}

/// Event counters of configuration sync.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConfigCounters {
    /// Adopted sets.
    pub adopted: u64,
    /// Sets refused as invalid.
    pub refused: u64,
    /// Sets with the same generation as a different set in force.
    pub conflicts: u64,
    /// Times that the platform's head changed to an older set than the one in force.
    pub stale: u64,
    /// Received parts that did not match their digest.
    pub corrupt: u64,
    /// Aborted fetches.
    pub failed: u64,
    /// Reads refused by the rate limit of the platform.
    pub busy: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Timer {
    SeedTimeout,
    FetchTimeout,
    Gossip,
    Read,
}

/// The configuration sync of a process.
#[derive(Debug)]
pub struct ConfigNode<V = FullVerification> {
    pub(super) identity: Identity,
    pub(super) params: SyncParams,
    pub(super) adopter: Adopter<V>,
    pub(super) state: Machine<ConfigState, ConfigEvent>,
    pub(super) neighbors: Neighbors,
    pub(super) fetch: Option<Fetch>,
    pub(super) offers: Vec<(SetId, SetSource)>,
    pub(super) fetched_parts: BTreeMap<Digest, Bytes>,
    pub(super) refused_sets: VecDeque<SetId>,
    pub(super) recent_heads: VecDeque<Head>,
    pub(super) platform_head: Option<Head>,
    pub(super) timers: Timers<Timer>,
    pub(super) outputs: Vec<Output>,
    pub(super) counters: ConfigCounters,
    pub(super) vm_states: BTreeMap<VmId, VmState>,
    pub(super) peer_sets: BTreeMap<VmId, SetId>,
    /// The start of the current second and the full sets requested in it.
    pub(super) served_sets: (Time, u32),
    seeds: Vec<Seed>,
    awaited_seeds: BTreeSet<VmId>,
    known_conflicts: VecDeque<SetId>,
    /// The latest known time at which the platform answered a reader of this zone.
    platform_seen: Option<Time>,
    read_pending: bool,
    platform_failures: u32,
    read_timer: Option<TimerId>,
    /// The time from which a process without a set reads the platform itself.
    read_after: Time,
    gossip_rounds: usize,
    pub(super) rng: SmallRng,
}

impl ConfigNode {
    /// Returns the state of a process that starts without a set.
    pub fn new(own: Identity, params: SyncParams, seeds: Vec<Seed>, now: Time, seed: u64) -> Self {
        Self::with_verifier(FullVerification, own, params, (seeds, now, seed))
    }
}

impl<V: Verify> ConfigNode<V> {
    /// Returns the state of a process that starts without a set and checks sets with `verify`.
    pub fn with_verifier(
        verify: V,
        identity: Identity,
        params: SyncParams,
        (seeds, now, seed): (Vec<Seed>, Time, u64),
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let is_seed = seeds.is_empty() || seeds.iter().any(|seed| seed.vm == identity.vm);
        let spread = Span(rng.random_range(0..=params.seed_timeout.0 * 4));
        let grace = if is_seed { Span(0) } else { Span(params.seed_timeout.0 * 4 + spread.0) };
        let seeds: Vec<Seed> = seeds.into_iter().filter(|seed| seed.vm != identity.vm).collect();
        let mut timers = Timers::default();
        timers.schedule(now, Timer::Gossip);
        timers.schedule(now + params.seed_timeout, Timer::SeedTimeout);
        let awaited_seeds = seeds.iter().map(|seed| seed.vm.clone()).collect();
        let mut node = Self {
            read_after: now + params.seed_timeout + grace,
            identity,
            params,
            adopter: Adopter::new(verify),
            state: Machine::new(Arc::new(chart())),
            neighbors: Neighbors::default(),
            fetch: None,
            offers: vec![],
            fetched_parts: BTreeMap::new(),
            refused_sets: VecDeque::new(),
            recent_heads: VecDeque::new(),
            platform_head: None,
            timers,
            outputs: vec![],
            counters: ConfigCounters::default(),
            vm_states: BTreeMap::new(),
            peer_sets: BTreeMap::new(),
            served_sets: (now, 0),
            seeds,
            awaited_seeds,
            known_conflicts: VecDeque::new(),
            platform_seen: None,
            read_pending: false,
            platform_failures: 0,
            read_timer: None,
            gossip_rounds: 0,
            rng,
        };
        node.try_end_asking(now);
        node
    }

    /// Handles gossip of a peer, received as a call or as a reply.
    pub fn receive_gossip(&mut self, now: Time, gossip: &Gossip) {
        self.neighbors.mark_responsive(&gossip.vm);
        if gossip.zone == self.identity.zone
            && let Some(age) = gossip.age
        {
            self.platform_seen = self.platform_seen.max(Some(Time(now.0.saturating_sub(age.0))));
        }
        if let Some(id) = gossip.held {
            self.record_peer_set(&gossip.vm, id);
            self.offer(now, id, SetSource::Peer(gossip.vm.clone(), gossip.addr));
        }
        self.awaited_seeds.remove(&gossip.vm);
        self.try_end_asking(now);
    }

    /// Handles the timeout or failure of a gossip call.
    pub fn peer_unresponsive(&mut self, now: Time, vm: &VmId) {
        self.neighbors.mark_unresponsive(now, vm);
        self.awaited_seeds.remove(vm);
        self.try_end_asking(now);
    }

    /// Sets the states of the VMs as listed by the platform.
    pub fn update_vm_states(&mut self, states: &BTreeMap<VmId, VmState>) {
        if self.vm_states != *states {
            self.vm_states.clone_from(states);
            self.update_neighbors();
        }
    }

    /// Handles the result of a read or watch of the platform's head.
    pub fn receive_platform_head(&mut self, now: Time, read: Result<Head, PlatformError>) {
        self.read_pending = false;
        let pause = match read {
            Ok(head) => {
                self.platform_failures = 0;
                self.platform_seen = Some(now);
                self.offer_platform_head(now, head);
                WATCH_INTERVAL
            }
            Err(error) => {
                self.counters.busy += u64::from(error == PlatformError::RateLimited);
                self.next_backoff()
            }
        };
        self.schedule_read(now + pause);
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Time) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::SeedTimeout => {
                    self.awaited_seeds.clear();
                    self.try_end_asking(now);
                }
                Timer::FetchTimeout => self.check_fetch_timeout(now),
                Timer::Gossip => self.start_gossip_round(now),
                Timer::Read => {
                    self.read_timer = None;
                    self.start_read(now);
                }
            }
        }
    }

    /// Returns the time of the next timer, at which `tick` must be called.
    pub fn next_time(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// Removes and returns the pending actions.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the gossip of this process.
    pub fn gossip(&self, now: Time) -> Gossip {
        Gossip {
            vm: self.identity.vm.clone(),
            zone: self.identity.zone.clone(),
            addr: self.identity.addr,
            held: self.adopter.id(),
            age: self.platform_seen.map(|seen| now - seen),
        }
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&ConfigInForce> {
        self.adopter.in_force()
    }

    /// Returns the id of the set in force.
    pub fn set_id(&self) -> Option<SetId> {
        self.adopter.id()
    }

    /// Returns the state of the state machine.
    pub fn state(&self) -> ConfigState {
        self.state.state()
    }

    /// Returns the event counters.
    pub fn counters(&self) -> ConfigCounters {
        self.counters
    }

    /// Returns whether this process must read the platform.
    ///
    /// The first ranks of a zone always read; each further group of ranks joins when the platform's
    /// last answer has aged by another `stale_after`. Without a set in force, every process reads
    /// once its seeds have answered and `read_after` has passed.
    pub fn is_reader(&self, now: Time) -> bool {
        if self.adopter.id().is_none() {
            return self.state.state() != ConfigState::Asking && now >= self.read_after;
        }
        let age = self.platform_seen.map_or(now - Time::default(), |seen| now - seen);
        let group = |rank: usize| (rank / self.params.readers.max(1)) as u64;
        self.neighbors.rank().is_some_and(|rank| {
            rank < self.params.readers * READER_RANK_FACTOR
                && age.0 >= self.params.stale_after.0 * group(rank)
        })
    }

    /// Counts and reports a set with the generation of the different set in force, once per set.
    pub(super) fn record_conflict(&mut self, id: SetId) {
        let conflict = self.adopter.id().is_some_and(|held| held.conflicts_with(&id));
        if conflict && !self.known_conflicts.contains(&id) {
            push_bounded(&mut self.known_conflicts, id);
            self.counters.conflicts += 1;
            self.outputs.push(Output::Conflict(id));
        }
    }

    /// Selects the peers again, after a change of the fleet or of VM states.
    pub(super) fn update_neighbors(&mut self) {
        let Some(now) = self.adopter.in_force() else { return };
        let numbers = (self.params.fanout, self.params.readers);
        self.neighbors = Neighbors::new(
            &now.fleet,
            &self.identity.vm,
            &self.identity.zone,
            &self.vm_states,
            numbers,
        );
        self.peer_sets.clear();
    }

    /// Counts a platform failure and returns the pause before the next read, with 50% jitter.
    pub(super) fn next_backoff(&mut self) -> Span {
        let pause = MIN_BACKOFF.0 << self.platform_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.platform_failures += 1;
        Span(self.rng.random_range(pause / 2..=pause * 3 / 2))
    }

    /// Sets the timer of the next read of the platform.
    pub(super) fn schedule_read(&mut self, at: Time) {
        if let Some(id) = self.read_timer.take() {
            self.timers.cancel(id);
        }
        self.read_timer = Some(self.timers.schedule(at, Timer::Read));
    }

    /// Leaves the `Asking` state once all seeds have answered or timed out.
    fn try_end_asking(&mut self, now: Time) {
        if self.awaited_seeds.is_empty() && self.state.apply(ConfigEvent::Answered) {
            self.start_fetch(now);
            self.schedule_read(now);
        }
    }

    fn start_read(&mut self, now: Time) {
        if self.read_pending {
            return;
        }
        if self.is_reader(now) {
            self.read_pending = true;
            let known_head = self.platform_head.as_ref().map(Head::id);
            self.outputs.push(Output::WatchHead(known_head));
        } else {
            self.platform_head = None;
            self.schedule_read(now + READER_CHECK_INTERVAL);
        }
    }

    /// Offers the platform's head, and counts it if it is older than the set in force.
    fn offer_platform_head(&mut self, now: Time, head: Head) {
        let id = head.id();
        let changed = self.platform_head.as_ref().map(Head::id) != Some(id);
        if changed && self.adopter.id().is_some_and(|held| id < held) {
            self.counters.stale += 1;
        }
        self.platform_head = Some(head);
        self.offer(now, id, SetSource::Platform);
    }

    fn start_gossip_round(&mut self, now: Time) {
        self.gossip_rounds += 1;
        let spread = self.params.gossip_interval.0 / 8;
        let next = self
            .rng
            .random_range(self.params.gossip_interval.0 - spread..=self.params.gossip_interval.0);
        self.timers.schedule(now + Span(next), Timer::Gossip);
        for (vm, addr) in self.gossip_targets(now) {
            self.outputs.push(Output::Gossip(vm, addr));
        }
    }

    /// Returns the peers of this round: all seeds while no set is in force, else the zone peers,
    /// one reader per other zone if this process is a reader, and one seed in every eighth round.
    fn gossip_targets(&self, now: Time) -> Vec<(VmId, SocketAddr)> {
        let seeds = self.seeds.iter().map(|seed| (seed.vm.clone(), seed.addr));
        if self.adopter.id().is_none() {
            return seeds.collect();
        }
        let mut peers = self.neighbors.zone_peers(now, self.params.fanout);
        if self.is_reader(now) {
            peers.extend(self.neighbors.remote_readers(
                now,
                self.gossip_rounds,
                self.params.readers,
            ));
        }
        let seed = seeds.clone().nth(self.gossip_rounds.checked_rem(self.seeds.len()).unwrap_or(0));
        peers.extend(seed.filter(|(vm, _)| {
            self.gossip_rounds.is_multiple_of(8) && peers.iter().all(|(p, _)| p != vm)
        }));
        peers
    }

    fn record_peer_set(&mut self, vm: &VmId, id: SetId) {
        let bound = self.params.fanout * 8;
        if self.peer_sets.len() < bound || self.peer_sets.contains_key(vm) {
            self.peer_sets.insert(vm.clone(), id);
        }
    }
}

/// Appends an id and drops the oldest above `MAX_REMEMBERED_IDS`.
pub(super) fn push_bounded(ids: &mut VecDeque<SetId>, id: SetId) {
    ids.push_back(id);
    if ids.len() > MAX_REMEMBERED_IDS {
        ids.pop_front();
    }
}
