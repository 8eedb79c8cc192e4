//! The endpoint's event loop: owns the state and takes all decisions.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use sequoiahold_core::{
    adopt::{Adopter, Adoption, InForce},
    declare::{Fleet, Published, Role, Version},
    gate::{Gate, Seen},
    ids::{Digest, Fence, VersionId, VmId},
    proto::{Beat, Load},
    refuse::{Reason, Refusal},
    time::Timers,
    units::Span,
    weights::{Manifest, Supplier, Transfer, TransferOutcome},
};
use tokio::sync::{mpsc, watch};

use super::{
    draw::{Drawer, Place},
    engine::{Engine, EngineState},
    event::{Admit, Event},
    store::Store,
};
use crate::{clock::Clock, net::Links, platform::VmState, settings, status::Status};

/// Time between two questions to a peer about its chunks.
const HAVE: Span = Span::millis(200);
/// Pause before a manifest is asked for again.
const MANIFEST: Span = Span::millis(500);

#[derive(Clone, Debug)]
enum Timer {
    Look,
    Draw,
    Manifest,
}

/// What the event loop works with.
pub struct Parts {
    /// The clock.
    pub clock: Clock,
    /// The connections to peers.
    pub links: Links,
    /// The chunks that are held.
    pub store: Store,
    /// The engine.
    pub engine: Engine,
    /// Shows the configuration in force to the tasks.
    pub in_force: watch::Sender<Option<InForce>>,
    /// The sender of this loop's own events.
    pub events: mpsc::UnboundedSender<Event>,
}

/// A version on its way to the engine.
struct Wanted {
    version: Version,
    manifest: Option<Manifest>,
    transfer: Option<Transfer>,
    loading: bool,
}

/// The state of an endpoint process.
pub struct EventLoop {
    settings: settings::Endpoint,
    parts: Parts,
    drawer: Drawer,
    adopter: Adopter,
    gate: Gate,
    engine: Option<EngineState>,
    wanted: Option<Wanted>,
    drawing: u32,
    leaving: bool,
    draining: bool,
    timers: Timers<Timer>,
    counters: BTreeMap<String, u64>,
}

impl EventLoop {
    /// Returns the event loop of a process that knows nothing yet.
    pub fn new(settings: settings::Endpoint, parts: Parts) -> Self {
        let drawer = Drawer::new(parts.links.clone(), &settings.weights.origin);
        let mut timers = Timers::default();
        timers.at(parts.clock.now(), Timer::Look);
        Self {
            settings,
            parts,
            drawer,
            adopter: Adopter::default(),
            gate: Gate::default(),
            engine: None,
            wanted: None,
            drawing: 0,
            leaving: false,
            draining: false,
            timers,
            counters: BTreeMap::new(),
        }
    }

    /// Handles events and timers until all senders are gone.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Event>) {
        loop {
            tokio::select! {
                event = receiver.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                () = self.parts.clock.until(self.timers.next()) => self.on_time(),
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Offer(published) => self.on_offer(published),
            Event::Vms(list) => self.on_vms(&list),
            Event::Engine(state) => self.on_engine(state),
            Event::Admit(admit) => self.on_admit(admit),
            Event::Finish(ticket) => self.gate.finish(&ticket),
            Event::Manifest(version, manifest) => self.on_manifest(&version, manifest),
            Event::Drawn(digest, data) => self.on_drawn(digest, data),
            Event::Have(peer, bits) => self.on_have(&peer, &bits),
            Event::Loaded(version, taken) => self.on_loaded(&version, taken),
            Event::TellHave(manifest, reply) => drop(reply.send(self.have(manifest))),
            Event::Set(above, reply) => {
                let newer = self.adopter.in_force().filter(|_| self.adopter.generation() > above);
                let _ = reply.send(newer.map(|now| now.published.clone()));
            }
            Event::Tell(reply) => drop(reply.send(self.beat())),
            Event::Status(reply) => drop(reply.send(self.status())),
            Event::Drain(reply) => {
                self.draining = true;
                self.set_closed();
                let _ = reply.send(self.gate.in_progress());
            }
        }
    }

    fn on_time(&mut self) {
        while let Some(timer) = self.timers.pop(self.parts.clock.now()) {
            match timer {
                Timer::Look => self.look(),
                Timer::Draw => self.ask_peers(),
                Timer::Manifest => self.read_manifest(),
            }
        }
    }

    fn on_offer(&mut self, published: Arc<Published>) {
        let outcome = self.adopter.offer(published);
        match &outcome {
            Adoption::Adopted(_) => log::info!("{outcome}"),
            Adoption::Refused(_) => log::warn!("{outcome}"),
            Adoption::Old(_) => return,
        }
        let now = self.adopter.in_force().cloned();
        self.parts.in_force.send_replace(now);
        self.set_closed();
        self.set_wanted();
    }

    fn on_vms(&mut self, list: &BTreeMap<VmId, VmState>) {
        let state = list.get(&self.settings.vm);
        self.leaving = state == Some(&VmState::Leaving);
        self.set_closed();
    }

    fn on_engine(&mut self, state: Option<EngineState>) {
        let seen = state.as_ref().map(|state| Seen {
            version: self.verified(state),
            limit: state.limit,
            running: state.running,
        });
        self.gate.observe(seen.unwrap_or_default());
        self.engine = state;
        self.load_if_whole();
    }

    fn on_admit(&mut self, admit: Admit) {
        let decision = self.admit(&admit);
        if admit.reply.send(decision).is_err() {
            self.gate.finish(&admit.ticket);
        }
    }

    fn admit(&mut self, admit: &Admit) -> Result<Option<VersionId>, Refusal> {
        let fleet = self.fleet().ok_or(Refusal::after(Reason::Unconfigured, Span::secs(1)))?;
        let pool = fleet.pool_of(&self.settings.vm);
        if pool.is_none_or(|pool| pool.service != admit.service) {
            return Err(Refusal::new(Reason::UnknownService));
        }
        self.gate.admit(admit.ticket.clone())?;
        Ok(self.gate.version().cloned())
    }

    fn on_manifest(&mut self, version: &VersionId, manifest: Option<Manifest>) {
        let Some(manifest) = manifest else {
            self.timers.at(self.parts.clock.now() + MANIFEST, Timer::Manifest);
            return;
        };
        let peers = self.zone_peers();
        let Some(wanted) = self.wanted.as_mut().filter(|w| w.version.name == *version) else {
            return;
        };
        let store = &self.parts.store;
        store.keep(wanted.version.manifest, Bytes::from(manifest.text()));
        let now = self.parts.clock.now();
        let held = |digest: &Digest| store.holds(digest);
        let names: Vec<VmId> = peers.into_iter().map(|(vm, _)| vm).collect();
        let vm = self.settings.vm.clone();
        wanted.transfer = Some(Transfer::new(vm, &manifest, held, &names, now));
        wanted.manifest = Some(manifest);
        self.timers.at(now, Timer::Draw);
        self.load_if_whole();
    }

    fn on_drawn(&mut self, digest: Digest, data: Option<Bytes>) {
        self.drawing -= 1;
        let transfer = self.wanted.as_mut().and_then(|wanted| wanted.transfer.as_mut());
        if let Some(transfer) = transfer {
            let outcome = match &data {
                Some(data) => transfer.arrived(digest, data),
                None => {
                    transfer.failed(&digest);
                    TransferOutcome::Unwanted
                }
            };
            if outcome == TransferOutcome::Corrupt {
                self.count("chunks.corrupt");
            }
            if let (TransferOutcome::Kept | TransferOutcome::Whole, Some(data)) = (outcome, data) {
                self.parts.store.keep(digest, data);
            }
        }
        self.draw();
        self.load_if_whole();
    }

    fn on_have(&mut self, peer: &VmId, bits: &[u8]) {
        let Some(wanted) = self.wanted.as_mut() else { return };
        let (Some(manifest), Some(transfer)) = (&wanted.manifest, &mut wanted.transfer) else {
            return;
        };
        let held = |i: usize| bits.get(i / 8).is_some_and(|byte| byte & (1 << (i % 8)) != 0);
        let digests = manifest.chunks.iter().enumerate().filter(|(i, _)| held(*i)).map(|(_, d)| *d);
        transfer.holds(peer, digests);
        self.draw();
    }

    fn on_loaded(&mut self, version: &VersionId, taken: bool) {
        if let Some(wanted) = self.wanted.as_mut().filter(|w| w.version.name == *version) {
            wanted.loading = false;
        }
        self.count(if taken { "loads.taken" } else { "loads.failed" });
    }

    /// Returns the version that the engine holds if it is the declared one, whole.
    fn verified(&self, state: &EngineState) -> Option<VersionId> {
        let fleet = self.fleet()?;
        let version = fleet.versions.get(state.version.as_ref()?)?;
        (state.manifest == Some(version.manifest)).then(|| version.name.clone())
    }

    fn set_closed(&mut self) {
        let in_service = self.fleet().is_some_and(|fleet| fleet.in_service(&self.settings.vm));
        self.gate.close(self.leaving || self.draining || !in_service);
    }

    fn set_wanted(&mut self) {
        let Some(fleet) = self.fleet() else { return };
        let pool = fleet.pool_of(&self.settings.vm);
        let version = pool.and_then(|pool| fleet.pool_version(&pool.name)).cloned();
        self.gate.want(version.as_ref().map(|version| version.name.clone()));
        let same = self.wanted.as_ref().map(|wanted| &wanted.version) == version.as_ref();
        if same {
            return;
        }
        self.wanted = version.map(|version| Wanted {
            version,
            manifest: None,
            transfer: None,
            loading: false,
        });
        self.read_manifest();
    }

    fn read_manifest(&mut self) {
        let Some(wanted) = self.wanted.as_ref().filter(|w| w.manifest.is_none()) else { return };
        let (drawer, events) = (self.drawer.clone(), self.parts.events.clone());
        let version = wanted.version.clone();
        let mut places: Vec<Place> =
            self.zone_peers().into_iter().map(|(vm, addr)| Place::Peer(vm, addr)).take(1).collect();
        places.push(Place::Origin);
        actix_rt::spawn(async move {
            let manifest = drawer.manifest(version.manifest, &places).await;
            let _ = events.send(Event::Manifest(version.name, manifest));
        });
    }

    fn ask_peers(&mut self) {
        let Some(wanted) = &self.wanted else { return };
        if wanted.transfer.as_ref().is_none_or(Transfer::is_whole) {
            return;
        }
        let manifest = wanted.version.manifest;
        for (vm, addr) in self.zone_peers().into_iter().filter(|(vm, _)| *vm != self.settings.vm) {
            let (drawer, events) = (self.drawer.clone(), self.parts.events.clone());
            actix_rt::spawn(async move {
                if let Some(bits) = drawer.have(manifest, &vm, addr).await {
                    let _ = events.send(Event::Have(vm, bits));
                }
            });
        }
        self.draw();
        self.timers.at(self.parts.clock.now() + HAVE, Timer::Draw);
    }

    fn draw(&mut self) {
        let now = self.parts.clock.now();
        let peers: BTreeMap<_, _> = self.zone_peers().into_iter().collect();
        let Some(wanted) = self.wanted.as_mut() else { return };
        let Some(transfer) = wanted.transfer.as_mut() else { return };
        while self.drawing < self.settings.weights.draws {
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
            let (drawer, events) = (self.drawer.clone(), self.parts.events.clone());
            actix_rt::spawn(async move {
                let data = drawer.draw(digest, &place).await;
                let _ = events.send(Event::Drawn(digest, data));
            });
        }
    }

    fn load_if_whole(&mut self) {
        let Some(state) = &self.engine else { return };
        let held = self.verified(state);
        let Some(wanted) = self.wanted.as_mut().filter(|w| !w.loading) else { return };
        let whole = wanted.transfer.as_ref().is_some_and(Transfer::is_whole);
        let Some(manifest) = wanted.manifest.clone().filter(|_| whole) else { return };
        if held.as_ref() == Some(&wanted.version.name) {
            return;
        }
        wanted.loading = true;
        let version = wanted.version.name.clone();
        let fence = Fence(self.parts.clock.incarnation().0);
        let (engine, store) = (self.parts.engine.clone(), self.parts.store.clone());
        let events = self.parts.events.clone();
        log::info!("version {version} is whole, the engine is given it");
        actix_rt::spawn(async move {
            let taken = load(&engine, &store, &version, &manifest, fence).await;
            if let Err(error) = &taken {
                log::warn!("version {version} was not loaded: {error:#}");
            }
            let _ = events.send(Event::Loaded(version, taken.is_ok()));
        });
    }

    fn look(&mut self) {
        self.timers.at(self.parts.clock.now() + self.settings.look, Timer::Look);
        let (engine, events) = (self.parts.engine.clone(), self.parts.events.clone());
        actix_rt::spawn(async move {
            let state = engine.state().await.ok();
            let _ = events.send(Event::Engine(state));
        });
    }

    fn fleet(&self) -> Option<Arc<Fleet>> {
        self.adopter.in_force().map(|now| now.fleet.clone())
    }

    /// Returns the endpoint VMs of this VM's zone and pool, with their addresses.
    fn zone_peers(&self) -> Vec<(VmId, std::net::SocketAddr)> {
        let Some(fleet) = self.fleet() else { return vec![] };
        let Some(own) = fleet.vms.get(&self.settings.vm) else { return vec![] };
        let near = |vm: &&sequoiahold_core::declare::Vm| {
            matches!(vm.role, Role::Endpoint(_)) && vm.zone == own.zone && vm.role == own.role
        };
        fleet.vms.values().filter(near).map(|vm| (vm.name.clone(), vm.addr)).collect()
    }

    fn have(&self, manifest: Digest) -> Vec<u8> {
        let wanted = self.wanted.as_ref().filter(|w| w.version.manifest == manifest);
        let Some(manifest) = wanted.and_then(|wanted| wanted.manifest.as_ref()) else {
            return vec![];
        };
        let mut bits = vec![0; manifest.chunks.len().div_ceil(8)];
        let held = |digest: &Digest| self.parts.store.holds(digest);
        for (i, _) in manifest.chunks.iter().enumerate().filter(|(_, digest)| held(digest)) {
            bits[i / 8] |= 1 << (i % 8);
        }
        bits
    }

    fn beat(&self) -> Beat {
        let load = Load {
            version: self.gate.version().cloned(),
            limit: self.gate.limit(),
            running: self.gate.running(),
            open: self.gate.open(),
        };
        Beat {
            vm: self.settings.vm.clone(),
            incarnation: self.parts.clock.incarnation(),
            generation: self.adopter.generation(),
            load: Some(load),
        }
    }

    fn status(&self) -> Status {
        let transfer = self.wanted.as_ref().and_then(|wanted| wanted.transfer.as_ref());
        Status {
            vm: self.settings.vm.to_string(),
            role: "endpoint".to_owned(),
            zone: self.settings.zone.to_string(),
            incarnation: self.parts.clock.incarnation(),
            generation: self.adopter.generation(),
            version: self.gate.version().cloned(),
            missing: transfer.map_or(0, Transfer::missing),
            limit: self.gate.limit(),
            running: self.gate.running(),
            open: self.gate.open(),
            endpoints: BTreeMap::new(),
            counters: self.counters.clone(),
        }
    }

    fn count(&mut self, name: &str) {
        *self.counters.entry(name.to_owned()).or_default() += 1;
    }
}

async fn load(
    engine: &Engine,
    store: &Store,
    version: &VersionId,
    manifest: &Manifest,
    fence: Fence,
) -> anyhow::Result<()> {
    for digest in &manifest.chunks {
        let chunk = store.get(digest).ok_or_else(|| anyhow::anyhow!("chunk {digest} is gone"))?;
        engine.put(digest, chunk).await?;
    }
    engine.load(version, manifest, fence).await
}
