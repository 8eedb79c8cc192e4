//! Discrete-event simulation of nodes, links and faults.

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
    plan::{
        Figures, INTER_REGION_LATENCY, INTRA_REGION_LATENCY, ORIGIN_RATE, Plan, REGION_RATE,
        RUN_TIMEOUT, VM_RATE, WEIGHTS_SIZE, chunk_data, numbered_name,
    },
};

/// Index of the origin's link; those of regions and VMs follow, each outbound before inbound.
const ORIGIN_LINK: usize = 0;
/// Time within which all VMs learn of a new version.
const ANNOUNCE_WINDOW: Span = Span::secs(1);
/// Timeout of a query.
const QUERY_TIMEOUT: Span = Span::secs(2);
/// Time after which a connection to a killed VM is closed.
const IDLE_TIMEOUT: Span = Span::secs(20);
/// Bytes of a query, its reply and their headers, without the bitmap.
const QUERY_OVERHEAD: u64 = 200;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Start(usize),
    Wake(usize),
    HeldChunks(usize, usize),
    QueryTimeout(usize, usize),
    PullRequest(usize),
    EnterLink(usize, usize, Time),
    LinkFree(usize),
    ChunkArrived(usize),
    PullFailed(usize, PullError),
    Kill(usize),
    Stall(usize),
}

struct Flow {
    from: Option<usize>,
    to: usize,
    chunk: usize,
    /// Indexes of the links from source to target.
    path: Vec<usize>,
    /// Whether the pull is still waiting for the chunk.
    open: bool,
    sending: bool,
}

struct Vm<N> {
    node: N,
    /// Bitmap of the held chunks.
    held: Vec<u8>,
    started: bool,
    alive: bool,
    stalled: bool,
    active_pulls: usize,
    uploads: u32,
    next_wakeup: Time,
    /// Time at which the VM held all chunks.
    done_at: Option<Time>,
}

/// A run in progress.
pub struct Sim<N> {
    plan: Plan,
    max_pulls: usize,
    vms: Vec<Vm<N>>,
    names: Vec<VmId>,
    vm_indexes: BTreeMap<VmId, usize>,
    chunks: BTreeMap<Digest, usize>,
    digests: Vec<Digest>,
    links: Vec<Link>,
    flows: Vec<Flow>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    rng: SmallRng,
    query_bytes: u64,
    corrupt_kept: u64,
}

impl<N: Node> Sim<N> {
    /// Returns a run over nodes that initially hold the chunks in `held`.
    pub fn new(plan: Plan, max_pulls: usize, nodes: Vec<N>, held: &[bool]) -> Self {
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
            active_pulls: 0,
            uploads: 0,
            next_wakeup: RUN_TIMEOUT,
            done_at: None,
        };
        let mut links = vec![Link::new(ORIGIN_RATE)];
        links.extend((0..plan.regions() * 2).map(|_| Link::new(REGION_RATE)));
        links.extend((0..plan.vms * 2).map(|_| Link::new(VM_RATE)));
        let digests = manifest.chunks;
        let mut sim = Self {
            plan,
            max_pulls,
            vms: nodes.into_iter().map(vm).collect(),
            names: (0..plan.vms).map(|i| numbered_name("vm", i)).collect(),
            vm_indexes: (0..plan.vms).map(|i| (numbered_name("vm", i), i)).collect(),
            chunks: digests.iter().enumerate().map(|(i, digest)| (*digest, i)).collect(),
            digests,
            links,
            flows: vec![],
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(plan.seed),
            query_bytes: 0,
            corrupt_kept: 0,
        };
        sim.schedule_start();
        sim
    }

    /// Runs until all VMs that were not killed or stalled hold all chunks, or until the timeout.
    pub fn run(mut self, scheme: &'static str, case: &'static str) -> Figures {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= RUN_TIMEOUT || self.unfinished() == 0 {
                break;
            }
            self.on_event(now, event);
        }
        self.figures(scheme, case)
    }

    fn schedule_start(&mut self) {
        for vm in 0..self.plan.vms {
            let start = Time(self.rng.random_range(0..ANNOUNCE_WINDOW.0));
            self.schedule(start, Event::Start(vm));
        }
        let window = self.plan.lower_bound().0;
        let killed = self.plan.vms as u64 * self.plan.faults.killed / 1_000;
        let mut order: Vec<usize> = (0..self.plan.vms).collect();
        order.shuffle(&mut self.rng);
        for vm in order.iter().take(killed as usize) {
            let at = Time(self.rng.random_range(0..window));
            self.schedule(at, Event::Kill(*vm));
        }
        if self.plan.faults.stalled {
            let at = Time(window / 10);
            self.schedule(at, Event::Stall(order[killed as usize]));
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn unfinished(&self) -> usize {
        self.vms.iter().filter(|vm| vm.alive && !vm.stalled && vm.done_at.is_none()).count()
    }

    fn on_event(&mut self, now: Time, event: Event) {
        match event {
            Event::Start(vm) => {
                self.vms[vm].started = true;
                self.vms[vm].node.start(now);
                self.run_node(now, vm);
            }
            Event::Wake(vm) => {
                if self.vms[vm].next_wakeup <= now {
                    self.vms[vm].next_wakeup = RUN_TIMEOUT;
                    self.run_node(now, vm);
                }
            }
            Event::HeldChunks(vm, peer) => self.on_held_chunks(now, vm, peer),
            Event::QueryTimeout(vm, peer) => {
                self.vms[vm].node.on_query_unanswered(&self.names[peer]);
                self.run_node(now, vm);
            }
            Event::PullRequest(flow) => self.on_pull_request(now, flow),
            Event::EnterLink(flow, hop, end) => {
                let link = self.flows[flow].path[hop];
                self.links[link].queue.push_back((flow, hop, end));
                self.serve_link(now, link);
            }
            Event::LinkFree(link) => self.serve_link(now, link),
            Event::ChunkArrived(flow) => self.on_chunk_arrived(now, flow),
            Event::PullFailed(flow, error) => self.on_pull_failed(now, flow, error),
            Event::Kill(vm) => self.vms[vm].alive = false,
            Event::Stall(vm) => self.vms[vm].stalled = true,
        }
    }

    fn latency(&self, one: usize, other: usize) -> Span {
        let region = |vm| self.plan.region_of(self.plan.zone_of(vm));
        if region(one) == region(other) { INTRA_REGION_LATENCY } else { INTER_REGION_LATENCY }
    }

    /// Sends the due queries of a node and starts its next fetches.
    fn run_node(&mut self, now: Time, vm: usize) {
        if !self.vms[vm].alive || self.vms[vm].done_at.is_some() {
            return;
        }
        for peer in self.vms[vm].node.peers_to_query(now) {
            let peer = self.vm_indexes[&peer];
            let latency = self.latency(vm, peer);
            self.query_bytes += QUERY_OVERHEAD + self.vms[peer].held.len() as u64;
            if self.vms[peer].alive {
                self.schedule(now + latency + latency, Event::HeldChunks(vm, peer));
            } else {
                self.schedule(now + QUERY_TIMEOUT, Event::QueryTimeout(vm, peer));
            }
        }
        while self.vms[vm].active_pulls < self.max_pulls {
            let Some(pull) = self.vms[vm].node.next_pull(now) else { break };
            self.start_pull(now, vm, pull);
        }
        if let Some(wake) =
            self.vms[vm].node.next_wakeup().filter(|wake| *wake < self.vms[vm].next_wakeup)
        {
            self.vms[vm].next_wakeup = wake;
            self.schedule(wake, Event::Wake(vm));
        }
    }

    fn start_pull(&mut self, now: Time, vm: usize, pull: Pull) {
        let from = match &pull.source {
            ChunkSource::Origin => None,
            ChunkSource::Peer(peer) => Some(self.vm_indexes[peer]),
        };
        let path = self.link_path(from, vm);
        let chunk = self.chunks[&pull.digest];
        self.flows.push(Flow { from, to: vm, chunk, path, open: true, sending: false });
        let flow = self.flows.len() - 1;
        self.vms[vm].active_pulls += 1;
        let latency = from.map_or(INTER_REGION_LATENCY, |from| self.latency(from, vm));
        self.schedule(now + latency, Event::PullRequest(flow));
        let dead = from.is_some_and(|from| !self.vms[from].alive);
        let timeout = if dead { pull.timeout.min(IDLE_TIMEOUT) } else { pull.timeout };
        self.schedule(now + timeout, Event::PullFailed(flow, PullError::Silent));
    }

    fn link_path(&self, from: Option<usize>, to: usize) -> Vec<usize> {
        let region = |vm| self.plan.region_of(self.plan.zone_of(vm));
        let first_vm_link = 1 + self.plan.regions() * 2;
        let source = from.map_or(0, region);
        let mut path = vec![from.map_or(ORIGIN_LINK, |from| first_vm_link + from * 2)];
        if source != region(to) {
            path.extend([1 + source * 2, 2 + region(to) * 2]);
        }
        path.push(first_vm_link + to * 2 + 1);
        path
    }

    fn on_held_chunks(&mut self, now: Time, vm: usize, peer: usize) {
        let bits = if self.vms[peer].started { self.vms[peer].held.clone() } else { vec![] };
        self.vms[vm].node.on_held_chunks(now, &self.names[peer], &bits);
        self.run_node(now, vm);
    }

    fn on_pull_request(&mut self, now: Time, flow: usize) {
        let Flow { from, to, chunk, .. } = self.flows[flow];
        let Some(from) = from else {
            self.schedule(now, Event::EnterLink(flow, 0, now));
            return;
        };
        if !self.vms[from].alive {
            return;
        }
        let latency = self.latency(from, to);
        if self.vms[from].held[chunk / 8] & (1 << (chunk % 8)) == 0 {
            self.schedule(now + latency, Event::PullFailed(flow, PullError::Absent));
        } else {
            let uploads = self.vms[from].uploads;
            let chunk = self.chunk_size();
            match self.vms[from].node.upload_delay(uploads, chunk) {
                Some(pause) => {
                    self.schedule(now + latency, Event::PullFailed(flow, PullError::Later(pause)))
                }
                None => {
                    self.vms[from].uploads += 1;
                    self.flows[flow].sending = true;
                    self.schedule(now, Event::EnterLink(flow, 0, now));
                }
            }
        }
    }

    fn chunk_size(&self) -> Bytes {
        Bytes(WEIGHTS_SIZE.0 / self.digests.len() as u64)
    }

    /// Transmits the next queued flow if the link is free; drops flows that were abandoned.
    fn serve_link(&mut self, now: Time, link: usize) {
        while self.links[link].is_free(now) {
            let Some((flow, hop, end)) = self.links[link].queue.pop_front() else { return };
            if !self.can_pass(flow) {
                continue;
            }
            let size = self.chunk_size();
            let free = self.links[link].transmit(now, size);
            self.schedule(free, Event::LinkFree(link));
            let last = free.max(end);
            if hop + 1 == self.flows[flow].path.len() {
                self.schedule(last, Event::ChunkArrived(flow));
            } else {
                self.schedule(now, Event::EnterLink(flow, hop + 1, last));
            }
        }
    }

    fn can_pass(&self, flow: usize) -> bool {
        let Flow { from, to, open, .. } = self.flows[flow];
        let passes = |vm: usize| self.vms[vm].alive && !self.vms[vm].stalled;
        open && passes(to) && from.is_none_or(passes)
    }

    fn on_chunk_arrived(&mut self, now: Time, flow: usize) {
        let Flow { to, chunk, .. } = self.flows[flow];
        if !self.can_pass(flow) || !self.close_flow(flow) {
            return;
        }
        let corrupt = self.rng.random_range(0..1_000) < self.plan.faults.corrupt;
        let bytes = if corrupt { chunk_data(usize::MAX) } else { chunk_data(chunk) };
        let outcome = self.vms[to].node.on_chunk(now, self.digests[chunk], &bytes);
        if matches!(outcome, ChunkOutcome::Accepted | ChunkOutcome::Complete) {
            self.vms[to].held[chunk / 8] |= 1 << (chunk % 8);
            self.corrupt_kept += u64::from(corrupt);
        }
        if outcome == ChunkOutcome::Complete {
            self.vms[to].done_at = Some(now);
        }
        self.run_node(now, to);
    }

    fn on_pull_failed(&mut self, now: Time, flow: usize, error: PullError) {
        if !self.close_flow(flow) {
            return;
        }
        let Flow { to, chunk, .. } = self.flows[flow];
        self.vms[to].node.on_pull_failed(now, self.digests[chunk], error);
        self.run_node(now, to);
    }

    /// Ends a flow and returns whether it was open.
    fn close_flow(&mut self, flow: usize) -> bool {
        let flow = &mut self.flows[flow];
        if !std::mem::take(&mut flow.open) {
            return false;
        }
        self.vms[flow.to].active_pulls -= 1;
        if flow.sending {
            let from = flow.from.expect("only uploads of VMs are counted");
            self.vms[from].uploads -= 1;
        }
        true
    }

    fn figures(&self, scheme: &'static str, case: &'static str) -> Figures {
        let plan = &self.plan;
        let copies = |bytes: u64| bytes as f64 / WEIGHTS_SIZE.0 as f64;
        let first_vm_link = 1 + plan.regions() * 2;
        let link_copies = |i: usize| copies(self.links[i].bytes);
        let last = self.vms.iter().filter_map(|vm| vm.done_at).max().unwrap_or(RUN_TIMEOUT);
        let unfinished = self.unfinished();
        let end = if unfinished == 0 { last } else { RUN_TIMEOUT };
        let zones = |region| plan.zones_in(region) as f64;
        let downloads = (0..plan.vms).map(|vm| link_copies(first_vm_link + vm * 2 + 1));
        Figures {
            scheme,
            case,
            vms: plan.vms,
            zones: plan.zones,
            seed: plan.seed,
            seconds: end.0 as f64 / 1e6,
            bounds: end.0 as f64 / plan.lower_bound().0 as f64,
            origin: link_copies(ORIGIN_LINK),
            region_in: max_value((0..plan.regions()).map(|r| link_copies(2 + r * 2) / zones(r))),
            region_out: max_value((0..plan.regions()).map(|r| link_copies(1 + r * 2))),
            upload: max_value((0..plan.vms).map(|vm| link_copies(first_vm_link + vm * 2))),
            download: max_value(downloads.clone()),
            moved: downloads.sum::<f64>() / plan.vms as f64,
            unfinished,
            wrong: self.corrupt_kept,
            control: self.query_bytes as f64 / plan.vms as f64 / (end.0 as f64 / 1e6) / 1e3,
        }
    }
}

fn max_value(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, f64::max)
}
