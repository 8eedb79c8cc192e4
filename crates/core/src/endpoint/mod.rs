//! Decisions of an endpoint process.

mod calls;
mod flights;
mod life;
mod presence;
mod wanted;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

pub use self::{
    calls::{Decision, Offered, Pass, key_members},
    life::{LifeEvent, LifeState},
};
use self::{flights::Flights, life::chart, presence::Presence, wanted::Wanted};
use crate::{
    adopt::{Adopter, Adoption, InForce},
    chart::Machine,
    declare::{Fleet, Published, Vm},
    gate::{Gate, Seen, Ticket},
    ids::{Digest, Fence, Incarnation, ServiceId, VersionId, VmId},
    member::VmState,
    once::{Once, Seen as Copies},
    proto::{Beat, KeysAsk, Load},
    refuse::{Reason, Refusal},
    time::{Time, Timers},
    units::Span,
    weights::{Manifest, Supplier, TransferOutcome},
};

/// Time between two questions to a peer about its chunks.
const HAVE: Span = Span::millis(200);
/// Pause before a manifest is asked for again.
const MANIFEST: Span = Span::millis(500);
/// Pause before an order that failed is given again.
const LOAD: Span = Span::millis(500);
/// The time after which a refused caller may come back when no better figure is known.
const RETRY: Span = Span::secs(1);

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
    Look,
    /// Read the manifest of a version from the first place that gives it.
    ReadManifest(VersionId, Digest, Vec<Place>),
    /// Ask a peer which chunks of a manifest it holds.
    AskHave(Digest, VmId, SocketAddr),
    /// Ask another endpoint which keys of this one it has run.
    AskKeys(VmId, SocketAddr, Box<KeysAsk>),
    /// Draw a chunk.
    Draw(Digest, Place),
    /// Give the engine the chunks of a version and the order to load it.
    Load(VersionId, Arc<Manifest>, Fence),
}

#[derive(Clone, Debug)]
enum Timer {
    Draw,
    Keys,
    Load,
    Look,
    Manifest,
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
    /// The chunks that are drawn at the same time.
    pub draws: u32,
}

/// The state and the decisions of an endpoint process.
#[derive(Debug)]
pub struct Endpoint {
    own: Identity,
    adopter: Adopter,
    gate: Gate,
    once: Once,
    seen: Copies,
    asking: bool,
    flights: Flights,
    life: Machine<LifeState, LifeEvent>,
    engine: Option<EngineState>,
    wanted: Option<Wanted>,
    drawing: u32,
    presence: Presence,
    draining: bool,
    timers: Timers<Timer>,
    outputs: Vec<Output>,
}

impl Endpoint {
    /// Returns an endpoint that knows nothing yet.
    pub fn new(own: Identity, now: Time) -> Self {
        let mut timers = Timers::default();
        timers.at(now, Timer::Look);
        Self {
            once: Once::new(own.vm.clone(), own.incarnation, own.epoch),
            own,
            adopter: Adopter::default(),
            gate: Gate::default(),
            seen: Copies::default(),
            asking: false,
            flights: Flights::default(),
            life: Machine::new(Arc::new(chart())),
            engine: None,
            wanted: None,
            drawing: 0,
            presence: Presence::default(),
            draining: false,
            timers,
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

    /// Takes the state that the engine shows, `None` where it did not answer.
    pub fn engine(&mut self, now: Time, state: Option<EngineState>) {
        let seen = state.as_ref().map(|state| Seen {
            version: self.verified(state),
            limit: state.limit,
            running: state.running,
        });
        self.gate.observe(seen.unwrap_or_default());
        if let Some(state) = &state {
            self.flights.look(now, &self.own.vm, state.incarnation);
        }
        self.engine = state;
        self.follow(now);
    }

    /// Lets a request pass, with the version that answers it, or refuses it.
    pub fn ask(
        &mut self,
        ticket: Ticket,
        service: &ServiceId,
    ) -> Result<Option<VersionId>, Refusal> {
        let fleet = self.fleet().ok_or(Refusal::after(Reason::Unconfigured, RETRY))?;
        let pool = fleet.pool_of(&self.own.vm);
        if pool.is_none_or(|pool| pool.service != *service) {
            return Err(Refusal::new(Reason::UnknownService));
        }
        self.gate.admit(ticket)?;
        Ok(self.gate.version().cloned())
    }

    /// Takes note that a request that passed has ended.
    pub fn finished(&mut self, ticket: &Ticket) {
        self.gate.finish(ticket);
    }

    /// Takes the manifest of a version, `None` where it could not be read.
    pub fn manifest(
        &mut self,
        now: Time,
        version: &VersionId,
        manifest: Option<Manifest>,
        held: impl Fn(&Digest) -> bool,
    ) {
        let Some(manifest) = manifest else {
            self.timers.at(now + MANIFEST, Timer::Manifest);
            return;
        };
        let names: Vec<VmId> = self.peers().into_iter().map(|(vm, _)| vm).collect();
        let Some(wanted) = self.wanted.as_mut().filter(|w| w.version.name == *version) else {
            return;
        };
        wanted.start(self.own.vm.clone(), manifest, held, &names, now);
        self.timers.at(now, Timer::Draw);
        self.follow(now);
    }

    /// Takes a drawn chunk, `None` where the draw failed.
    pub fn drawn(&mut self, now: Time, digest: Digest, data: Option<&[u8]>) -> TransferOutcome {
        self.drawing = self.drawing.saturating_sub(1);
        let transfer = self.wanted.as_mut().and_then(|wanted| wanted.transfer.as_mut());
        let outcome = match (transfer, data) {
            (Some(transfer), Some(data)) => transfer.arrived(digest, data),
            (Some(transfer), None) => {
                transfer.failed(&digest);
                TransferOutcome::Unwanted
            }
            (None, _) => TransferOutcome::Unwanted,
        };
        self.draw(now);
        self.follow(now);
        outcome
    }

    /// Takes note of the chunks that a peer holds, as bits in the order of the manifest.
    pub fn have(&mut self, now: Time, peer: &VmId, bits: &[u8]) {
        if let Some(wanted) = &mut self.wanted {
            wanted.holds(peer, bits);
        }
        self.draw(now);
    }

    /// Takes note that the engine took an order to load, or did not.
    pub fn loaded(&mut self, now: Time, version: &VersionId, taken: bool) {
        if let Some(wanted) = self.wanted.as_mut().filter(|w| w.version.name == *version) {
            wanted.loading = false;
        }
        if !taken {
            self.timers.at(now + LOAD, Timer::Load);
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
        self.flights.suspects.expire(now);
        self.presence.note(now);
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Draw => self.ask_peers(now),
                Timer::Keys => self.ask_keys(now),
                Timer::Load => self.follow(now),
                Timer::Look => {
                    self.timers.at(now + self.own.look, Timer::Look);
                    self.outputs.push(Output::Look);
                }
                Timer::Manifest => self.read_manifest(),
            }
        }
    }

    /// Returns the time of the next tick.
    pub fn next_time(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Returns what the process must do now.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&InForce> {
        self.adopter.in_force()
    }

    /// Returns the manifest of the wanted version, if it is the one asked for.
    pub fn known_manifest(&self, digest: Digest) -> Option<Arc<Manifest>> {
        let wanted = self.wanted.as_ref().filter(|w| w.version.manifest == digest)?;
        wanted.manifest.clone()
    }

    /// Returns the gate.
    pub fn gate(&self) -> &Gate {
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

    /// Returns the number of chunks that are still missing.
    pub fn missing(&self) -> usize {
        self.wanted.as_ref().map_or(0, Wanted::missing)
    }

    /// Returns the state that this process tells its peers.
    pub fn beat(&self) -> Beat {
        let load = Load {
            version: self.gate.version().cloned(),
            limit: self.gate.limit(),
            running: self.gate.running(),
            open: self.gate.open(),
        };
        Beat {
            vm: self.own.vm.clone(),
            incarnation: self.own.incarnation,
            generation: self.adopter.generation(),
            load: Some(load),
            crashes: self.flights.suspects.told(),
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
        self.gate.close(self.presence.is_leaving() || self.draining || !in_service);
    }

    fn set_wanted(&mut self, now: Time) {
        let Some(fleet) = self.fleet() else { return };
        let pool = fleet.pool_of(&self.own.vm);
        let version = pool.and_then(|pool| fleet.pool_version(&pool.name)).cloned();
        self.gate.want(version.as_ref().map(|version| version.name.clone()));
        if self.wanted.as_ref().map(|wanted| &wanted.version) == version.as_ref() {
            return;
        }
        self.wanted = version.map(Wanted::new);
        self.life.apply(LifeEvent::Want);
        self.read_manifest();
        self.follow(now);
    }

    fn read_manifest(&mut self) {
        let Some(wanted) = self.wanted.as_ref().filter(|w| w.manifest.is_none()) else { return };
        let others = self.peers().into_iter().filter(|(vm, _)| *vm != self.own.vm);
        let mut places: Vec<Place> =
            others.map(|(vm, addr)| Place::Peer(vm, addr)).take(1).collect();
        places.push(Place::Origin);
        let version = &wanted.version;
        self.outputs.push(Output::ReadManifest(version.name.clone(), version.manifest, places));
    }

    fn ask_peers(&mut self, now: Time) {
        let Some(wanted) = self.wanted.as_ref().filter(|w| !w.is_whole()) else { return };
        let manifest = wanted.version.manifest;
        for (vm, addr) in self.peers().into_iter().filter(|(vm, _)| *vm != self.own.vm) {
            self.outputs.push(Output::AskHave(manifest, vm, addr));
        }
        self.draw(now);
        self.timers.at(now + HAVE, Timer::Draw);
    }

    fn draw(&mut self, now: Time) {
        let peers: BTreeMap<VmId, SocketAddr> = self.peers().into_iter().collect();
        let transfer = self.wanted.as_mut().and_then(|wanted| wanted.transfer.as_mut());
        let Some(transfer) = transfer else { return };
        while self.drawing < self.own.draws {
            let Some((digest, supplier)) = transfer.next(now) else { return };
            let place = match supplier {
                Supplier::Origin => Place::Origin,
                Supplier::Peer(vm) => match peers.get(&vm) {
                    Some(addr) => Place::Peer(vm, *addr),
                    None => {
                        transfer.failed(&digest);
                        continue;
                    }
                },
            };
            self.drawing += 1;
            self.outputs.push(Output::Draw(digest, place));
        }
    }

    /// Follows the engine and the transfer: serves, or gives the engine the whole weights.
    fn follow(&mut self, _now: Time) {
        let Some(state) = &self.engine else { return };
        let held = self.verified(state);
        let Some(wanted) = self.wanted.as_mut() else {
            self.life.apply(LifeEvent::Serve);
            return;
        };
        if held.as_ref() == Some(&wanted.version.name) {
            self.life.apply(LifeEvent::Serve);
            return;
        }
        if wanted.loading || !wanted.is_whole() {
            return;
        }
        let Some(manifest) = wanted.manifest.clone() else { return };
        self.life.apply(LifeEvent::Whole);
        self.life.apply(LifeEvent::Lost);
        wanted.loading = true;
        let fence = Fence(self.own.incarnation.0);
        self.outputs.push(Output::Load(wanted.version.name.clone(), manifest, fence));
    }

    /// Returns the endpoint VMs of this VM's zone and pool, with their addresses.
    fn peers(&self) -> Vec<(VmId, SocketAddr)> {
        let Some(fleet) = self.fleet() else { return vec![] };
        let Some(own) = fleet.vms.get(&self.own.vm) else { return vec![] };
        let near = |vm: &&Vm| vm.zone == own.zone && vm.role == own.role;
        fleet.vms.values().filter(near).map(|vm| (vm.name.clone(), vm.addr)).collect()
    }
}
