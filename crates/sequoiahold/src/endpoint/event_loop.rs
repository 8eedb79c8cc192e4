//! The endpoint's event loop: owns the state and does what the decisions ask for.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc};

use bytes::Bytes;
use sequoiahold_core::{
    adopt::{Adoption, InForce},
    declare::Published,
    endpoint::{Drawing, Endpoint, Identity, Output, Place},
    ids::{Digest, Fence, VersionId},
    units::{Bytes as Size, Span},
    weights::{DrawError, Manifest, Pacer, TransferOutcome, pace::share},
};
use tokio::sync::{mpsc, watch};

use super::{
    draw::Drawer,
    engine::Engine,
    event::{Admit, Event},
    store::Store,
};
use crate::{clock::Clock, net::Links, settings, status::Status};

/// What the event loop works with.
pub struct Parts {
    /// The clock.
    pub clock: Clock,
    /// The connections to peers.
    pub links: Links,
    /// The chunks that are held.
    pub store: Store,
    /// The pace of the VM's link outward and inward.
    pub pacers: [Rc<RefCell<Pacer>>; 2],
    /// The engine.
    pub engine: Engine,
    /// Shows the configuration in force to the tasks.
    pub in_force: watch::Sender<Option<InForce>>,
    /// The sender of this loop's own events.
    pub events: mpsc::UnboundedSender<Event>,
}

/// The state of an endpoint process.
pub struct EventLoop {
    settings: settings::Endpoint,
    parts: Parts,
    drawer: Drawer,
    endpoint: Endpoint,
    counters: BTreeMap<String, u64>,
}

impl EventLoop {
    /// Returns the event loop of a process that knows nothing yet.
    pub fn new(settings: settings::Endpoint, parts: Parts) -> Self {
        let [_, inward] = &parts.pacers;
        let links = parts.links.clone();
        let drawer = Drawer::new(links, &settings.weights.origin, parts.clock, inward.clone());
        let own = Identity {
            vm: settings.vm.clone(),
            incarnation: parts.clock.incarnation(),
            look: settings.look,
            drawing: Drawing {
                rate: settings.weights.rate,
                draws: settings.weights.draws,
                region: settings.weights.region.clone(),
            },
        };
        let endpoint = Endpoint::new(own, parts.clock.now());
        Self { settings, parts, drawer, endpoint, counters: BTreeMap::new() }
    }

    /// Handles events and timers until all senders are gone.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Event>) {
        loop {
            tokio::select! {
                event = receiver.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                () = self.parts.clock.until(self.endpoint.next_time()) => {
                    self.endpoint.tick(self.parts.clock.now());
                }
            }
            self.perform();
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = self.parts.clock.now();
        match event {
            Event::Offer(published) => self.on_offer(published),
            Event::Vms(list) => self.endpoint.list(&list),
            Event::Engine(state) => {
                self.endpoint.engine(now, state);
                self.give_way();
            }
            Event::Admit(admit) => self.on_admit(admit),
            Event::Finish(ticket) => self.endpoint.finished(&ticket),
            Event::Manifest(version, manifest) => self.on_manifest(&version, manifest),
            Event::Drawn(digest, data) => self.on_drawn(digest, data),
            Event::Have(peer, bits) => self.endpoint.have(now, &peer, bits.as_deref()),
            Event::Beat(beat) => self.endpoint.beat_of(now, &beat),
            Event::Loaded(version, taken) => {
                self.endpoint.loaded(now, &version, taken);
                self.count(if taken { "loads.taken" } else { "loads.failed" });
            }
            Event::TellHave(manifest, reply) => drop(reply.send(self.have(manifest))),
            Event::Set(above, reply) => drop(reply.send(self.endpoint.newer(above))),
            Event::Tell(reply) => drop(reply.send(self.endpoint.beat())),
            Event::Status(reply) => drop(reply.send(self.status())),
            Event::Drain(reply) => drop(reply.send(self.endpoint.drain())),
        }
    }

    fn on_offer(&mut self, published: Arc<Published>) {
        let outcome = self.endpoint.offer(self.parts.clock.now(), published);
        match &outcome {
            Adoption::Adopted(_) => log::info!("{outcome}"),
            Adoption::Refused(_) => log::warn!("{outcome}"),
            Adoption::Old(_) => return,
        }
        self.parts.in_force.send_replace(self.endpoint.in_force().cloned());
    }

    fn on_admit(&mut self, admit: Admit) {
        let decision = self.endpoint.ask(admit.ticket.clone(), &admit.service);
        let passed = decision.is_ok();
        if admit.reply.send(decision).is_err() && passed {
            self.endpoint.finished(&admit.ticket);
        }
    }

    fn on_manifest(&mut self, version: &VersionId, manifest: Option<Manifest>) {
        if let Some(manifest) = &manifest {
            self.parts.store.keep(manifest.digest(), Bytes::from(manifest.text()));
        }
        let store = &self.parts.store;
        let now = self.parts.clock.now();
        self.endpoint.manifest(now, version, manifest, |digest| store.holds(digest));
    }

    fn on_drawn(&mut self, digest: Digest, data: Result<Bytes, DrawError>) {
        let drawn = data.as_deref().map_err(|error| *error);
        let outcome = self.endpoint.drawn(self.parts.clock.now(), digest, drawn);
        match (outcome, data) {
            (TransferOutcome::Kept | TransferOutcome::Whole, Ok(data)) => {
                self.parts.store.keep(digest, data);
            }
            (TransferOutcome::Corrupt, _) => self.count("chunks.corrupt"),
            (_, Err(DrawError::Later(_))) => self.count("chunks.later"),
            (_, Err(_)) => self.count("chunks.failed"),
            _ => {}
        }
    }

    /// Leaves the link to live traffic by the share of the endpoint that requests take.
    fn give_way(&self) {
        let gate = self.endpoint.gate();
        let share = share(gate.running(), gate.limit());
        self.parts.pacers.iter().for_each(|pacer| pacer.borrow_mut().set_share(share));
    }

    fn perform(&mut self) {
        for output in self.endpoint.outputs() {
            match output {
                Output::Look => self.look(),
                Output::ReadManifest(version, digest, places) => {
                    self.read_manifest(version, digest, places);
                }
                Output::AskHave(manifest, vm, addr) => {
                    let (drawer, events) = (self.drawer.clone(), self.parts.events.clone());
                    actix_rt::spawn(async move {
                        let bits = drawer.have(manifest, &vm, addr).await;
                        let _ = events.send(Event::Have(vm, bits));
                    });
                }
                Output::AskBeat(vm, addr) => {
                    let (drawer, events) = (self.drawer.clone(), self.parts.events.clone());
                    let beat = Box::new(self.endpoint.beat());
                    actix_rt::spawn(async move {
                        if let Some(beat) = drawer.beat(beat, &vm, addr).await {
                            let _ = events.send(Event::Beat(beat));
                        }
                    });
                }
                Output::Draw(digest, place, timeout) => self.draw(digest, place, timeout),
                Output::Retain(manifest) => self.parts.store.retain(&manifest),
                Output::Load(version, manifest, fence) => self.load(version, manifest, fence),
            }
        }
    }

    fn look(&self) {
        let (engine, events) = (self.parts.engine.clone(), self.parts.events.clone());
        actix_rt::spawn(async move {
            let state = engine.state().await.ok();
            let _ = events.send(Event::Engine(state));
        });
    }

    fn read_manifest(&self, version: VersionId, digest: Digest, places: Vec<Place>) {
        let (drawer, events) = (self.drawer.clone(), self.parts.events.clone());
        actix_rt::spawn(async move {
            let manifest = drawer.manifest(digest, &places).await;
            let _ = events.send(Event::Manifest(version, manifest));
        });
    }

    fn draw(&self, digest: Digest, place: Place, timeout: Span) {
        let (drawer, events) = (self.drawer.clone(), self.parts.events.clone());
        let size = self.endpoint.chunk_size().unwrap_or(Size(0));
        actix_rt::spawn(async move {
            let data = drawer.chunk(digest, size, &place, timeout).await;
            let _ = events.send(Event::Drawn(digest, data));
        });
    }

    fn load(&self, version: VersionId, manifest: Arc<Manifest>, fence: Fence) {
        log::info!("version {version} is whole, the engine is given it");
        let (engine, store) = (self.parts.engine.clone(), self.parts.store.clone());
        let events = self.parts.events.clone();
        actix_rt::spawn(async move {
            let taken = give(&engine, &store, &version, &manifest, fence).await;
            if let Err(error) = &taken {
                log::warn!("version {version} was not loaded: {error:#}");
            }
            let _ = events.send(Event::Loaded(version, taken.is_ok()));
        });
    }

    fn have(&self, manifest: Digest) -> Vec<u8> {
        let Some(manifest) = self.endpoint.known_manifest(manifest) else { return vec![] };
        let mut bits = vec![0; manifest.chunks.len().div_ceil(8)];
        let held = |digest: &Digest| self.parts.store.holds(digest);
        for (i, _) in manifest.chunks.iter().enumerate().filter(|(_, digest)| held(digest)) {
            bits[i / 8] |= 1 << (i % 8);
        }
        bits
    }

    fn status(&self) -> Status {
        let beat = self.endpoint.beat();
        let gate = self.endpoint.gate();
        Status {
            vm: self.settings.vm.to_string(),
            role: "endpoint".to_owned(),
            zone: self.settings.zone.to_string(),
            incarnation: beat.incarnation,
            generation: beat.generation,
            version: gate.version().cloned(),
            missing: self.endpoint.missing(),
            limit: gate.limit(),
            running: gate.running(),
            open: gate.open(),
            endpoints: BTreeMap::new(),
            counters: self.counters.clone(),
        }
    }

    fn count(&mut self, name: &str) {
        *self.counters.entry(name.to_owned()).or_default() += 1;
    }
}

async fn give(
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
