//! Many processes, a network and the platform in virtual time.

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
/// Time after which a peer counts as silent.
const PEER_TIMEOUT: Span = Span::secs(1);
/// Bytes of IP, UDP and QUIC headers with the tag in a packet.
const PACKET_OVERHEAD: u64 = 60;
/// Bytes of a packet that acknowledges others.
const ACK_SIZE: u64 = 70;
/// Bytes of a message that fit into a packet.
const PACKET_PAYLOAD: u64 = 1_200;

/// Reads each set once for all processes.
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

/// One process.
#[derive(Debug)]
pub struct Process {
    /// The VM.
    pub vm: Vm,
    /// The configuration, `None` while the process is down.
    pub node: Option<ConfigNode<CachingVerifier>>,
    /// The set in force and since when.
    pub held: Option<(SetId, Time)>,
    /// Bytes sent and received.
    pub bytes: u64,
    epoch: u64,
    next_tick: Option<Time>,
}

/// Many processes, a network and the platform.
#[derive(Debug)]
pub struct World {
    /// The time.
    pub now: Time,
    /// The processes.
    pub processes: Vec<Process>,
    /// The platform.
    pub platform: Platform,
    /// Zones that are cut off from others and from the platform.
    pub isolated_zones: BTreeSet<ZoneId>,
    /// Times that a process took a lower set than it held.
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

impl World {
    /// Returns the processes of a fleet, all down.
    pub fn new(fleet: &Fleet, sync: SyncParams, seed: u64) -> Self {
        let mut seeds: BTreeMap<ZoneId, Vec<Seed>> = BTreeMap::new();
        for vm in fleet.vms.values().filter(|vm| vm.role == Role::Entry) {
            let of_zone = seeds.entry(vm.zone.clone()).or_default();
            if of_zone.len() < 3 {
                of_zone.push(Seed { vm: vm.name.clone(), addr: vm.addr });
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

    /// Stops a process and starts it again, with nothing, after a pause.
    pub fn restart(&mut self, i: usize, pause: Span) {
        self.stop(i);
        self.schedule(self.now + pause, Event::Start(i));
    }

    /// Stops a process for good.
    pub fn stop(&mut self, i: usize) {
        let process = &mut self.processes[i];
        process.epoch += 1;
        process.node = None;
        process.held = None;
        process.next_tick = None;
    }

    /// Shows a set at the platform.
    pub fn publish(&mut self, set: PublishedSet) -> SetId {
        let id = set.head.id();
        for (reader, epoch) in self.platform.publish(Arc::new(set)) {
            self.schedule(self.now + INTRA_ZONE_LATENCY, Event::WatchAnswered(reader, epoch));
        }
        id
    }

    /// Runs until a time, or until `done`, looked at every 10 ms; returns whether it was done.
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

    /// Returns the processes that run.
    pub fn running(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.node.is_some())
    }

    /// Returns a share of the processes, chosen by the seed.
    pub fn sample(&mut self, percent: u32) -> Vec<usize> {
        (0..self.processes.len()).filter(|_| self.rng.random_range(0..100) < percent).collect()
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(QueuedEvent(at, self.sequence, event)));
    }

    fn start(&mut self, i: usize) {
        let vm = self.processes[i].vm.clone();
        let own = Identity { vm: vm.name.clone(), zone: vm.zone.clone(), addr: vm.addr };
        let seeds = self.seeds.get(&vm.zone).cloned().unwrap_or_default();
        let seed = self.rng.random();
        let node = ConfigNode::with_verifier(
            self.verifier.clone(),
            own,
            self.sync,
            (seeds, self.now, seed),
        );
        self.processes[i].node = Some(node);
        self.perform(i);
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
        self.perform(to);
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
                let down = Err(PlatformError::Unavailable);
                self.with_node(i, epoch, |node| node.receive_platform_head(now, down));
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

    /// Lets a process decide, if it is still the one that asked, and does what follows.
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
        self.perform(i);
    }

    fn perform(&mut self, i: usize) {
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

/// Returns the bytes that a message takes on the network, acknowledgements included.
fn wire_size(length: usize) -> u64 {
    let length = length as u64 + 4;
    let packets = length.div_ceil(PACKET_PAYLOAD);
    length + packets * PACKET_OVERHEAD + packets.div_ceil(2) * ACK_SIZE
}
