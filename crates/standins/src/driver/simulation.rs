//! The simulated processes, network and platform, and their event queue in virtual time.

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

use super::{
    CallId, CallRecord, CallRequest, FakeEngine, Faults, Message, Outcome, SimulationConfig,
};

/// One-way network delay within a zone.
const INTRA_ZONE_DELAY: Span = Span::millis(1);
/// One-way network delay between zones.
const INTER_ZONE_DELAY: Span = Span::millis(4);
/// Time between two polls of the platform.
const POLL_INTERVAL: Span = Span::millis(500);
/// Time until the state of an engine reaches its endpoint process.
const ENGINE_STATE_DELAY: Span = Span::millis(1);
/// Time between two heartbeats of an entry.
const HEARTBEAT_INTERVAL: Span = Span::millis(300);

#[derive(Clone, Debug)]
pub(super) enum Event {
    Deliver { from: VmId, to: VmId, epoch: u64, message: Message },
    Duplicate { from: VmId, to: VmId, message: Message },
    HeartbeatTimeout { entry: VmId, vm: VmId, epoch: u64, sent: Time },
    ProbeEngine { vm: VmId, epoch: u64, probe: ProbeId },
    EngineProbed { vm: VmId, epoch: u64, probe: ProbeId, state: Option<EngineState> },
    AnswerHead { vm: VmId, epoch: u64, run_id: RunId, limit: u32 },
    FirstToken { vm: VmId, run_id: RunId, request: RequestKey, incarnation: u64 },
    RunEnd { vm: VmId, run_id: RunId, request: RequestKey, incarnation: u64 },
    Load { vm: VmId, epoch: u64, version: VersionId, manifest: Arc<Manifest>, fence: FenceToken },
    LoadResult { vm: VmId, epoch: u64, version: VersionId, accepted: bool },
    ManifestRead { vm: VmId, epoch: u64, version: VersionId, manifest: Option<Manifest> },
    ChunkFetched { vm: VmId, epoch: u64, digest: Digest, data: Option<Vec<u8>> },
    PollPlatform,
    Resume(VmId),
}

pub(super) struct EntryNode {
    pub(super) core: Entry,
    /// Calls in progress, with the endpoint that each was last sent to.
    pub(super) calls: BTreeMap<RequestKey, (CallId, Option<VmId>)>,
    /// Time of the last heartbeat reply by endpoint VM.
    pub(super) last_heard: BTreeMap<VmId, Time>,
}

pub(super) struct EndpointNode {
    pub(super) core: Endpoint,
    pub(super) open_calls: BTreeMap<RunId, OfferedCall>,
    pub(super) chunks: BTreeMap<Digest, Vec<u8>>,
}

/// A simulation of the processes of a fleet in virtual time.
pub struct Simulation {
    /// Current virtual time.
    pub now: Time,
    /// Engines and plain services by VM.
    pub engines: BTreeMap<VmId, FakeEngine>,
    /// All calls so far, indexed by [`CallId`].
    pub calls: Vec<CallRecord>,
    /// States of the VMs as the platform reports them.
    pub vm_states: BTreeMap<VmId, VmState>,
    /// Whether the platform is unreachable.
    pub platform_down: bool,
    /// The declaration set that the platform serves.
    pub published: Option<Arc<PublishedSet>>,
    /// Injected faults, and the runs of each idempotency key.
    pub faults: Faults,
    /// Number of refusals by endpoint gates that reached entries.
    pub gate_refusals: u64,
    /// Accepted requests in order: entry VM, client account, endpoint VM.
    pub started_runs: Vec<(VmId, String, VmId)>,
    pub(super) config: SimulationConfig,
    fleet: Fleet,
    declarations: Vec<Declaration>,
    generation: Generation,
    pub(super) entries: BTreeMap<VmId, EntryNode>,
    pub(super) endpoints: BTreeMap<VmId, EndpointNode>,
    /// Number of starts and kills of the process by VM; events of an earlier process are dropped.
    pub(super) epochs: BTreeMap<VmId, u64>,
    paused: BTreeMap<VmId, Time>,
    partitions: BTreeSet<(ZoneId, ZoneId)>,
    /// Pending events by due time, then in the order in which they were scheduled.
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
}

impl Simulation {
    /// Returns a simulation whose processes have started without any configuration.
    pub fn new(config: SimulationConfig) -> Self {
        let declarations = config.declarations();
        let fleet = Fleet::new(declarations.iter().map(|declaration| declaration.object.clone()));
        let vm_states = fleet.vms.keys().map(|vm| (vm.clone(), VmState::Live)).collect();
        let mut simulation = Self {
            now: Time::default(),
            engines: BTreeMap::new(),
            calls: vec![],
            vm_states,
            platform_down: false,
            published: None,
            faults: Faults::default(),
            gate_refusals: 0,
            started_runs: vec![],
            config,
            fleet,
            declarations,
            generation: Generation::default(),
            entries: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            epochs: BTreeMap::new(),
            paused: BTreeMap::new(),
            partitions: BTreeSet::new(),
            events: BTreeMap::new(),
            sequence: 0,
        };
        let vms: Vec<Vm> = simulation.fleet.vms.values().cloned().collect();
        for vm in vms {
            if let Role::Endpoint(pool) = &vm.role {
                let pool = &simulation.fleet.pools[pool];
                let engine = FakeEngine::new(pool.slots, pool.cold);
                simulation.engines.insert(vm.name.clone(), engine);
            }
            simulation.start(&vm.name);
        }
        simulation.schedule(Span::default(), Event::PollPlatform);
        simulation
    }

    /// Applies a change to the declarations and publishes them under the next generation.
    pub fn publish(&mut self, change: impl FnOnce(&mut Vec<Declaration>)) -> Arc<PublishedSet> {
        change(&mut self.declarations);
        self.generation = self.generation.next();
        let rendered = PublishedSet::render(&self.declarations, self.generation);
        let published = Arc::new(rendered.expect("simulated declarations are valid"));
        self.published = Some(published.clone());
        published
    }

    /// Publishes whether a zone is taken out of service.
    pub fn set_zone_out(&mut self, name: &ZoneId, out: bool) {
        self.publish(|declarations| {
            for declaration in declarations {
                if let Object::Zone(zone) = &mut declaration.object
                    && zone.name == *name
                {
                    zone.out = out;
                }
            }
        });
    }

    /// Publishes the declarations with a different model version.
    pub fn set_model_version(&mut self, version: &VersionId) {
        self.publish(|declarations| {
            for declaration in declarations {
                if let Object::Model(model) = &mut declaration.object {
                    model.version = version.clone();
                }
            }
        });
    }

    /// Starts the process of a VM without any state; a running process is killed first.
    pub fn start(&mut self, vm: &VmId) {
        self.kill(vm);
        let epoch = self.epochs[vm];
        let incarnation = Incarnation(self.now.0 + epoch);
        let declared_vm = &self.fleet.vms[vm];
        if declared_vm.role == Role::Entry {
            let (vm, zone) = (vm.clone(), declared_vm.zone.clone());
            let policy = self.config.policy;
            let vm_name = vm.clone();
            let identity = entry::Identity {
                vm: vm_name,
                zone,
                incarnation,
                heartbeat: HEARTBEAT_INTERVAL,
                policy,
            };
            let seed =
                self.config.seed ^ epoch ^ sequoiahold_core::rendezvous::weight(vm.as_str(), b"");
            let core = Entry::new(identity, seed);
            let node = EntryNode { core, calls: BTreeMap::new(), last_heard: BTreeMap::new() };
            self.entries.insert(vm, node);
        } else {
            let probe_interval = Span::millis(100);
            let epoch = Time::default();
            let pull =
                PullSettings { rate: ByteRate(1_000_000), concurrency: 4, origin_region: None };
            let identity =
                endpoint::Identity { vm: vm.clone(), incarnation, epoch, probe_interval, pull };
            let core = Endpoint::new(identity, self.now);
            let (open_calls, chunks) = Default::default();
            self.endpoints.insert(vm.clone(), EndpointNode { core, open_calls, chunks });
        }
    }

    /// Kills the process of a VM; the calls in progress at an entry fail with an unknown outcome.
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

    /// Pauses the process of a VM for `span`; events for it are delivered afterwards.
    pub fn pause(&mut self, vm: &VmId, span: Span) {
        self.paused.insert(vm.clone(), self.now + span);
        self.schedule(span, Event::Resume(vm.clone()));
    }

    /// Drops all messages between two zones, in both directions.
    pub fn partition(&mut self, one: &ZoneId, other: &ZoneId) {
        self.partitions.insert((one.clone(), other.clone()));
        self.partitions.insert((other.clone(), one.clone()));
    }

    /// Ends all partitions between zones.
    pub fn heal_partitions(&mut self) {
        self.partitions.clear();
    }

    /// Starts the graceful shutdown of an endpoint; returns its number of requests in progress.
    pub fn drain(&mut self, vm: &VmId) -> usize {
        let running = self.endpoints.get_mut(vm).map_or(0, |node| node.core.drain());
        self.perform_outputs(vm);
        running
    }

    /// Makes a call at an entry; it is refused at once if the entry is down.
    pub fn call(&mut self, vm: &VmId, request: CallRequest) -> CallId {
        let call = CallId(self.calls.len());
        let default_body = || request.key.as_ref().map_or(call.0.to_string(), ToString::to_string);
        let body = request.body.map_or_else(default_body, ToOwned::to_owned);
        let client = request.client.to_owned();
        let arrival = Arrival {
            client: request.client.parse().expect("valid client account name"),
            service: request.service.parse().expect("valid service name"),
            key: request.key.clone(),
            fingerprint: Digest::of(body.as_bytes()),
            timeout: Span::secs(30),
            urgency: entry::DEFAULT_URGENCY,
            size: Bytes(1_000),
        };
        let (called_at, key) = (self.now, request.key);
        let record = CallRecord { key, client, called_at, first_token: None, end: None, runs: 0 };
        self.calls.push(record);
        let now = self.now;
        match self.entries.get_mut(vm) {
            Some(node) => {
                let key = node.core.on_arrival(now, arrival);
                node.calls.insert(key, (call, None));
                self.perform_outputs(vm);
            }
            None => {
                let refused = Outcome::Refused(Reason::NoEndpoint, None);
                self.end_call(call, refused);
            }
        }
        call
    }

    /// Returns the core of an endpoint process, `None` if it is down.
    pub fn endpoint(&self, vm: &VmId) -> Option<&Endpoint> {
        self.endpoints.get(vm).map(|node| &node.core)
    }

    /// Returns the core of an entry process, `None` if it is down.
    pub fn entry(&self, vm: &VmId) -> Option<&Entry> {
        self.entries.get(vm).map(|node| &node.core)
    }

    /// Returns the declared fleet.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Processes all events within the next `span` of virtual time.
    pub fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(at) = self.next_time().filter(|at| *at <= end) {
            self.now = at.max(self.now);
            self.tick();
            while let Some(first) = self.events.first_entry() {
                if first.key().0 > self.now {
                    break;
                }
                let event = first.remove();
                self.on_event(event);
            }
        }
        self.now = end;
    }

    fn next_time(&self) -> Option<Time> {
        let queued = self.events.keys().next().map(|(at, _)| *at);
        let unpaused = |vm: &&VmId| !self.paused.contains_key(*vm);
        let entries = self.entries.keys().filter(unpaused);
        let entries = entries.filter_map(|vm| self.entries[vm].core.next_time());
        let endpoints = self.endpoints.keys().filter(unpaused);
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
            self.perform_outputs(&vm);
        }
    }

    pub(super) fn schedule(&mut self, after: Span, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    pub(super) fn send(&mut self, from: &VmId, to: &VmId, message: Message) {
        let zones = (self.fleet.vms[from].zone.clone(), self.fleet.vms[to].zone.clone());
        if self.partitions.contains(&zones) || self.inject_fault(from, to, &message) {
            return;
        }
        let delay = if zones.0 == zones.1 { INTRA_ZONE_DELAY } else { INTER_ZONE_DELAY };
        let epoch = self.epochs[to];
        let (from, to) = (from.clone(), to.clone());
        self.schedule(delay, Event::Deliver { from, to, epoch, message });
    }

    fn on_event(&mut self, event: Event) {
        if let Some(until) = self.paused_until(&event) {
            return self.schedule(until - self.now, event);
        }
        match event {
            Event::Deliver { from, to, epoch, message } if self.epochs[&to] == epoch => {
                self.deliver(&from, &to, message);
            }
            Event::Duplicate { from, to, message } => self.deliver(&from, &to, message),
            Event::HeartbeatTimeout { entry, vm, epoch, sent } if self.epochs[&entry] == epoch => {
                self.check_heartbeat(&entry, &vm, sent);
            }
            Event::ProbeEngine { vm, epoch, probe } if self.epochs[&vm] == epoch => {
                let state = self.engines.get(&vm).map(FakeEngine::state);
                self.schedule(ENGINE_STATE_DELAY, Event::EngineProbed { vm, epoch, probe, state });
            }
            Event::EngineProbed { vm, epoch, probe, state } if self.epochs[&vm] == epoch => {
                self.with_endpoint(&vm, |core, now| core.on_engine_state(now, probe, state));
            }
            Event::AnswerHead { vm, epoch, run_id, limit } if self.epochs[&vm] == epoch => {
                self.with_endpoint(&vm, |core, _| core.on_answer_head(&run_id, limit));
            }
            Event::FirstToken { vm, run_id, request, incarnation } => {
                self.first_token(&vm, &run_id, request, incarnation);
            }
            Event::RunEnd { vm, run_id, request, incarnation } => {
                self.on_run_end(&vm, &run_id, request, incarnation);
            }
            Event::LoadResult { vm, epoch, version, accepted } if self.epochs[&vm] == epoch => {
                self.with_endpoint(&vm, |core, now| core.on_load_finished(now, &version, accepted));
            }
            Event::Load { vm, epoch, version, manifest, fence } => {
                self.apply_load(&vm, epoch, &version, &manifest, fence);
            }
            Event::ManifestRead { vm, epoch, version, manifest } if self.epochs[&vm] == epoch => {
                let now = self.now;
                if let Some(node) = self.endpoints.get_mut(&vm) {
                    let chunks = &node.chunks;
                    node.core.on_manifest(now, &version, manifest, |d| chunks.contains_key(d));
                }
                self.perform_outputs(&vm);
            }
            Event::ChunkFetched { vm, epoch, digest, data } if self.epochs[&vm] == epoch => {
                self.on_chunk_fetched(&vm, digest, data);
            }
            Event::PollPlatform => self.poll_platform(),
            Event::Resume(vm) => {
                self.paused.remove(&vm);
            }
            _ => {}
        }
    }

    /// Returns when the target process of an event resumes, `None` if it is not paused.
    fn paused_until(&self, event: &Event) -> Option<Time> {
        let vm = match event {
            Event::Duplicate { to, .. } | Event::Deliver { to, .. } => to,
            Event::HeartbeatTimeout { entry, .. } => entry,
            Event::EngineProbed { vm, .. }
            | Event::AnswerHead { vm, .. }
            | Event::LoadResult { vm, .. }
            | Event::ManifestRead { vm, .. }
            | Event::ChunkFetched { vm, .. }
            | Event::FirstToken { vm, .. }
            | Event::RunEnd { vm, .. } => vm,
            Event::ProbeEngine { .. }
            | Event::Load { .. }
            | Event::PollPlatform
            | Event::Resume(_) => {
                return None;
            }
        };
        self.paused.get(vm).copied().filter(|until| *until > self.now)
    }

    fn poll_platform(&mut self) {
        self.schedule(POLL_INTERVAL, Event::PollPlatform);
        if self.platform_down {
            return;
        }
        let now = self.now;
        let vm_states = self.vm_states.clone();
        let published = self.published.clone();
        let unpaused = |vm: &&VmId| !self.paused.contains_key(*vm);
        let vms: Vec<VmId> = self.fleet.vms.keys().filter(unpaused).cloned().collect();
        for vm in vms {
            if let Some(node) = self.entries.get_mut(&vm) {
                published.iter().for_each(|set| drop(node.core.offer_config(now, set.clone())));
                node.core.update_vms(&vm_states);
            }
            if let Some(node) = self.endpoints.get_mut(&vm) {
                published.iter().for_each(|set| drop(node.core.offer_config(now, set.clone())));
                node.core.update_vms(now, &vm_states);
            }
            self.perform_outputs(&vm);
        }
    }

    pub(super) fn with_endpoint(&mut self, vm: &VmId, act: impl FnOnce(&mut Endpoint, Time)) {
        let now = self.now;
        if let Some(node) = self.endpoints.get_mut(vm) {
            act(&mut node.core, now);
        }
        self.perform_outputs(vm);
    }

    pub(super) fn end_call(&mut self, call: CallId, outcome: Outcome) {
        let now = self.now;
        self.calls[call.0].end.get_or_insert((now, outcome));
    }
}
