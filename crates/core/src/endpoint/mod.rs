//! State machine of an endpoint process: events in, actions for the process out.

mod calls;
mod fencing;
mod guard;
mod in_flight;
mod lifecycle;
mod presence;
mod target_version;
mod weight_loading;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

pub use self::{
    calls::{Admission, Decision, OfferedCall, key_members},
    lifecycle::{LifecycleEvent, LifecycleState},
    target_version::PullSettings,
};
use self::{
    fencing::Fencing, in_flight::InFlight, lifecycle::chart, presence::Presence,
    target_version::TargetVersion,
};
use crate::{
    adopt::{Adopter, Adoption, ConfigInForce},
    chart::Machine,
    declare::{Fleet, PublishedSet},
    gate::{AdmissionGate, EngineLimits, EngineSnapshot, ProbeId, RequestEnd, RunId},
    ids::{Digest, FenceToken, Incarnation, ServiceId, VersionId, VmId},
    lease::Leases,
    once::{CallRegistry, DuplicateFilter},
    proto::{Heartbeat, KeysQuery, Load},
    refusal::{DEFAULT_RETRY_DELAY, Reason, Refusal},
    time::{Time, TimerId, Timers},
    units::Span,
    vm_state::VmState,
    weights::Manifest,
};

/// The state that an engine or plain service reports when it is probed.
#[derive(Clone, Debug, Default, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct EngineState {
    /// The incarnation of the engine, which changes when the engine restarts.
    pub incarnation: u64,
    /// The version that the engine has loaded completely.
    pub version: Option<VersionId>,
    /// The digest of the manifest of that version.
    pub manifest: Option<Digest>,
    /// The number of concurrent requests that the engine accepts now.
    pub limit: u32,
    /// The number of requests that the engine runs now.
    pub running: u32,
    /// The highest fencing token that the engine has received.
    pub fence: FenceToken,
}

/// A source of manifests and chunks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BlobSource {
    /// The origin server that stores the weights.
    Origin,
    /// A peer VM and its address.
    Peer(VmId, SocketAddr),
}

/// An action that the process must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Probe the engine's state.
    ProbeEngine(ProbeId),
    /// Read the manifest of a version from the first source that has it.
    ReadManifest(VersionId, Digest, Vec<BlobSource>),
    /// Ask a peer for the bitmap of the chunks of a manifest that it holds.
    RequestChunkBitmap(Digest, VmId, SocketAddr),
    /// Ask another endpoint for its records of the keys that this endpoint owns.
    RequestHandover(VmId, SocketAddr, Box<KeysQuery>),
    /// Exchange heartbeats with a peer.
    RequestHeartbeat(VmId, SocketAddr),
    /// Pull a chunk within a time limit.
    PullChunk(Digest, BlobSource, Span),
    /// Drop the stored chunks that are not in this manifest.
    RetainChunks(Arc<Manifest>),
    /// Send the engine the chunks of a version and the command to load it.
    LoadVersion(VersionId, Arc<Manifest>, FenceToken),
}

#[derive(Clone, Debug)]
enum Timer {
    PollPeers,
    RequestHandovers,
    AdvanceLoad,
    ReadManifest,
    ForgetOrphans,
    ProbeEngine,
}

/// The identity and the local settings of an endpoint process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The wall clock at time 0, in microseconds since the Unix epoch.
    pub epoch: Time,
    /// The time between two probes of the engine.
    pub probe_interval: Span,
    /// Limits on pulling weights.
    pub pull: PullSettings,
}

/// The state machine of an endpoint process.
#[derive(Debug)]
pub struct Endpoint {
    own: Identity,
    adopter: Adopter,
    gate: AdmissionGate,
    calls: CallRegistry,
    duplicates: DuplicateFilter,
    handover_pending: bool,
    in_flight: InFlight,
    lifecycle: Machine<LifecycleState, LifecycleEvent>,
    engine: Option<EngineState>,
    target: Option<TargetVersion>,
    active_pulls: u32,
    presence: Presence,
    draining: bool,
    fencing: Fencing,
    leases: Leases,
    last_event: Time,
    timers: Timers<Timer>,
    poll_timer: Option<TimerId>,
    outputs: Vec<Output>,
}

impl Endpoint {
    /// Returns an endpoint without a configuration, whose first probe of the engine is due now.
    pub fn new(own: Identity, now: Time) -> Self {
        let mut timers = Timers::default();
        timers.schedule(now, Timer::ProbeEngine);
        let fencing = Fencing::new(own.incarnation);
        Self {
            calls: CallRegistry::new(own.vm.clone(), own.incarnation, own.epoch),
            own,
            adopter: Adopter::default(),
            gate: AdmissionGate::default(),
            duplicates: DuplicateFilter::default(),
            handover_pending: false,
            in_flight: InFlight::default(),
            lifecycle: Machine::new(Arc::new(chart())),
            engine: None,
            target: None,
            active_pulls: 0,
            presence: Presence::default(),
            draining: false,
            fencing,
            leases: Leases::default(),
            last_event: now,
            timers,
            poll_timer: None,
            outputs: vec![],
        }
    }

    /// Adopts a published configuration if it is newer than the one in force and valid.
    pub fn offer_config(&mut self, now: Time, published: Arc<PublishedSet>) -> Adoption {
        let outcome = self.adopter.offer(published);
        if matches!(outcome, Adoption::Adopted(_)) {
            self.update_gate();
            self.update_target_version(now);
            self.update_key_members(now);
        }
        outcome
    }

    /// Applies the platform's list of VMs; a list without this VM changes nothing.
    pub fn update_vms(&mut self, now: Time, list: &BTreeMap<VmId, VmState>) {
        self.presence.update(now, list.get(&self.own.vm).copied());
        self.update_gate();
    }

    /// Records that a probe of the engine starts for a request, and returns the probe's number.
    pub fn begin_probe(&mut self) -> ProbeId {
        self.gate.begin_probe()
    }

    /// Handles the state that the engine reported to a probe, or `None` if it did not answer.
    pub fn on_engine_state(&mut self, now: Time, probe: ProbeId, state: Option<EngineState>) {
        self.detect_pause(now);
        let snapshot = state.as_ref().map(|state| EngineSnapshot {
            incarnation: state.incarnation,
            version: self.verified_version(state),
            limit: state.limit,
            running: state.running,
        });
        let first_state = self.engine.is_none() && state.is_some();
        if let Some(state) = &state {
            self.fencing.observe(state.fence);
            self.in_flight.record_incarnation(now, &self.own.vm, state.incarnation);
        }
        self.gate.record_probe(probe, snapshot);
        self.engine = state;
        self.update_gate();
        if first_state {
            self.timers.schedule(now + self.request_timeout(), Timer::ForgetOrphans);
        }
        self.advance_load(now);
    }

    /// Admits a request and returns the version that will answer it, or refuses the request.
    pub fn admit(
        &mut self,
        now: Time,
        run_id: RunId,
        service: &ServiceId,
    ) -> Result<Option<VersionId>, Refusal> {
        self.detect_pause(now);
        let fleet =
            self.fleet().ok_or(Refusal::retry_after(Reason::Unconfigured, DEFAULT_RETRY_DELAY))?;
        let pool = fleet.pool_of(&self.own.vm);
        if pool.is_none_or(|pool| pool.service != *service) {
            return Err(Refusal::new(Reason::UnknownService));
        }
        self.gate.admit(run_id)?;
        Ok(self.gate.version().cloned())
    }

    /// Records that an admitted request has ended.
    pub fn finish_request(&mut self, run_id: &RunId, ended: RequestEnd) {
        let was_open = self.gate.is_open();
        self.gate.finish(run_id, ended);
        if was_open && !self.gate.is_open() {
            self.probe_engine();
        }
        if self.draining && self.gate.in_progress() == 0 {
            self.lifecycle.apply(LifecycleEvent::Idle);
        }
    }

    /// Closes the gate permanently and returns the number of requests still in progress.
    pub fn drain(&mut self) -> usize {
        self.draining = true;
        self.lifecycle.apply(LifecycleEvent::Drain);
        self.update_gate();
        if self.gate.in_progress() == 0 {
            self.lifecycle.apply(LifecycleEvent::Idle);
        }
        self.gate.in_progress()
    }

    /// Handles the timers that are due.
    pub fn tick(&mut self, now: Time) {
        self.in_flight.suspects.expire(now);
        self.presence.record_activity(now);
        self.detect_pause(now);
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::PollPeers => self.poll_peers(now),
                Timer::RequestHandovers => self.request_handovers(now),
                Timer::AdvanceLoad => self.advance_load(now),
                Timer::ProbeEngine => {
                    self.timers.schedule(now + self.own.probe_interval, Timer::ProbeEngine);
                    self.probe_engine();
                }
                Timer::ReadManifest => self.read_manifest(),
                Timer::ForgetOrphans => self.gate.forget_orphans(),
            }
        }
    }

    /// Returns the time of the next tick.
    pub fn next_time(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// Takes the actions that the process must carry out now.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&ConfigInForce> {
        self.adopter.in_force()
    }

    /// Returns the admission gate of the engine.
    pub fn gate(&self) -> &AdmissionGate {
        &self.gate
    }

    /// Returns the registry of calls with keys or tickets.
    pub fn call_registry(&self) -> &CallRegistry {
        &self.calls
    }

    /// Returns the lifecycle state of this process.
    pub fn lifecycle(&self) -> LifecycleState {
        self.lifecycle.state()
    }

    /// Returns the heartbeat that this process sends to its peers.
    pub fn heartbeat(&self) -> Heartbeat {
        let load = Load {
            version: self.gate.version().cloned(),
            limit: self.gate.limit(),
            running: self.gate.running(),
            open: self.gate.is_open(),
            credit: 0,
        };
        Heartbeat {
            vm: self.own.vm.clone(),
            incarnation: self.own.incarnation,
            generation: self.adopter.generation(),
            load: Some(load),
            crashes: self.in_flight.suspects.recent_crashes(),
            demand: 0,
        }
    }

    fn fleet(&self) -> Option<Arc<Fleet>> {
        self.adopter.in_force().map(|now| now.fleet.clone())
    }

    /// Returns the version that the engine reports if it is declared and has the declared manifest.
    fn verified_version(&self, state: &EngineState) -> Option<VersionId> {
        let fleet = self.fleet()?;
        let version = fleet.versions.get(state.version.as_ref()?)?;
        (state.manifest == Some(version.manifest)).then(|| version.name.clone())
    }

    fn update_gate(&mut self) {
        let in_service = self.fleet().is_some_and(|fleet| fleet.zone_in_service(&self.own.vm));
        let superseded = self.fencing.is_superseded();
        let leaving = self.presence.is_leaving() || self.draining;
        self.gate.set_closed(leaving || superseded || !in_service);
    }

    fn update_target_version(&mut self, now: Time) {
        let Some(fleet) = self.fleet() else { return };
        let pool = fleet.pool_of(&self.own.vm);
        let version = pool.and_then(|pool| fleet.pool_version(&pool.name)).cloned();
        let limits = pool.map(|pool| EngineLimits { cold: pool.cold, slots: pool.slots });
        let version_name = version.as_ref().map(|version| version.name.clone());
        self.gate.set_target(version_name, limits.unwrap_or_default());
        if self.target.as_ref().map(|target| &target.version) == version.as_ref() {
            let topology = self.topology();
            let transfer = self.target.as_mut().and_then(|target| target.transfer.as_mut());
            if let Some((transfer, topology)) = transfer.zip(topology) {
                transfer.set_topology(topology);
            }
            return;
        }
        self.target = version.map(TargetVersion::new);
        self.lifecycle.apply(LifecycleEvent::TargetChanged);
        self.read_manifest();
        self.advance_load(now);
    }
}
