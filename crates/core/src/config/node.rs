//! The configuration in a process, driven by messages and time.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use super::{
    fetch::{Fetch, Source},
    message::{Gossip, ReadError, Seed},
    neighbors::{Neighbors, READER_RANKS},
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

/// Pause between two watches of the platform.
const WATCH_PAUSE: Span = Span::millis(50);
/// Shortest pause after a read that failed.
const BACKOFF: Span = Span::millis(500);
/// Times that the pause is doubled at the most.
const BACKOFF_DOUBLINGS: u32 = 3;
/// Pause before a process looks again whether it must read the platform.
const READ_CHECK: Span = Span::secs(1);
/// Identities of sets that are remembered, such as refused ones.
const REMEMBERED: usize = 16;

/// Who a process is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The VM.
    pub vm: VmId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The address for other processes.
    pub addr: SocketAddr,
}

/// Numbers and spans of time that the exchange of sets follows.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The time between two exchanges of gossip with a peer.
    pub interval: Span,
    /// The peers of the own zone that gossip is exchanged with.
    pub fanout: usize,
    /// The processes of a zone that read the platform.
    pub readers: usize,
    /// The time for which a process without a configuration waits for its seeds.
    pub wait: Span,
    /// The age of the last answer of the platform after which further processes read it.
    pub stale: Span,
}

/// What the process must do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Exchange gossip with a peer.
    Gossip(VmId, SocketAddr),
    /// Ask a peer for its whole set.
    AskSet(VmId, SocketAddr),
    /// Ask a peer for its head, as a difference from the head with this digest.
    AskHead(VmId, SocketAddr, Digest),
    /// Ask for a part.
    AskPart(Source, Digest),
    /// Wait until the platform shows another set than this one, and read its head.
    ReadHead(Option<SetId>),
    /// A set is in force now.
    Adopted(ConfigInForce),
    /// A set was refused; the text says why.
    Refused(SetId, String),
    /// Two different sets carry one generation.
    Conflict(SetId),
}

/// Counts of what happened.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Sets that were adopted.
    pub adopted: u64,
    /// Sets that were refused as unsound.
    pub refused: u64,
    /// Sets that carried the generation of another one.
    pub conflicts: u64,
    /// Times that the platform showed an older set than the one in force.
    pub stale: u64,
    /// Parts that did not have the digest that names them.
    pub corrupt: u64,
    /// Fetches that were given up.
    pub failed: u64,
    /// Reads of the platform that were refused above its rate.
    pub busy: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Timer {
    Answered,
    Fetch,
    Gossip,
    Read,
}

/// The configuration in a process.
#[derive(Debug)]
pub struct Node<V = FullVerification> {
    pub(super) own: Identity,
    pub(super) timing: Timing,
    pub(super) adopter: Adopter<V>,
    pub(super) state: Machine<ConfigState, ConfigEvent>,
    pub(super) neighbors: Neighbors,
    pub(super) fetch: Option<Fetch>,
    pub(super) offers: Vec<(SetId, Source)>,
    pub(super) partial: BTreeMap<Digest, Bytes>,
    pub(super) refused: VecDeque<SetId>,
    pub(super) recent: VecDeque<Head>,
    pub(super) shown: Option<Head>,
    pub(super) timers: Timers<Timer>,
    pub(super) outputs: Vec<Output>,
    pub(super) counts: Counts,
    pub(super) list: BTreeMap<VmId, VmState>,
    pub(super) heard: BTreeMap<VmId, SetId>,
    /// The start of the present second and the whole sets given in it.
    pub(super) given: (Time, u32),
    seeds: Vec<Seed>,
    waiting: BTreeSet<VmId>,
    conflicts: VecDeque<SetId>,
    fresh: Option<Time>,
    reading: bool,
    failures: u32,
    read_timer: Option<TimerId>,
    alone: Time,
    round: usize,
    pub(super) rng: SmallRng,
}

impl Node {
    /// Returns the configuration of a process that starts with nothing.
    pub fn new(own: Identity, timing: Timing, seeds: Vec<Seed>, now: Time, seed: u64) -> Self {
        Self::with(FullVerification, own, timing, (seeds, now, seed))
    }
}

impl<V: Verify> Node<V> {
    /// Returns the configuration of a process that starts with nothing and checks sets by `verify`.
    pub fn with(
        verify: V,
        own: Identity,
        timing: Timing,
        (seeds, now, seed): (Vec<Seed>, Time, u64),
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let is_seed = seeds.is_empty() || seeds.iter().any(|seed| seed.vm == own.vm);
        let spread = Span(rng.random_range(0..=timing.wait.0 * 4));
        let grace = if is_seed { Span(0) } else { Span(timing.wait.0 * 4 + spread.0) };
        let seeds: Vec<Seed> = seeds.into_iter().filter(|seed| seed.vm != own.vm).collect();
        let mut timers = Timers::default();
        timers.schedule(now, Timer::Gossip);
        timers.schedule(now + timing.wait, Timer::Answered);
        let waiting = seeds.iter().map(|seed| seed.vm.clone()).collect();
        let mut node = Self {
            alone: now + timing.wait + grace,
            own,
            timing,
            adopter: Adopter::new(verify),
            state: Machine::new(Arc::new(chart())),
            neighbors: Neighbors::default(),
            fetch: None,
            offers: vec![],
            partial: BTreeMap::new(),
            refused: VecDeque::new(),
            recent: VecDeque::new(),
            shown: None,
            timers,
            outputs: vec![],
            counts: Counts::default(),
            list: BTreeMap::new(),
            heard: BTreeMap::new(),
            given: (now, 0),
            seeds,
            waiting,
            conflicts: VecDeque::new(),
            fresh: None,
            reading: false,
            failures: 0,
            read_timer: None,
            round: 0,
            rng,
        };
        node.end_asking(now);
        node
    }

    /// Takes the state that a peer told, as a call or as an answer.
    pub fn heard(&mut self, now: Time, gossip: &Gossip) {
        self.neighbors.answered(&gossip.vm);
        if gossip.zone == self.own.zone
            && let Some(age) = gossip.age
        {
            self.fresh = self.fresh.max(Some(Time(now.0.saturating_sub(age.0))));
        }
        if let Some(id) = gossip.held {
            self.note_held(&gossip.vm, id);
            self.offer(now, id, Source::Peer(gossip.vm.clone(), gossip.addr));
        }
        self.waiting.remove(&gossip.vm);
        self.end_asking(now);
    }

    /// Takes note that a peer did not answer.
    pub fn silent(&mut self, now: Time, vm: &VmId) {
        self.neighbors.silent(now, vm);
        self.waiting.remove(vm);
        self.end_asking(now);
    }

    /// Takes the platform's list of VMs.
    pub fn list(&mut self, list: &BTreeMap<VmId, VmState>) {
        if self.list != *list {
            self.list.clone_from(list);
            self.set_neighbors();
        }
    }

    /// Takes the head that the platform shows.
    pub fn read_head(&mut self, now: Time, read: Result<Head, ReadError>) {
        self.reading = false;
        let pause = match read {
            Ok(head) => {
                self.failures = 0;
                self.fresh = Some(now);
                self.show(now, head);
                WATCH_PAUSE
            }
            Err(error) => {
                self.counts.busy += u64::from(error == ReadError::Busy);
                self.backoff()
            }
        };
        self.read_at(now + pause);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Answered => {
                    self.waiting.clear();
                    self.end_asking(now);
                }
                Timer::Fetch => self.end_fetch(now),
                Timer::Gossip => self.gossip_round(now),
                Timer::Read => {
                    self.read_timer = None;
                    self.read(now);
                }
            }
        }
    }

    /// Returns the time of the next tick.
    pub fn next_time(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// Returns what the process must do now.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns what this process tells its peers.
    pub fn gossip(&self, now: Time) -> Gossip {
        Gossip {
            vm: self.own.vm.clone(),
            zone: self.own.zone.clone(),
            addr: self.own.addr,
            held: self.adopter.id(),
            age: self.fresh.map(|fresh| now - fresh),
        }
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&ConfigInForce> {
        self.adopter.in_force()
    }

    /// Returns the identity of the set in force.
    pub fn id(&self) -> Option<SetId> {
        self.adopter.id()
    }

    /// Returns the state.
    pub fn state(&self) -> ConfigState {
        self.state.state()
    }

    /// Returns the counts of what happened.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns whether this process reads the platform now.
    pub fn is_reader(&self, now: Time) -> bool {
        if self.adopter.id().is_none() {
            return self.state.state() != ConfigState::Asking && now >= self.alone;
        }
        let age = self.fresh.map_or(now - Time::default(), |fresh| now - fresh);
        let waits = |rank: usize| (rank / self.timing.readers.max(1)) as u64;
        self.neighbors.rank().is_some_and(|rank| {
            rank < self.timing.readers * READER_RANKS && age.0 >= self.timing.stale.0 * waits(rank)
        })
    }

    /// Counts two different sets under one generation, each pair once.
    pub(super) fn note_conflict(&mut self, id: SetId) {
        let conflict = self.adopter.id().is_some_and(|held| held.conflicts(&id));
        if conflict && !self.conflicts.contains(&id) {
            remember(&mut self.conflicts, id);
            self.counts.conflicts += 1;
            self.outputs.push(Output::Conflict(id));
        }
    }

    /// Ranks the peers again.
    pub(super) fn set_neighbors(&mut self) {
        let Some(now) = self.adopter.in_force() else { return };
        let numbers = (self.timing.fanout, self.timing.readers);
        self.neighbors =
            Neighbors::new(&now.fleet, &self.own.vm, &self.own.zone, &self.list, numbers);
        self.heard.clear();
    }

    /// Returns the pause after one more failure, spread over half to one and a half of its length.
    pub(super) fn backoff(&mut self) -> Span {
        let pause = BACKOFF.0 << self.failures.min(BACKOFF_DOUBLINGS);
        self.failures += 1;
        Span(self.rng.random_range(pause / 2..=pause * 3 / 2))
    }

    /// Sets the time of the next look at the platform.
    pub(super) fn read_at(&mut self, at: Time) {
        if let Some(id) = self.read_timer.take() {
            self.timers.cancel(id);
        }
        self.read_timer = Some(self.timers.schedule(at, Timer::Read));
    }

    /// Leaves the initial state once all seeds have answered or the wait is over.
    fn end_asking(&mut self, now: Time) {
        if self.waiting.is_empty() && self.state.apply(ConfigEvent::Answered) {
            self.start_fetch(now);
            self.read_at(now);
        }
    }

    fn read(&mut self, now: Time) {
        if self.reading {
            return;
        }
        if self.is_reader(now) {
            self.reading = true;
            let shown = self.shown.as_ref().map(Head::id);
            self.outputs.push(Output::ReadHead(shown));
        } else {
            self.shown = None;
            self.read_at(now + READ_CHECK);
        }
    }

    /// Takes a head of the platform as an offer, or counts it as stale.
    fn show(&mut self, now: Time, head: Head) {
        let id = head.id();
        let changed = self.shown.as_ref().map(Head::id) != Some(id);
        if changed && self.adopter.id().is_some_and(|held| id < held) {
            self.counts.stale += 1;
        }
        self.shown = Some(head);
        self.offer(now, id, Source::Platform);
    }

    fn gossip_round(&mut self, now: Time) {
        self.round += 1;
        let spread = self.timing.interval.0 / 8;
        let next = self.rng.random_range(self.timing.interval.0 - spread..=self.timing.interval.0);
        self.timers.schedule(now + Span(next), Timer::Gossip);
        for (vm, addr) in self.peers(now) {
            self.outputs.push(Output::Gossip(vm, addr));
        }
    }

    /// Returns the peers of one round: those of the set in force and one seed, or all seeds.
    fn peers(&self, now: Time) -> Vec<(VmId, SocketAddr)> {
        let seeds = self.seeds.iter().map(|seed| (seed.vm.clone(), seed.addr));
        if self.adopter.id().is_none() {
            return seeds.collect();
        }
        let mut peers = self.neighbors.near(now, self.timing.fanout);
        if self.is_reader(now) {
            peers.extend(self.neighbors.far(now, self.round, self.timing.readers));
        }
        let seed = seeds.clone().nth(self.round.checked_rem(self.seeds.len()).unwrap_or(0));
        peers.extend(
            seed.filter(|(vm, _)| {
                self.round.is_multiple_of(8) && peers.iter().all(|(p, _)| p != vm)
            }),
        );
        peers
    }

    fn note_held(&mut self, vm: &VmId, id: SetId) {
        let bound = self.timing.fanout * 8;
        if self.heard.len() < bound || self.heard.contains_key(vm) {
            self.heard.insert(vm.clone(), id);
        }
    }
}

/// Keeps the last few identities.
pub(super) fn remember(ids: &mut VecDeque<SetId>, id: SetId) {
    ids.push_back(id);
    if ids.len() > REMEMBERED {
        ids.pop_front();
    }
}
