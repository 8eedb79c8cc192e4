//! Simulated processes, network and platform that distribute configurations.

use std::{
    cell::RefCell,
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use sequoiahold_core::{
    adopt::Verify,
    config::{
        ConfigCall, ConfigNode, ConfigReply, Identity, Output, PlatformError, Seed, SetSource,
        SyncParams,
    },
    declare::{Fleet, PublishedSet, Role, SetError, SetId, Vm},
    ids::ZoneId,
    proto::encode,
    time::Time,
    units::Span,
};

use super::platform::{Platform, WATCH_TIMEOUT};

/// One-way latency within a zone, and to the platform.
const INTRA_ZONE_LATENCY: Span = Span::millis(1);
/// One-way latency between zones.
const INTER_ZONE_LATENCY: Span = Span::millis(3);
/// Time after which a call to an unreachable peer fails.
const PEER_TIMEOUT: Span = Span::secs(1);
/// Size of the IP, UDP and QUIC headers and the AEAD tag of a packet, in bytes.
const PACKET_OVERHEAD: u64 = 60;
/// Size of a packet that only carries acknowledgements, in bytes.
const ACK_SIZE: u64 = 70;
/// Maximum message bytes per packet.
const PACKET_PAYLOAD: u64 = 1_200;

/// Verifies each set once and shares the result among all processes.
#[derive(Clone, Debug, Default)]
pub struct CachingVerifier {
    fleets: Rc<RefCell<BTreeMap<SetId, Arc<Fleet>>>>,
}

impl Verify for CachingVerifier {
    fn verify(&self, published: &PublishedSet) -> Result<Arc<Fleet>, SetError> {
        let id = published.head.id();
        if let Some(fleet) = self.fleets.borrow().get(&id) {
            return Ok(fleet.clone());
        }
        let fleet = published.verified_fleet().map(Arc::new)?;
        self.fleets.borrow_mut().insert(id, fleet.clone());
        Ok(fleet)
    }
}

#[derive(Debug)]
enum Event {
    Tick(usize, u64),
    Call(usize, usize, u64, Output),
    Reply(usize, u64, Output, Option<ConfigReply>),
    Platform(usize, u64, Output),
    WatchAnswered(usize, u64),
    WatchEnd(usize, u64),
    Start(usize),
}

/// A simulated process.
#[derive(Debug)]
pub struct Process {
    /// The VM that the process runs on.
    pub vm: Vm,
    /// The configuration core, `None` while the process is down.
    pub node: Option<ConfigNode<CachingVerifier>>,
    /// The set in force, and the time of its adoption.
    pub held: Option<(SetId, Time)>,
    /// Bytes sent and received since the start of the measurement.
    pub bytes: u64,
    /// Number of stops; events of an earlier start are dropped.
    epoch: u64,
    next_tick: Option<Time>,
}

/// A simulation of the processes of a fleet and the platform.
#[derive(Debug)]
pub struct Simulation {
    /// Current virtual time.
    pub now: Time,
    /// The processes in the order of their VM names.
    pub processes: Vec<Process>,
    /// The configuration service.
    pub platform: Platform,
    /// Zones that reach neither other zones nor the platform.
    pub isolated_zones: BTreeSet<ZoneId>,
    /// Number of times that a process replaced its set by an older one.
    pub reverted: u64,
    verifier: CachingVerifier,
    sync: SyncParams,
    seeds: BTreeMap<ZoneId, Vec<Seed>>,
    by_addr: BTreeMap<SocketAddr, usize>,
    events: BinaryHeap<Reverse<QueuedEvent>>,
    sequence: u64,
    rng: SmallRng,
}

#[derive(Debug)]
struct QueuedEvent(Time, u64, Event);

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

impl Simulation {
    /// Returns a simulation of a fleet whose processes are all down.
    pub fn new(fleet: &Fleet, sync: SyncParams, seed: u64) -> Self {
        let mut seeds: BTreeMap<ZoneId, Vec<Seed>> = BTreeMap::new();
        for vm in fleet.vms.values().filter(|vm| vm.role == Role::Entry) {
            let zone_seeds = seeds.entry(vm.zone.clone()).or_default();
            if zone_seeds.len() < 3 {
                zone_seeds.push(Seed { vm: vm.name.clone(), addr: vm.addr });
            }
        }
        let process = |vm: &Vm| Process {
            vm: vm.clone(),
            node: None,
            held: None,
            bytes: 0,
            epoch: 0,
            next_tick: None,
        };
        let processes: Vec<Process> = fleet.vms.values().map(process).collect();
        let by_addr = processes.iter().enumerate().map(|(i, p)| (p.vm.addr, i)).collect();
        Self {
            now: Time::default(),
            processes,
            platform: Platform::default(),
            isolated_zones: BTreeSet::new(),
            reverted: 0,
            verifier: CachingVerifier::default(),
            sync,
            seeds,
            by_addr,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Stops a process and restarts it without any state after `pause`.
    pub fn restart(&mut self, i: usize, pause: Span) {
        self.stop(i);
        self.schedule(self.now + pause, Event::Start(i));
    }

    /// Stops a process without restarting it.
    pub fn stop(&mut self, i: usize) {
        let process = &mut self.processes[i];
        process.epoch += 1;
        process.node = None;
        process.held = None;
        process.next_tick = None;
    }

    /// Publishes a set at the platform; returns its id.
    pub fn publish(&mut self, set: PublishedSet) -> SetId {
        let id = set.head.id();
        for (reader, epoch) in self.platform.publish(Arc::new(set)) {
            self.schedule(self.now + INTRA_ZONE_LATENCY, Event::WatchAnswered(reader, epoch));
        }
        id
    }

    /// Runs until `until` or until `done` holds, checked every 10 ms; returns whether it holds.
    pub fn run(&mut self, until: Time, done: impl Fn(&Self) -> bool) -> bool {
        let mut next_check = self.now;
        while let Some(Reverse(QueuedEvent(at, _, _))) = self.events.peek()
            && *at <= until
        {
            let Some(Reverse(QueuedEvent(at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.on_event(event);
            if self.now >= next_check {
                if done(self) {
                    return true;
                }
                next_check = self.now + Span::millis(10);
            }
        }
        self.now = until;
        done(self)
    }

    /// Returns the running processes.
    pub fn running(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.node.is_some())
    }

    /// Returns the indexes of a random sample of about `percent` percent of the processes.
    pub fn sample(&mut self, percent: u32) -> Vec<usize> {
        (0..self.processes.len()).filter(|_| self.rng.random_range(0..100) < percent).collect()
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(QueuedEvent(at, self.sequence, event)));
    }

    fn start(&mut self, i: usize) {
        let vm = self.processes[i].vm.clone();
        let identity = Identity { vm: vm.name.clone(), zone: vm.zone.clone(), addr: vm.addr };
        let seeds = self.seeds.get(&vm.zone).cloned().unwrap_or_default();
        let seed = self.rng.random();
        let node = ConfigNode::with_verifier(
            self.verifier.clone(),
            identity,
            self.sync,
            (seeds, self.now, seed),
        );
        self.processes[i].node = Some(node);
        self.perform_outputs(i);
    }

    fn on_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Start(i) => self.start(i),
            Event::Tick(i, epoch) => {
                if self.processes[i].next_tick.is_some_and(|next_tick| next_tick <= now) {
                    self.processes[i].next_tick = None;
                }
                self.with_node(i, epoch, |node| node.tick(now));
            }
            Event::Call(from, to, epoch, output) => self.on_call(from, to, epoch, output),
            Event::Reply(to, epoch, output, reply) => self.on_reply(to, epoch, output, reply),
            Event::Platform(i, epoch, output) => self.on_platform(i, epoch, output),
            Event::WatchEnd(i, epoch) => {
                if self.platform.end_watch((i, epoch)) {
                    self.on_event(Event::WatchAnswered(i, epoch));
                }
            }
            Event::WatchAnswered(i, epoch) => {
                let head = self.platform.head();
                self.with_node(i, epoch, |node| node.receive_platform_head(now, head));
            }
        }
    }

    fn on_call(&mut self, from: usize, to: usize, epoch: u64, output: Output) {
        let now = self.now;
        let reachable = self.reachable(from, to);
        let call = self.outgoing_call(from, &output);
        let Some((node, call)) = self.processes[to].node.as_mut().zip(call).filter(|_| reachable)
        else {
            return self.schedule(now + PEER_TIMEOUT, Event::Reply(from, epoch, output, None));
        };
        let reply = node.handle_call(now, &call);
        let bytes = wire_size(encode(&call).len()) + wire_size(encode(&reply).len());
        self.processes[from].bytes += bytes;
        self.processes[to].bytes += bytes;
        let latency = self.latency(from, to);
        self.schedule(now + latency, Event::Reply(from, epoch, output, Some(reply)));
        self.perform_outputs(to);
    }

    fn on_reply(&mut self, to: usize, epoch: u64, output: Output, reply: Option<ConfigReply>) {
        let now = self.now;
        self.with_node(to, epoch, |node| match (output, reply) {
            (Output::Gossip(_, _), Some(ConfigReply::Gossip(gossip))) => {
                node.receive_gossip(now, &gossip)
            }
            (Output::Gossip(vm, _), _) => node.peer_unresponsive(now, &vm),
            (Output::RequestSet(vm, _), Some(ConfigReply::Set(set))) => {
                node.receive_set(now, &vm, set)
            }
            (Output::RequestSet(vm, _), _) => node.receive_set(now, &vm, None),
            (Output::RequestHead(vm, _, _), Some(ConfigReply::Head(head))) => {
                node.receive_head(now, &vm, head.as_ref());
            }
            (Output::RequestHead(vm, _, _), _) => node.receive_head(now, &vm, None),
            (Output::RequestPart(source, digest), Some(ConfigReply::Part(part))) => {
                node.receive_part(now, &source, digest, part);
            }
            (Output::RequestPart(source, digest), _) => {
                node.receive_part(now, &source, digest, None)
            }
            _ => {}
        });
    }

    fn on_platform(&mut self, i: usize, epoch: u64, output: Output) {
        let now = self.now;
        if self.processes[i].epoch != epoch {
            return;
        }
        let isolated = self.isolated_zones.contains(&self.processes[i].vm.zone);
        match output {
            Output::WatchHead(_) if isolated => {
                let unavailable = Err(PlatformError::Unavailable);
                self.with_node(i, epoch, |node| node.receive_platform_head(now, unavailable));
            }
            Output::WatchHead(seen) => match self.platform.watch(now, (i, epoch), seen) {
                Some(head) => {
                    self.with_node(i, epoch, |node| node.receive_platform_head(now, head))
                }
                None => self.schedule(now + WATCH_TIMEOUT, Event::WatchEnd(i, epoch)),
            },
            Output::RequestPart(source, digest) => {
                let part = if isolated { None } else { self.platform.part(now, &digest).ok() };
                let bytes = part.as_ref().map_or(0, |part| wire_size(part.len()));
                self.processes[i].bytes += bytes;
                self.with_node(i, epoch, |node| node.receive_part(now, &source, digest, part));
            }
            _ => {}
        }
    }

    /// Runs `decide` on the core of a process, unless it has restarted, and executes its outputs.
    fn with_node(
        &mut self,
        i: usize,
        epoch: u64,
        decide: impl FnOnce(&mut ConfigNode<CachingVerifier>),
    ) {
        let process = &mut self.processes[i];
        if process.epoch != epoch {
            return;
        }
        let Some(node) = process.node.as_mut() else { return };
        decide(node);
        self.perform_outputs(i);
    }

    fn perform_outputs(&mut self, i: usize) {
        let now = self.now;
        let epoch = self.processes[i].epoch;
        let Some(node) = self.processes[i].node.as_mut() else { return };
        let outputs = node.take_outputs();
        let (id, next) = (node.set_id(), node.next_time());
        let process = &mut self.processes[i];
        let before = process.held.map(|(id, _)| id);
        if id != before {
            self.reverted += u64::from(id < before);
            process.held = id.map(|id| (id, now));
        }
        if let Some(next) = next
            && process.next_tick.is_none_or(|next_tick| next < next_tick)
        {
            process.next_tick = Some(next);
            self.schedule(next.max(now), Event::Tick(i, epoch));
        }
        for output in outputs {
            self.send(i, epoch, output);
        }
    }

    fn send(&mut self, i: usize, epoch: u64, output: Output) {
        let to = match &output {
            Output::Gossip(_, addr)
            | Output::RequestSet(_, addr)
            | Output::RequestHead(_, addr, _) => addr,
            Output::RequestPart(SetSource::Peer(_, addr), _) => addr,
            Output::RequestPart(SetSource::Platform, _) | Output::WatchHead(_) => {
                return self
                    .schedule(self.now + INTRA_ZONE_LATENCY, Event::Platform(i, epoch, output));
            }
            _ => return,
        };
        if let Some(to) = self.by_addr.get(to).copied() {
            let latency = self.latency(i, to);
            self.schedule(self.now + latency, Event::Call(i, to, epoch, output));
        }
    }

    fn outgoing_call(&self, from: usize, output: &Output) -> Option<ConfigCall> {
        Some(match output {
            Output::Gossip(_, _) => {
                ConfigCall::Gossip(Box::new(self.processes[from].node.as_ref()?.gossip(self.now)))
            }
            Output::RequestSet(_, _) => ConfigCall::Set,
            Output::RequestHead(_, _, base) => ConfigCall::Head(*base),
            Output::RequestPart(_, digest) => ConfigCall::Part(*digest),
            _ => return None,
        })
    }

    fn reachable(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.processes[from].vm.zone, &self.processes[to].vm.zone);
        from == to || !(self.isolated_zones.contains(from) || self.isolated_zones.contains(to))
    }

    fn latency(&self, from: usize, to: usize) -> Span {
        let same = self.processes[from].vm.zone == self.processes[to].vm.zone;
        if same { INTRA_ZONE_LATENCY } else { INTER_ZONE_LATENCY }
    }
}

/// Returns the network bytes of a message, including its length prefix and acknowledgements.
fn wire_size(length: usize) -> u64 {
    let length = length as u64 + 4;
    let packets = length.div_ceil(PACKET_PAYLOAD);
    length + packets * PACKET_OVERHEAD + packets.div_ceil(2) * ACK_SIZE
}
