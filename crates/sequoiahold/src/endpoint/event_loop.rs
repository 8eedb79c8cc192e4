//! The endpoint's event loop: owns the state and does what the decisions ask for.

use std::sync::Arc;

use bytes::Bytes;
use sequoiahold_core::{
    adopt::{Adoption, InForce},
    declare::Published,
    endpoint::{Endpoint, Identity, Output, Place},
    gate::{Ended, LookId},
    ids::{Digest, Fence, VersionId},
    weights::{Manifest, TransferOutcome},
};
use tokio::sync::{mpsc, oneshot, watch};

use super::{
    draw::Drawer,
    engine::Engine,
    event::{Admit, Event},
    store::Store,
};
use crate::{
    clock::Clock,
    metrics::Metrics,
    net::{Links, Traffic},
    settings,
    status::Status,
};

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
    /// Counts the bytes between processes.
    pub traffic: Traffic,
    /// The counters.
    pub metrics: Metrics,
}

/// The state of an endpoint process.
pub struct EventLoop {
    settings: settings::Endpoint,
    parts: Parts,
    drawer: Drawer,
    endpoint: Endpoint,
}

impl EventLoop {
    /// Returns the event loop of a process that knows nothing yet.
    pub fn new(settings: settings::Endpoint, parts: Parts) -> Self {
        let drawer = Drawer::new(parts.links.clone(), &settings.weights.origin);
        let own = Identity {
            vm: settings.vm.clone(),
            incarnation: parts.clock.incarnation(),
            look: settings.look,
            draws: settings.weights.draws,
        };
        let endpoint = Endpoint::new(own, parts.clock.now());
        Self { settings, parts, drawer, endpoint }
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
            Event::Engine(look, state) => self.endpoint.engine(now, look, state),
            Event::Admit(admit) => self.on_admit(admit),
            Event::Head(ticket, limit) => self.endpoint.head(&ticket, limit),
            Event::Finish(ticket, ended) => self.endpoint.finished(&ticket, ended),
            Event::Manifest(version, manifest) => self.on_manifest(&version, manifest),
            Event::Drawn(digest, data) => self.on_drawn(digest, data),
            Event::Have(peer, bits) => self.endpoint.have(now, &peer, &bits),
            Event::Confirm(version, reply) => {
                let _ = reply.send(self.endpoint.confirm(now, &version));
            }
            Event::Loaded(version, taken) => {
                self.endpoint.loaded(now, &version, taken);
                self.parts.metrics.count(if taken { "loads.taken" } else { "loads.failed" });
            }
            Event::TellHave(manifest, reply) => drop(reply.send(self.have(manifest))),
            Event::Set(above, reply) => drop(reply.send(self.endpoint.newer(above))),
            Event::Tell(told, reply) => drop(reply.send(self.endpoint.answer(now, &told))),
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
        let now = self.parts.clock.now();
        let decision = self.endpoint.ask(now, admit.ticket.clone(), &admit.service);
        let passed = decision.is_ok();
        if admit.reply.send(decision).is_err() && passed {
            self.endpoint.finished(&admit.ticket, Ended::Cancelled);
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

    fn on_drawn(&mut self, digest: Digest, data: Option<Bytes>) {
        let outcome = self.endpoint.drawn(self.parts.clock.now(), digest, data.as_deref());
        match (outcome, data) {
            (TransferOutcome::Kept | TransferOutcome::Whole, Some(data)) => {
                self.parts.store.keep(digest, data);
            }
            (TransferOutcome::Corrupt, _) => self.parts.metrics.count("chunks.corrupt"),
            _ => {}
        }
    }

    fn perform(&mut self) {
        for output in self.endpoint.outputs() {
            match output {
                Output::Look(look) => self.look(look),
                Output::ReadManifest(version, digest, places) => {
                    self.read_manifest(version, digest, places);
                }
                Output::AskHave(manifest, vm, addr) => {
                    let (drawer, events) = (self.drawer.clone(), self.parts.events.clone());
                    actix_rt::spawn(async move {
                        if let Some(bits) = drawer.have(manifest, &vm, addr).await {
                            let _ = events.send(Event::Have(vm, bits));
                        }
                    });
                }
                Output::Draw(digest, place) => self.draw(digest, place),
                Output::Load(version, manifest, fence) => self.load(version, manifest, fence),
            }
        }
    }

    fn look(&self, look: LookId) {
        let (engine, events) = (self.parts.engine.clone(), self.parts.events.clone());
        actix_rt::spawn(async move {
            let state = engine.state().await.ok();
            let _ = events.send(Event::Engine(look, state));
        });
    }

    fn read_manifest(&self, version: VersionId, digest: Digest, places: Vec<Place>) {
        let (drawer, events) = (self.drawer.clone(), self.parts.events.clone());
        actix_rt::spawn(async move {
            let manifest = drawer.manifest(digest, &places).await;
            let _ = events.send(Event::Manifest(version, manifest));
        });
    }

    fn draw(&self, digest: Digest, place: Place) {
        let (drawer, events) = (self.drawer.clone(), self.parts.events.clone());
        actix_rt::spawn(async move {
            let data = drawer.draw(digest, &place).await;
            let _ = events.send(Event::Drawn(digest, data));
        });
    }

    fn load(&self, version: VersionId, manifest: Arc<Manifest>, fence: Fence) {
        log::info!("version {version} is whole, the engine is given it");
        let (engine, store) = (self.parts.engine.clone(), self.parts.store.clone());
        let events = self.parts.events.clone();
        actix_rt::spawn(async move {
            let order = Order { version: &version, manifest: &manifest, fence };
            let taken = give(&engine, &store, order, &events).await;
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
            superseded: self.endpoint.superseded(),
            counters: self.parts.metrics.counters(),
            wire: self.parts.traffic.total(),
            ..Status::default()
        }
    }
}

struct Order<'a> {
    version: &'a VersionId,
    manifest: &'a Manifest,
    fence: Fence,
}

/// Hands the engine the chunks of a version, then the order to load it if it may still be given.
async fn give(
    engine: &Engine,
    store: &Store,
    order: Order<'_>,
    events: &mpsc::UnboundedSender<Event>,
) -> anyhow::Result<()> {
    for digest in &order.manifest.chunks {
        let chunk = store.get(digest).ok_or_else(|| anyhow::anyhow!("chunk {digest} is gone"))?;
        engine.put(digest, chunk).await?;
    }
    let (reply, confirmed) = oneshot::channel();
    let _ = events.send(Event::Confirm(order.version.clone(), reply));
    if !confirmed.await.unwrap_or(false) {
        anyhow::bail!("the order is no longer this process's to give");
    }
    engine.load(order.version, order.manifest, order.fence).await
}
