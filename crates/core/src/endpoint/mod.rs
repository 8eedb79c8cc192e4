//! Decisions of an endpoint process.

mod calls;
mod command;
mod guard;
mod in_flight;
mod life;
mod presence;
mod supply;
mod wanted;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

pub use self::{
    calls::{Decision, Offered, Pass, key_members},
    life::{LifeEvent, LifeState},
    wanted::Drawing,
};
use self::{
    command::Command, in_flight::InFlight, life::chart, presence::Presence, wanted::Wanted,
};
use crate::{
    adopt::{Adopter, Adoption, ConfigInForce},
    chart::Machine,
    declare::{Fleet, Published},
    gate::{AdmissionGate, EngineLimits, EngineSnapshot, ProbeId, RequestEnd, RunId},
    ids::{Digest, FenceToken, Incarnation, ServiceId, VersionId, VmId},
    lease::Leases,
    once::{Once, Seen as Copies},
    proto::{Heartbeat, KeysQuery, Load},
    refusal::{DEFAULT_RETRY_DELAY, Reason, Refusal},
    time::{Time, TimerId, Timers},
    units::Span,
    vm_state::VmState,
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
    pub fence: FenceToken,
}

/// Where a blob is drawn from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Place {
    /// The origin.
    Origin,
    /// A peer and its address.
    Peer(VmId, SocketAddr),
}

/// What the process must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Look at the engine.
    Look(ProbeId),
    /// Read the manifest of a version from the first place that gives it.
    ReadManifest(VersionId, Digest, Vec<Place>),
    /// Ask a peer which chunks of a manifest it holds.
    AskHave(Digest, VmId, SocketAddr),
    /// Ask another endpoint which keys of this one it has run.
    AskKeys(VmId, SocketAddr, Box<KeysQuery>),
    /// Ask a peer for its state.
    AskBeat(VmId, SocketAddr),
    /// Draw a chunk within a time.
    Draw(Digest, Place, Span),
    /// Drop the chunks that this manifest does not name.
    Retain(Arc<Manifest>),
    /// Give the engine the chunks of a version and the order to load it.
    Load(VersionId, Arc<Manifest>, FenceToken),
}

#[derive(Clone, Debug)]
enum Timer {
    Draw,
    Keys,
    Load,
    Look,
    Manifest,
    Orphans,
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
    pub look: Span,
    /// How weights are drawn.
    pub drawing: Drawing,
}

/// The state and the decisions of an endpoint process.
#[derive(Debug)]
pub struct Endpoint {
    own: Identity,
    adopter: Adopter,
    gate: AdmissionGate,
    once: Once,
    seen: Copies,
    asking: bool,
    in_flight: InFlight,
    life: Machine<LifeState, LifeEvent>,
    engine: Option<EngineState>,
    wanted: Option<Wanted>,
    drawing: u32,
    presence: Presence,
    draining: bool,
    command: Command,
    leases: Leases,
    last: Time,
    timers: Timers<Timer>,
    round: Option<TimerId>,
    outputs: Vec<Output>,
}

impl Endpoint {
    /// Returns an endpoint that knows nothing yet.
    pub fn new(own: Identity, now: Time) -> Self {
        let mut timers = Timers::default();
        timers.schedule(now, Timer::Look);
        let command = Command::new(own.incarnation);
        Self {
            once: Once::new(own.vm.clone(), own.incarnation, own.epoch),
            own,
            adopter: Adopter::default(),
            gate: AdmissionGate::default(),
            seen: Copies::default(),
            asking: false,
            in_flight: InFlight::default(),
            life: Machine::new(Arc::new(chart())),
            engine: None,
            wanted: None,
            drawing: 0,
            presence: Presence::default(),
            draining: false,
            command,
            leases: Leases::default(),
            last: now,
            timers,
            round: None,
            outputs: vec![],
        }
    }

    /// Takes a published set if it is newer and sound.
    pub fn offer(&mut self, now: Time, published: Arc<Published>) -> Adoption {
        let outcome = self.adopter.offer(published);
        if matches!(outcome, Adoption::Adopted(_)) {
            self.set_closed();
            self.set_wanted(now);
            self.adopt_keys(now);
        }
        outcome
    }

    /// Takes the platform's list of VMs; where it does not name this VM, nothing changes.
    pub fn list(&mut self, now: Time, list: &BTreeMap<VmId, VmState>) {
        self.presence.list(now, list.get(&self.own.vm).copied());
        self.set_closed();
    }

    /// Takes note that a look at the engine begins for a request, and returns its number.
    pub fn begin_look(&mut self) -> ProbeId {
        self.gate.begin_probe()
    }

    /// Takes the state that the engine showed at a look, `None` where it did not answer.
    pub fn engine(&mut self, now: Time, look: ProbeId, state: Option<EngineState>) {
        self.wake(now);
        let seen = state.as_ref().map(|state| EngineSnapshot {
            incarnation: state.incarnation,
            version: self.verified(state),
            limit: state.limit,
            running: state.running,
        });
        let first = self.engine.is_none() && state.is_some();
        if let Some(state) = &state {
            self.command.show(state.fence);
            self.in_flight.look(now, &self.own.vm, state.incarnation);
        }
        self.gate.record_probe(look, seen);
        self.engine = state;
        self.set_closed();
        if first {
            self.timers.schedule(now + self.patience(), Timer::Orphans);
        }
        self.follow(now);
    }

    /// Lets a request pass, with the version that answers it, or refuses it.
    pub fn ask(
        &mut self,
        now: Time,
        ticket: RunId,
        service: &ServiceId,
    ) -> Result<Option<VersionId>, Refusal> {
        self.wake(now);
        let fleet =
            self.fleet().ok_or(Refusal::retry_after(Reason::Unconfigured, DEFAULT_RETRY_DELAY))?;
        let pool = fleet.pool_of(&self.own.vm);
        if pool.is_none_or(|pool| pool.service != *service) {
            return Err(Refusal::new(Reason::UnknownService));
        }
        self.gate.admit(ticket)?;
        Ok(self.gate.version().cloned())
    }

    /// Takes note that a request that passed has ended.
    pub fn finished(&mut self, ticket: &RunId, ended: RequestEnd) {
        let shown = self.gate.is_open();
        self.gate.finish(ticket, ended);
        if shown && !self.gate.is_open() {
            self.look();
        }
        if self.draining && self.gate.in_progress() == 0 {
            self.life.apply(LifeEvent::Idle);
        }
    }

    /// Closes the gate for good and returns the requests that are still in progress.
    pub fn drain(&mut self) -> usize {
        self.draining = true;
        self.life.apply(LifeEvent::Drain);
        self.set_closed();
        if self.gate.in_progress() == 0 {
            self.life.apply(LifeEvent::Idle);
        }
        self.gate.in_progress()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) {
        self.in_flight.suspects.expire(now);
        self.presence.note(now);
        self.wake(now);
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Draw => self.ask_peers(now),
                Timer::Keys => self.ask_keys(now),
                Timer::Load => self.follow(now),
                Timer::Look => {
                    self.timers.schedule(now + self.own.look, Timer::Look);
                    self.look();
                }
                Timer::Manifest => self.read_manifest(),
                Timer::Orphans => self.gate.forget_orphans(),
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

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&ConfigInForce> {
        self.adopter.in_force()
    }

    /// Returns the gate.
    pub fn gate(&self) -> &AdmissionGate {
        &self.gate
    }

    /// Returns the keys and tickets of this process.
    pub fn once(&self) -> &Once {
        &self.once
    }

    /// Returns the state of this process.
    pub fn life(&self) -> LifeState {
        self.life.state()
    }

    /// Returns the state that this process tells its peers.
    pub fn beat(&self) -> Heartbeat {
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

    /// Returns the version that the engine holds if it is a declared one, whole.
    fn verified(&self, state: &EngineState) -> Option<VersionId> {
        let fleet = self.fleet()?;
        let version = fleet.versions.get(state.version.as_ref()?)?;
        (state.manifest == Some(version.manifest)).then(|| version.name.clone())
    }

    fn set_closed(&mut self) {
        let in_service = self.fleet().is_some_and(|fleet| fleet.in_service(&self.own.vm));
        let superseded = self.command.superseded();
        let leaving = self.presence.is_leaving() || self.draining;
        self.gate.set_closed(leaving || superseded || !in_service);
    }

    fn set_wanted(&mut self, now: Time) {
        let Some(fleet) = self.fleet() else { return };
        let pool = fleet.pool_of(&self.own.vm);
        let version = pool.and_then(|pool| fleet.pool_version(&pool.name)).cloned();
        let bounds = pool.map(|pool| EngineLimits { cold: pool.cold, slots: pool.slots });
        let name = version.as_ref().map(|version| version.name.clone());
        self.gate.set_target(name, bounds.unwrap_or_default());
        if self.wanted.as_ref().map(|wanted| &wanted.version) == version.as_ref() {
            let topology = self.topology();
            let transfer = self.wanted.as_mut().and_then(|wanted| wanted.transfer.as_mut());
            if let Some((transfer, topology)) = transfer.zip(topology) {
                transfer.set_topology(topology);
            }
            return;
        }
        self.wanted = version.map(Wanted::new);
        self.life.apply(LifeEvent::Want);
        self.read_manifest();
        self.follow(now);
    }
}
