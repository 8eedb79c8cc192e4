//! Decisions of an endpoint process.

mod calls;
mod fencing;
mod freshness;
mod in_flight;
mod lifecycle;
mod presence;
mod target_version;
mod weight_loading;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

pub use self::{
    calls::{Admission, Decision, OfferedCall, key_members},
    lifecycle::{LifecycleEvent, LifecycleState},
    target_version::FetchSettings,
};
use self::{
    fencing::Fencing, in_flight::InFlight, lifecycle::chart, presence::Presence,
    target_version::TargetVersion,
};
use crate::{
    adopt::{Adopter, Adoption, InForce},
    chart::Machine,
    declare::{Fleet, Published},
    gate::{Bounds, Ended, Gate, LookId, Seen, Ticket},
    ids::{Digest, Fence, Incarnation, ServiceId, VersionId, VmId},
    lease::Leases,
    member::VmState,
    once::{CallRegistry, DuplicateFilter},
    proto::{Beat, KeysAsk, Load},
    refuse::{RETRY, Reason, Refusal},
    time::{Time, TimerId, Timers},
    units::Span,
    weights::Manifest,
};

/// The state that an engine or plain service shows.
#[derive(Clone, Debug, Default, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct EngineState {
    /// The start of the engine.
    pub incarnation: u64,
    /// The version that the engine holds whole.
    pub version: Option<VersionId>,
    /// The digest of the manifest of that version.
    pub manifest: Option<Digest>,
    /// The requests that the engine bears now.
    pub limit: u32,
    /// The requests that the engine runs now.
    pub running: u32,
    /// The highest fencing number that the engine has seen.
    pub fence: Fence,
}

/// Where a blob is drawn from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BlobSource {
    /// The origin.
    Origin,
    /// A peer and its address.
    Peer(VmId, SocketAddr),
}

/// What the process must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Look at the engine.
    ProbeEngine(LookId),
    /// Read the manifest of a version from the first place that gives it.
    ReadManifest(VersionId, Digest, Vec<BlobSource>),
    /// Ask a peer which chunks of a manifest it holds.
    RequestChunkBitmap(Digest, VmId, SocketAddr),
    /// Ask another endpoint which keys of this one it has run.
    RequestHandover(VmId, SocketAddr, Box<KeysAsk>),
    /// Ask a peer for its state.
    RequestHeartbeat(VmId, SocketAddr),
    /// Draw a chunk within a time.
    FetchChunk(Digest, BlobSource, Span),
    /// Drop the chunks that this manifest does not name.
    RetainChunks(Arc<Manifest>),
    /// Give the engine the chunks of a version and the order to load it.
    LoadVersion(VersionId, Arc<Manifest>, Fence),
}

#[derive(Clone, Debug)]
enum Timer {
    Fetch,
    Handover,
    Load,
    Manifest,
    Orphans,
    Probe,
}

/// Who an endpoint is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The VM.
    pub vm: VmId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The wall clock at time 0, in microseconds since the Unix epoch.
    pub epoch: Time,
    /// The time between two looks at the engine.
    pub probe_interval: Span,
    /// How weights are drawn.
    pub fetch: FetchSettings,
}

/// The state and the decisions of an endpoint process.
#[derive(Debug)]
pub struct Endpoint {
    own: Identity,
    adopter: Adopter,
    gate: Gate,
    calls: CallRegistry,
    duplicates: DuplicateFilter,
    handover_pending: bool,
    in_flight: InFlight,
    lifecycle: Machine<LifecycleState, LifecycleEvent>,
    engine: Option<EngineState>,
    target: Option<TargetVersion>,
    fetches: u32,
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
    /// Returns an endpoint that knows nothing yet.
    pub fn new(own: Identity, now: Time) -> Self {
        let mut timers = Timers::default();
        timers.at(now, Timer::Probe);
        let fencing = Fencing::new(own.incarnation);
        Self {
            calls: CallRegistry::new(own.vm.clone(), own.incarnation, own.epoch),
            own,
            adopter: Adopter::default(),
            gate: Gate::default(),
            duplicates: DuplicateFilter::default(),
            handover_pending: false,
            in_flight: InFlight::default(),
            lifecycle: Machine::new(Arc::new(chart())),
            engine: None,
            target: None,
            fetches: 0,
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

    /// Takes a published set if it is newer and sound.
    pub fn offer_config(&mut self, now: Time, published: Arc<Published>) -> Adoption {
        let outcome = self.adopter.offer(published);
        if matches!(outcome, Adoption::Adopted(_)) {
            self.update_gate();
            self.update_target_version(now);
            self.update_key_members(now);
        }
        outcome
    }

    /// Takes the platform's list of VMs; where it does not name this VM, nothing changes.
    pub fn update_vms(&mut self, now: Time, list: &BTreeMap<VmId, VmState>) {
        self.presence.update(now, list.get(&self.own.vm).copied());
        self.update_gate();
    }

    /// Takes note that a look at the engine begins for a request, and returns its number.
    pub fn begin_probe(&mut self) -> LookId {
        self.gate.begin_look()
    }

    /// Takes the state that the engine showed at a look, `None` where it did not answer.
    pub fn on_engine_state(&mut self, now: Time, probe: LookId, state: Option<EngineState>) {
        self.detect_pause(now);
        let seen = state.as_ref().map(|state| Seen {
            incarnation: state.incarnation,
            version: self.verified(state),
            limit: state.limit,
            running: state.running,
        });
        let first = self.engine.is_none() && state.is_some();
        if let Some(state) = &state {
            self.fencing.observe(state.fence);
            self.in_flight.observe_engine(now, &self.own.vm, state.incarnation);
        }
        self.gate.observe(probe, seen);
        self.engine = state;
        self.update_gate();
        if first {
            self.timers.at(now + self.request_timeout(), Timer::Orphans);
        }
        self.advance_load(now);
    }

    /// Lets a request pass, with the version that answers it, or refuses it.
    pub fn admit(
        &mut self,
        now: Time,
        ticket: Ticket,
        service: &ServiceId,
    ) -> Result<Option<VersionId>, Refusal> {
        self.detect_pause(now);
        let fleet = self.fleet().ok_or(Refusal::after(Reason::Unconfigured, RETRY))?;
        let pool = fleet.pool_of(&self.own.vm);
        if pool.is_none_or(|pool| pool.service != *service) {
            return Err(Refusal::new(Reason::UnknownService));
        }
        self.gate.admit(ticket)?;
        Ok(self.gate.version().cloned())
    }

    /// Takes note that a request that passed has ended.
    pub fn finish_request(&mut self, ticket: &Ticket, ended: Ended) {
        let shown = self.gate.open();
        self.gate.finish(ticket, ended);
        if shown && !self.gate.open() {
            self.probe_engine();
        }
        if self.draining && self.gate.in_progress() == 0 {
            self.lifecycle.apply(LifecycleEvent::Idle);
        }
    }

    /// Closes the gate for good and returns the requests that are still in progress.
    pub fn drain(&mut self) -> usize {
        self.draining = true;
        self.lifecycle.apply(LifecycleEvent::Drain);
        self.update_gate();
        if self.gate.in_progress() == 0 {
            self.lifecycle.apply(LifecycleEvent::Idle);
        }
        self.gate.in_progress()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) {
        self.in_flight.suspects.expire(now);
        self.presence.record_activity(now);
        self.detect_pause(now);
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Fetch => self.poll_peers(now),
                Timer::Handover => self.request_handovers(now),
                Timer::Load => self.advance_load(now),
                Timer::Probe => {
                    self.timers.at(now + self.own.probe_interval, Timer::Probe);
                    self.probe_engine();
                }
                Timer::Manifest => self.read_manifest(),
                Timer::Orphans => self.gate.forget_orphans(),
            }
        }
    }

    /// Returns the time of the next tick.
    pub fn next_time(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Returns what the process must do now.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&InForce> {
        self.adopter.in_force()
    }

    /// Returns the gate.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Returns the keys and tickets of this process.
    pub fn call_registry(&self) -> &CallRegistry {
        &self.calls
    }

    /// Returns the state of this process.
    pub fn lifecycle(&self) -> LifecycleState {
        self.lifecycle.state()
    }

    /// Returns the state that this process tells its peers.
    pub fn heartbeat(&self) -> Beat {
        let load = Load {
            version: self.gate.version().cloned(),
            limit: self.gate.limit(),
            running: self.gate.running(),
            open: self.gate.open(),
            credit: 0,
        };
        Beat {
            vm: self.own.vm.clone(),
            incarnation: self.own.incarnation,
            generation: self.adopter.generation(),
            load: Some(load),
            crashes: self.in_flight.suspects.told(),
            want: 0,
        }
    }

    fn fleet(&self) -> Option<Arc<Fleet>> {
        self.adopter.in_force().map(|now| now.fleet.clone())
    }

    /// Returns the version that the engine holds if it is a declared one, whole.
    fn verified(&self, state: &EngineState) -> Option<VersionId> {
        let fleet = self.fleet()?;
        let version = fleet.versions.get(state.version.as_ref()?)?;
        (state.manifest == Some(version.manifest)).then(|| version.name.clone())
    }

    fn update_gate(&mut self) {
        let in_service = self.fleet().is_some_and(|fleet| fleet.in_service(&self.own.vm));
        let superseded = self.fencing.is_superseded();
        let leaving = self.presence.is_leaving() || self.draining;
        self.gate.close(leaving || superseded || !in_service);
    }

    fn update_target_version(&mut self, now: Time) {
        let Some(fleet) = self.fleet() else { return };
        let pool = fleet.pool_of(&self.own.vm);
        let version = pool.and_then(|pool| fleet.pool_version(&pool.name)).cloned();
        let bounds = pool.map(|pool| Bounds { cold: pool.cold, slots: pool.slots });
        let version_name = version.as_ref().map(|version| version.name.clone());
        self.gate.want(version_name, bounds.unwrap_or_default());
        if self.target.as_ref().map(|target| &target.version) == version.as_ref() {
            let topology = self.topology();
            let transfer = self.target.as_mut().and_then(|target| target.transfer.as_mut());
            if let Some((transfer, topology)) = transfer.zip(topology) {
                transfer.set_topology(topology);
            }
            return;
        }
        self.target = version.map(TargetVersion::new);
        self.lifecycle.apply(LifecycleEvent::Want);
        self.read_manifest();
        self.advance_load(now);
    }
}
