//! The driver: nodes, links and faults in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};
use sequoiahold_core::{
    ids::{Digest, VmId},
    time::Time,
    units::{Bytes, Span},
    weights::{ChunkOutcome, ChunkSource, Pull, PullError},
};

use super::{
    link::Link,
    node::Node,
    plan::{END, FAR, Figures, NEAR, ORIGIN_RATE, Plan, REGION_RATE, SIZE, VM_RATE, data, name},
};

/// The first link; the regions' and VMs' links follow, outward before inward.
const ORIGIN: usize = 0;
/// Time within which all VMs hear of a new version.
const HEARD: Span = Span::secs(1);
/// Time after which a question without an answer is given up.
const SILENT: Span = Span::secs(2);
/// Time after which a connection to a VM that was killed is closed.
const IDLE: Span = Span::secs(20);
/// Bytes of a question, its answer and their headers, beside the bits.
const QUESTION: u64 = 200;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Start(usize),
    Wake(usize),
    Have(usize, usize),
    Silent(usize, usize),
    Request(usize),
    Enter(usize, usize, Time),
    Free(usize),
    Arrive(usize),
    Fail(usize, PullError),
    Kill(usize),
    Stall(usize),
}

struct Flow {
    from: Option<usize>,
    to: usize,
    chunk: usize,
    path: Vec<usize>,
    open: bool,
    sending: bool,
}

struct Vm<N> {
    node: N,
    held: Vec<u8>,
    started: bool,
    alive: bool,
    stalled: bool,
    drawing: usize,
    uploads: u32,
    wake: Time,
    done: Option<Time>,
}

/// One run in progress.
pub struct Sim<N> {
    plan: Plan,
    draws: usize,
    vms: Vec<Vm<N>>,
    names: Vec<VmId>,
    places: BTreeMap<VmId, usize>,
    chunks: BTreeMap<Digest, usize>,
    digests: Vec<Digest>,
    links: Vec<Link>,
    flows: Vec<Flow>,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    count: u64,
    rng: SmallRng,
    questions: u64,
    wrong: u64,
}

impl<N: Node> Sim<N> {
    /// Returns a run over nodes that hold what the plan says.
    pub fn new(plan: Plan, draws: usize, nodes: Vec<N>, held: &[bool]) -> Self {
        let manifest = plan.manifest();
        let mut bits = vec![0; held.len().div_ceil(8)];
        for (i, _) in held.iter().enumerate().filter(|(_, held)| **held) {
            bits[i / 8] |= 1 << (i % 8);
        }
        let vm = |node| Vm {
            node,
            held: bits.clone(),
            started: false,
            alive: true,
            stalled: false,
            drawing: 0,
            uploads: 0,
            wake: END,
            done: None,
        };
        let mut links = vec![Link::new(ORIGIN_RATE)];
        links.extend((0..plan.regions() * 2).map(|_| Link::new(REGION_RATE)));
        links.extend((0..plan.vms * 2).map(|_| Link::new(VM_RATE)));
        let digests = manifest.chunks;
        let mut sim = Self {
            plan,
            draws,
            vms: nodes.into_iter().map(vm).collect(),
            names: (0..plan.vms).map(|i| name("vm", i)).collect(),
            places: (0..plan.vms).map(|i| (name("vm", i), i)).collect(),
            chunks: digests.iter().enumerate().map(|(i, digest)| (*digest, i)).collect(),
            digests,
            links,
            flows: vec![],
            queue: BinaryHeap::new(),
            count: 0,
            rng: SmallRng::seed_from_u64(plan.seed),
            questions: 0,
            wrong: 0,
        };
        sim.prepare();
        sim
    }

    /// Runs until all living VMs hold all chunks.
    pub fn run(mut self, scheme: &'static str, case: &'static str) -> Figures {
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            if now >= END || self.open() == 0 {
                break;
            }
            self.on_event(now, event);
        }
        self.figures(scheme, case)
    }

    fn prepare(&mut self) {
        for vm in 0..self.plan.vms {
            let heard = Time(self.rng.random_range(0..HEARD.0));
            self.push(heard, Event::Start(vm));
        }
        let window = self.plan.bound().0;
        let killed = self.plan.vms as u64 * self.plan.faults.killed / 1_000;
        let mut order: Vec<usize> = (0..self.plan.vms).collect();
        order.shuffle(&mut self.rng);
        for vm in order.iter().take(killed as usize) {
            let at = Time(self.rng.random_range(0..window));
            self.push(at, Event::Kill(*vm));
        }
        if self.plan.faults.stalled {
            let at = Time(window / 10);
            self.push(at, Event::Stall(order[killed as usize]));
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    fn open(&self) -> usize {
        self.vms.iter().filter(|vm| vm.alive && !vm.stalled && vm.done.is_none()).count()
    }

    fn on_event(&mut self, now: Time, event: Event) {
        match event {
            Event::Start(vm) => {
                self.vms[vm].started = true;
                self.vms[vm].node.start(now);
                self.act(now, vm);
            }
            Event::Wake(vm) => {
                if self.vms[vm].wake <= now {
                    self.vms[vm].wake = END;
                    self.act(now, vm);
                }
            }
            Event::Have(vm, peer) => self.on_have(now, vm, peer),
            Event::Silent(vm, peer) => {
                self.vms[vm].node.silent(&self.names[peer]);
                self.act(now, vm);
            }
            Event::Request(flow) => self.on_request(now, flow),
            Event::Enter(flow, hop, end) => {
                let link = self.flows[flow].path[hop];
                self.links[link].queue.push_back((flow, hop, end));
                self.serve(now, link);
            }
            Event::Free(link) => self.serve(now, link),
            Event::Arrive(flow) => self.on_arrive(now, flow),
            Event::Fail(flow, error) => self.on_fail(now, flow, error),
            Event::Kill(vm) => self.vms[vm].alive = false,
            Event::Stall(vm) => self.vms[vm].stalled = true,
        }
    }

    fn latency(&self, one: usize, other: usize) -> Span {
        let region = |vm| self.plan.region_of(self.plan.zone_of(vm));
        if region(one) == region(other) { NEAR } else { FAR }
    }

    /// Lets a node ask its peers and start draws.
    fn act(&mut self, now: Time, vm: usize) {
        if !self.vms[vm].alive || self.vms[vm].done.is_some() {
            return;
        }
        for peer in self.vms[vm].node.asks(now) {
            let peer = self.places[&peer];
            let back = self.latency(vm, peer);
            self.questions += QUESTION + self.vms[peer].held.len() as u64;
            if self.vms[peer].alive {
                self.push(now + back + back, Event::Have(vm, peer));
            } else {
                self.push(now + SILENT, Event::Silent(vm, peer));
            }
        }
        while self.vms[vm].drawing < self.draws {
            let Some(draw) = self.vms[vm].node.next(now) else { break };
            self.draw(now, vm, draw);
        }
        if let Some(wake) = self.vms[vm].node.wake().filter(|wake| *wake < self.vms[vm].wake) {
            self.vms[vm].wake = wake;
            self.push(wake, Event::Wake(vm));
        }
    }

    fn draw(&mut self, now: Time, vm: usize, draw: Pull) {
        let from = match &draw.source {
            ChunkSource::Origin => None,
            ChunkSource::Peer(peer) => Some(self.places[peer]),
        };
        let path = self.path(from, vm);
        let chunk = self.chunks[&draw.digest];
        self.flows.push(Flow { from, to: vm, chunk, path, open: true, sending: false });
        let flow = self.flows.len() - 1;
        self.vms[vm].drawing += 1;
        let latency = from.map_or(FAR, |from| self.latency(from, vm));
        self.push(now + latency, Event::Request(flow));
        let dead = from.is_some_and(|from| !self.vms[from].alive);
        let timeout = if dead { draw.timeout.min(IDLE) } else { draw.timeout };
        self.push(now + timeout, Event::Fail(flow, PullError::Silent));
    }

    fn path(&self, from: Option<usize>, to: usize) -> Vec<usize> {
        let region = |vm| self.plan.region_of(self.plan.zone_of(vm));
        let machines = 1 + self.plan.regions() * 2;
        let source = from.map_or(0, region);
        let mut path = vec![from.map_or(ORIGIN, |from| machines + from * 2)];
        if source != region(to) {
            path.extend([1 + source * 2, 2 + region(to) * 2]);
        }
        path.push(machines + to * 2 + 1);
        path
    }

    fn on_have(&mut self, now: Time, vm: usize, peer: usize) {
        let bits = if self.vms[peer].started { self.vms[peer].held.clone() } else { vec![] };
        self.vms[vm].node.have(now, &self.names[peer], &bits);
        self.act(now, vm);
    }

    fn on_request(&mut self, now: Time, flow: usize) {
        let Flow { from, to, chunk, .. } = self.flows[flow];
        let Some(from) = from else {
            self.push(now, Event::Enter(flow, 0, now));
            return;
        };
        if !self.vms[from].alive {
            return;
        }
        let latency = self.latency(from, to);
        if self.vms[from].held[chunk / 8] & (1 << (chunk % 8)) == 0 {
            self.push(now + latency, Event::Fail(flow, PullError::Absent));
        } else {
            let busy = self.vms[from].uploads;
            let chunk = self.chunk();
            match self.vms[from].node.give(busy, chunk) {
                Some(pause) => self.push(now + latency, Event::Fail(flow, PullError::Later(pause))),
                None => {
                    self.vms[from].uploads += 1;
                    self.flows[flow].sending = true;
                    self.push(now, Event::Enter(flow, 0, now));
                }
            }
        }
    }

    fn chunk(&self) -> Bytes {
        Bytes(SIZE.0 / self.digests.len() as u64)
    }

    /// Lets the next flow pass a link if it is free; flows that were given up leave the queue.
    fn serve(&mut self, now: Time, link: usize) {
        while self.links[link].is_free(now) {
            let Some((flow, hop, end)) = self.links[link].queue.pop_front() else { return };
            if !self.passes(flow) {
                continue;
            }
            let size = self.chunk();
            let free = self.links[link].pass(now, size);
            self.push(free, Event::Free(link));
            let last = free.max(end);
            if hop + 1 == self.flows[flow].path.len() {
                self.push(last, Event::Arrive(flow));
            } else {
                self.push(now, Event::Enter(flow, hop + 1, last));
            }
        }
    }

    fn passes(&self, flow: usize) -> bool {
        let Flow { from, to, open, .. } = self.flows[flow];
        let passes = |vm: usize| self.vms[vm].alive && !self.vms[vm].stalled;
        open && passes(to) && from.is_none_or(passes)
    }

    fn on_arrive(&mut self, now: Time, flow: usize) {
        let Flow { to, chunk, .. } = self.flows[flow];
        if !self.passes(flow) || !self.close(flow) {
            return;
        }
        let corrupt = self.rng.random_range(0..1_000) < self.plan.faults.corrupt;
        let bytes = if corrupt { data(usize::MAX) } else { data(chunk) };
        let outcome = self.vms[to].node.arrived(now, self.digests[chunk], &bytes);
        if matches!(outcome, ChunkOutcome::Accepted | ChunkOutcome::Complete) {
            self.vms[to].held[chunk / 8] |= 1 << (chunk % 8);
            self.wrong += u64::from(corrupt);
        }
        if outcome == ChunkOutcome::Complete {
            self.vms[to].done = Some(now);
        }
        self.act(now, to);
    }

    fn on_fail(&mut self, now: Time, flow: usize, error: PullError) {
        if !self.close(flow) {
            return;
        }
        let Flow { to, chunk, .. } = self.flows[flow];
        self.vms[to].node.failed(now, self.digests[chunk], error);
        self.act(now, to);
    }

    /// Ends a flow and returns whether it was open.
    fn close(&mut self, flow: usize) -> bool {
        let flow = &mut self.flows[flow];
        if !std::mem::take(&mut flow.open) {
            return false;
        }
        self.vms[flow.to].drawing -= 1;
        if flow.sending {
            let from = flow.from.expect("only VMs count uploads");
            self.vms[from].uploads -= 1;
        }
        true
    }

    fn figures(&self, scheme: &'static str, case: &'static str) -> Figures {
        let plan = &self.plan;
        let copies = |bytes: u64| bytes as f64 / SIZE.0 as f64;
        let machines = 1 + plan.regions() * 2;
        let link = |i: usize| copies(self.links[i].bytes);
        let last = self.vms.iter().filter_map(|vm| vm.done).max().unwrap_or(END);
        let open = self.open();
        let end = if open == 0 { last } else { END };
        let zones = |region| plan.zones_in(region) as f64;
        let downloads = (0..plan.vms).map(|vm| link(machines + vm * 2 + 1));
        Figures {
            scheme,
            case,
            vms: plan.vms,
            zones: plan.zones,
            seed: plan.seed,
            seconds: end.0 as f64 / 1e6,
            bounds: end.0 as f64 / plan.bound().0 as f64,
            origin: link(ORIGIN),
            region_in: most((0..plan.regions()).map(|r| link(2 + r * 2) / zones(r))),
            region_out: most((0..plan.regions()).map(|r| link(1 + r * 2))),
            upload: most((0..plan.vms).map(|vm| link(machines + vm * 2))),
            download: most(downloads.clone()),
            moved: downloads.sum::<f64>() / plan.vms as f64,
            unfinished: open,
            wrong: self.wrong,
            control: self.questions as f64 / plan.vms as f64 / (end.0 as f64 / 1e6) / 1e3,
        }
    }
}

fn most(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, f64::max)
}
