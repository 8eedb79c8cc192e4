//! The driven world: processes, messages, faults and virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use sequoiahold_core::{
    declare::{Declaration, Fleet, Object, PublishedSet, Role, Vm},
    endpoint::{self, Endpoint, EngineState, OfferedCall, PullSettings},
    entry::{self, Arrival, Entry, RequestKey},
    gate::{ProbeId, RunId},
    ids::{Digest, FenceToken, Generation, Incarnation, VersionId, VmId, ZoneId},
    refusal::{Failure, Reason},
    time::Time,
    units::{ByteRate, Bytes, Span},
    vm_state::VmState,
    weights::Manifest,
};

use super::{Asked, CallId, CallRecord, FakeEngine, Keys, Message, Outcome, Shape};

/// One-way delay within a zone.
const NEAR: Span = Span::millis(1);
/// One-way delay between zones.
const FAR: Span = Span::millis(4);
/// Time between two reads of the platform.
const READ: Span = Span::millis(500);
/// Time that an engine's state takes to its endpoint process.
const SHOW: Span = Span::millis(1);
/// Time between two heartbeats.
const BEAT: Span = Span::millis(300);

#[derive(Clone, Debug)]
pub(super) enum Event {
    Deliver { from: VmId, to: VmId, epoch: u64, message: Message },
    Copy { from: VmId, to: VmId, message: Message },
    Silent { entry: VmId, vm: VmId, epoch: u64, sent: Time },
    Look { vm: VmId, epoch: u64, look: ProbeId },
    Seen { vm: VmId, epoch: u64, look: ProbeId, state: Option<EngineState> },
    Head { vm: VmId, epoch: u64, ticket: RunId, limit: u32 },
    First { vm: VmId, ticket: RunId, request: RequestKey, incarnation: u64 },
    Done { vm: VmId, ticket: RunId, request: RequestKey, incarnation: u64 },
    Loaded { vm: VmId, epoch: u64, version: VersionId, manifest: Arc<Manifest>, fence: FenceToken },
    Taken { vm: VmId, epoch: u64, version: VersionId, taken: bool },
    Manifest { vm: VmId, epoch: u64, version: VersionId, manifest: Option<Manifest> },
    Drawn { vm: VmId, epoch: u64, digest: Digest, data: Option<Vec<u8>> },
    Read,
    Wake(VmId),
}

pub(super) struct EntryNode {
    pub(super) core: Entry,
    pub(super) calls: BTreeMap<RequestKey, (CallId, Option<VmId>)>,
    pub(super) heard: BTreeMap<VmId, Time>,
}

pub(super) struct EndpointNode {
    pub(super) core: Endpoint,
    pub(super) open: BTreeMap<RunId, OfferedCall>,
    pub(super) held: BTreeMap<Digest, Vec<u8>>,
}

/// The driven world.
pub struct World {
    /// The present time.
    pub now: Time,
    /// The engines and plain services by VM.
    pub engines: BTreeMap<VmId, FakeEngine>,
    /// The calls of callers.
    pub calls: Vec<CallRecord>,
    /// The list of VMs that the platform shows.
    pub list: BTreeMap<VmId, VmState>,
    /// Whether the platform answers.
    pub down: bool,
    /// The set that the platform shows.
    pub shown: Option<Arc<PublishedSet>>,
    /// The runs of keys and the faults of messages.
    pub keys: Keys,
    /// The refusals of gates that reached entries.
    pub refusals: u64,
    /// The requests that engines began: entry, client account, endpoint.
    pub began: Vec<(VmId, String, VmId)>,
    pub(super) shape: Shape,
    fleet: Fleet,
    declared: Vec<Declaration>,
    generation: Generation,
    pub(super) entries: BTreeMap<VmId, EntryNode>,
    pub(super) endpoints: BTreeMap<VmId, EndpointNode>,
    pub(super) epochs: BTreeMap<VmId, u64>,
    paused: BTreeMap<VmId, Time>,
    cuts: BTreeSet<(ZoneId, ZoneId)>,
    queue: BTreeMap<(Time, u64), Event>,
    count: u64,
}

impl World {
    /// Returns a world whose processes have started and know nothing.
    pub fn new(shape: Shape) -> Self {
        let declared = shape.declared();
        let fleet = Fleet::new(declared.iter().map(|one| one.object.clone()));
        let list = fleet.vms.keys().map(|vm| (vm.clone(), VmState::Live)).collect();
        let mut world = Self {
            now: Time::default(),
            engines: BTreeMap::new(),
            calls: vec![],
            list,
            down: false,
            shown: None,
            keys: Keys::default(),
            refusals: 0,
            began: vec![],
            shape,
            fleet,
            declared,
            generation: Generation::default(),
            entries: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            epochs: BTreeMap::new(),
            paused: BTreeMap::new(),
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            count: 0,
        };
        let vms: Vec<Vm> = world.fleet.vms.values().cloned().collect();
        for vm in vms {
            if let Role::Endpoint(pool) = &vm.role {
                let pool = &world.fleet.pools[pool];
                let engine = FakeEngine::new(pool.slots, pool.cold);
                world.engines.insert(vm.name.clone(), engine);
            }
            world.start(&vm.name);
        }
        world.push(Span::default(), Event::Read);
        world
    }

    /// Publishes the declarations after a change, under the next generation.
    pub fn publish(&mut self, change: impl FnOnce(&mut Vec<Declaration>)) -> Arc<PublishedSet> {
        change(&mut self.declared);
        self.generation = self.generation.next();
        let rendered = PublishedSet::render(&self.declared, self.generation);
        let published = Arc::new(rendered.expect("the world's set renders"));
        self.shown = Some(published.clone());
        published
    }

    /// Publishes that a zone is out, or back.
    pub fn set_out(&mut self, name: &ZoneId, out: bool) {
        self.publish(|declared| {
            for one in declared {
                if let Object::Zone(zone) = &mut one.object
                    && zone.name == *name
                {
                    zone.out = out;
                }
            }
        });
    }

    /// Publishes another version of the model.
    pub fn set_version(&mut self, version: &VersionId) {
        self.publish(|declared| {
            for one in declared {
                if let Object::Model(model) = &mut one.object {
                    model.version = version.clone();
                }
            }
        });
    }

    /// Starts the process of a VM anew, knowing nothing.
    pub fn start(&mut self, vm: &VmId) {
        self.kill(vm);
        let epoch = self.epochs[vm];
        let incarnation = Incarnation(self.now.0 + epoch);
        let declared = &self.fleet.vms[vm];
        if declared.role == Role::Entry {
            let (vm, zone) = (vm.clone(), declared.zone.clone());
            let policy = self.shape.policy;
            let vm_name = vm.clone();
            let own = entry::Identity { vm: vm_name, zone, incarnation, heartbeat: BEAT, policy };
            let seed =
                self.shape.seed ^ epoch ^ sequoiahold_core::rendezvous::weight(vm.as_str(), b"");
            let core = Entry::new(own, seed);
            let node = EntryNode { core, calls: BTreeMap::new(), heard: BTreeMap::new() };
            self.entries.insert(vm, node);
        } else {
            let probe_interval = Span::millis(100);
            let epoch = Time::default();
            let pull =
                PullSettings { rate: ByteRate(1_000_000), concurrency: 4, origin_region: None };
            let own =
                endpoint::Identity { vm: vm.clone(), incarnation, epoch, probe_interval, pull };
            let core = Endpoint::new(own, self.now);
            let (open, held) = Default::default();
            self.endpoints.insert(vm.clone(), EndpointNode { core, open, held });
        }
    }

    /// Kills the process of a VM; its calls in progress break off.
    pub fn kill(&mut self, vm: &VmId) {
        *self.epochs.entry(vm.clone()).or_default() += 1;
        self.paused.remove(vm);
        if let Some(node) = self.entries.remove(vm) {
            for (call, _) in node.calls.into_values() {
                self.end_call(call, Outcome::Failed(Failure::Unknown));
            }
        }
        self.endpoints.remove(vm);
    }

    /// Pauses the process of a VM.
    pub fn pause(&mut self, vm: &VmId, span: Span) {
        self.paused.insert(vm.clone(), self.now + span);
        self.push(span, Event::Wake(vm.clone()));
    }

    /// Cuts the messages between two zones, both ways.
    pub fn cut(&mut self, one: &ZoneId, other: &ZoneId) {
        self.cuts.insert((one.clone(), other.clone()));
        self.cuts.insert((other.clone(), one.clone()));
    }

    /// Lets messages pass between all zones again.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Tells a process to stop gracefully; returns the requests in progress.
    pub fn drain(&mut self, vm: &VmId) -> usize {
        let running = self.endpoints.get_mut(vm).map_or(0, |node| node.core.drain());
        self.perform(vm);
        running
    }

    /// Makes a call at an entry.
    pub fn ask(&mut self, at: &VmId, asked: Asked) -> CallId {
        let call = CallId(self.calls.len());
        let unnamed = || asked.key.as_ref().map_or(call.0.to_string(), ToString::to_string);
        let body = asked.body.map_or_else(unnamed, ToOwned::to_owned);
        let client = asked.client.to_owned();
        let arrival = Arrival {
            client: asked.client.parse().expect("a client account"),
            service: asked.service.parse().expect("a service"),
            key: asked.key.clone(),
            fingerprint: Digest::of(body.as_bytes()),
            timeout: Span::secs(30),
            urgency: entry::DEFAULT_URGENCY,
            size: Bytes(1_000),
        };
        let (at_time, key) = (self.now, asked.key);
        let record = CallRecord { key, client, at: at_time, first: None, end: None, runs: 0 };
        self.calls.push(record);
        let now = self.now;
        match self.entries.get_mut(at) {
            Some(node) => {
                let key = node.core.on_arrival(now, arrival);
                node.calls.insert(key, (call, None));
                self.perform(at);
            }
            None => {
                let refused = Outcome::Refused(Reason::NoEndpoint, None);
                self.end_call(call, refused);
            }
        }
        call
    }

    /// Returns the decisions of an endpoint process.
    pub fn endpoint(&self, vm: &VmId) -> Option<&Endpoint> {
        self.endpoints.get(vm).map(|node| &node.core)
    }

    /// Returns the decisions of an entry process.
    pub fn entry(&self, vm: &VmId) -> Option<&Entry> {
        self.entries.get(vm).map(|node| &node.core)
    }

    /// Returns the declared fleet.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Lets time pass.
    pub fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(at) = self.next_time().filter(|at| *at <= end) {
            self.now = at.max(self.now);
            self.tick();
            while let Some(first) = self.queue.first_entry() {
                if first.key().0 > self.now {
                    break;
                }
                let event = first.remove();
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn next_time(&self) -> Option<Time> {
        let queued = self.queue.keys().next().map(|(at, _)| *at);
        let awake = |vm: &&VmId| !self.paused.contains_key(*vm);
        let entries = self.entries.keys().filter(awake);
        let entries = entries.filter_map(|vm| self.entries[vm].core.next_time());
        let endpoints = self.endpoints.keys().filter(awake);
        let endpoints = endpoints.filter_map(|vm| self.endpoints[vm].core.next_time());
        queued.into_iter().chain(entries).chain(endpoints).min()
    }

    fn tick(&mut self) {
        let now = self.now;
        let due = |next: Option<Time>| next.is_some_and(|at| at <= now);
        let entries = self.entries.iter().filter(|(_, node)| due(node.core.next_time()));
        let endpoints = self.endpoints.iter().filter(|(_, node)| due(node.core.next_time()));
        let vms: Vec<VmId> = entries
            .map(|(vm, _)| vm)
            .chain(endpoints.map(|(vm, _)| vm))
            .filter(|vm| !self.paused.contains_key(*vm))
            .cloned()
            .collect();
        for vm in vms {
            if let Some(node) = self.entries.get_mut(&vm) {
                node.core.tick(now);
            }
            if let Some(node) = self.endpoints.get_mut(&vm) {
                node.core.tick(now);
            }
            self.perform(&vm);
        }
    }

    pub(super) fn push(&mut self, after: Span, event: Event) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), event);
    }

    pub(super) fn send(&mut self, from: &VmId, to: &VmId, message: Message) {
        let zones = (self.fleet.vms[from].zone.clone(), self.fleet.vms[to].zone.clone());
        if self.cuts.contains(&zones) || self.disturb(from, to, &message) {
            return;
        }
        let delay = if zones.0 == zones.1 { NEAR } else { FAR };
        let epoch = self.epochs[to];
        let (from, to) = (from.clone(), to.clone());
        self.push(delay, Event::Deliver { from, to, epoch, message });
    }

    fn handle(&mut self, event: Event) {
        if let Some(until) = self.held_back(&event) {
            return self.push(until - self.now, event);
        }
        match event {
            Event::Deliver { from, to, epoch, message } if self.epochs[&to] == epoch => {
                self.deliver(&from, &to, message);
            }
            Event::Copy { from, to, message } => self.deliver(&from, &to, message),
            Event::Silent { entry, vm, epoch, sent } if self.epochs[&entry] == epoch => {
                self.check_silence(&entry, &vm, sent);
            }
            Event::Look { vm, epoch, look } if self.epochs[&vm] == epoch => {
                let state = self.engines.get(&vm).map(FakeEngine::state);
                self.push(SHOW, Event::Seen { vm, epoch, look, state });
            }
            Event::Seen { vm, epoch, look, state } if self.epochs[&vm] == epoch => {
                self.on_endpoint(&vm, |core, now| core.on_engine_state(now, look, state));
            }
            Event::Head { vm, epoch, ticket, limit } if self.epochs[&vm] == epoch => {
                self.on_endpoint(&vm, |core, _| core.on_answer_head(&ticket, limit));
            }
            Event::First { vm, ticket, request, incarnation } => {
                self.first(&vm, &ticket, request, incarnation);
            }
            Event::Done { vm, ticket, request, incarnation } => {
                self.done(&vm, &ticket, request, incarnation);
            }
            Event::Taken { vm, epoch, version, taken } if self.epochs[&vm] == epoch => {
                self.on_endpoint(&vm, |core, now| core.on_load_finished(now, &version, taken));
            }
            Event::Loaded { vm, epoch, version, manifest, fence } => {
                self.load(&vm, epoch, &version, &manifest, fence);
            }
            Event::Manifest { vm, epoch, version, manifest } if self.epochs[&vm] == epoch => {
                let now = self.now;
                if let Some(node) = self.endpoints.get_mut(&vm) {
                    let held = &node.held;
                    node.core.on_manifest(now, &version, manifest, |d| held.contains_key(d));
                }
                self.perform(&vm);
            }
            Event::Drawn { vm, epoch, digest, data } if self.epochs[&vm] == epoch => {
                self.drawn(&vm, digest, data);
            }
            Event::Read => self.read(),
            Event::Wake(vm) => {
                self.paused.remove(&vm);
            }
            _ => {}
        }
    }

    /// Returns when the process that an event is for wakes, where it is paused.
    fn held_back(&self, event: &Event) -> Option<Time> {
        let vm = match event {
            Event::Copy { to, .. } | Event::Deliver { to, .. } => to,
            Event::Silent { entry, .. } => entry,
            Event::Seen { vm, .. }
            | Event::Head { vm, .. }
            | Event::Taken { vm, .. }
            | Event::Manifest { vm, .. }
            | Event::Drawn { vm, .. }
            | Event::First { vm, .. }
            | Event::Done { vm, .. } => vm,
            Event::Look { .. } | Event::Loaded { .. } | Event::Read | Event::Wake(_) => {
                return None;
            }
        };
        self.paused.get(vm).copied().filter(|until| *until > self.now)
    }

    fn read(&mut self) {
        self.push(READ, Event::Read);
        if self.down {
            return;
        }
        let now = self.now;
        let list = self.list.clone();
        let shown = self.shown.clone();
        let awake = |vm: &&VmId| !self.paused.contains_key(*vm);
        let vms: Vec<VmId> = self.fleet.vms.keys().filter(awake).cloned().collect();
        for vm in vms {
            if let Some(node) = self.entries.get_mut(&vm) {
                shown.iter().for_each(|set| drop(node.core.offer_config(now, set.clone())));
                node.core.update_vms(&list);
            }
            if let Some(node) = self.endpoints.get_mut(&vm) {
                shown.iter().for_each(|set| drop(node.core.offer_config(now, set.clone())));
                node.core.update_vms(now, &list);
            }
            self.perform(&vm);
        }
    }

    pub(super) fn on_endpoint(&mut self, vm: &VmId, act: impl FnOnce(&mut Endpoint, Time)) {
        let now = self.now;
        if let Some(node) = self.endpoints.get_mut(vm) {
            act(&mut node.core, now);
        }
        self.perform(vm);
    }

    pub(super) fn end_call(&mut self, call: CallId, outcome: Outcome) {
        let now = self.now;
        self.calls[call.0].end.get_or_insert((now, outcome));
    }
}
