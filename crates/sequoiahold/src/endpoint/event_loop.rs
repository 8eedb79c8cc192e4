//! The endpoint's event loop: owns the state and does what the decisions ask for.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use sequoiahold_core::{
    adopt::Adoption,
    declare::PublishedSet,
    endpoint::{BlobSource, Decision, Endpoint, FetchSettings, Identity, Output},
    gate::{Ended, LookId},
    ids::{Digest, Fence, VersionId, VmId},
    once::CallOutcome,
    proto::{Call, KeysAsk, Reply},
    time::Time,
    units::{Bytes as Size, Span},
    weights::{ChunkOutcome, Manifest, Pacer, PullError, pace::share_under_load},
};
use tokio::sync::{mpsc, oneshot};

use super::{
    draw::Drawer,
    engine::Engine,
    event::{Admit, Event},
    store::Store,
};
use crate::{
    clock::Clock,
    metrics::Metrics,
    net::{PeerConnections, TrafficCounter, call},
    settings,
    status::Status,
};

/// Time that a question for keys may take.
const KEYS: Duration = Duration::from_secs(2);

/// What the event loop works with.
pub struct Parts {
    /// The clock.
    pub clock: Clock,
    /// The connections to peers.
    pub links: PeerConnections,
    /// The chunks that are held.
    pub store: Store,
    /// The pace of the VM's link outward and inward.
    pub pacers: [Rc<RefCell<Pacer>>; 2],
    /// The engine.
    pub engine: Engine,
    /// The sender of this loop's own events.
    pub events: mpsc::UnboundedSender<Event>,
    /// Counts the bytes between processes.
    pub traffic: TrafficCounter,
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
        let [_, inward] = &parts.pacers;
        let links = parts.links.clone();
        let drawer = Drawer::new(links, &settings.weights.origin, parts.clock, inward.clone());
        let own = Identity {
            vm: settings.vm.clone(),
            incarnation: parts.clock.incarnation(),
            epoch: Time(parts.clock.incarnation().0),
            probe_interval: settings.poll_interval,
            fetch: FetchSettings {
                rate: settings.weights.rate,
                concurrency: settings.weights.max_downloads,
                origin_region: settings.weights.region.clone(),
            },
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
                () = self.parts.clock.sleep_until(self.endpoint.next_time()) => {
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
            Event::Vms(list) => self.endpoint.update_vms(now, &list),
            Event::Engine(look, state) => {
                self.endpoint.on_engine_state(now, look, state);
                self.yield_link();
            }
            Event::Admit(admit) => self.on_admit(admit),
            Event::Head(ticket, limit) => self.endpoint.on_answer_head(&ticket, limit),
            Event::Ended(call, end, engine) => self.endpoint.on_call_end(now, &call, end, engine),
            Event::EngineCrashed(call, engine, reply) => {
                let _ = reply.send(self.endpoint.on_engine_crash(now, &call, engine));
            }
            Event::Keys(vm, given) => self.endpoint.import_handover(now, &vm, given),
            Event::TellKeys(ask, reply) => drop(reply.send(self.endpoint.handover_for(now, &ask))),
            Event::Ticket(client, service, reply) => {
                drop(reply.send(self.endpoint.issue_ticket(now, &client, &service)));
            }
            Event::Manifest(version, manifest) => self.on_manifest(&version, manifest),
            Event::Drawn(digest, data) => self.on_drawn(digest, data),
            Event::Have(peer, bits) => self.endpoint.on_chunk_bitmap(now, &peer, bits.as_deref()),
            Event::Confirm(version, reply) => {
                let _ = reply.send(self.endpoint.confirm_load(now, &version));
            }
            Event::Beat(beat) => self.endpoint.on_peer_heartbeat(now, &beat),
            Event::Loaded(version, taken) => {
                self.endpoint.on_load_finished(now, &version, taken);
                self.parts.metrics.count(if taken { "loads.taken" } else { "loads.failed" });
            }
            Event::TellHave(manifest, reply) => drop(reply.send(self.have(manifest))),
            Event::Tell(told, reply) => {
                self.endpoint.on_entry_heartbeat(now, &told);
                let _ = reply.send(self.endpoint.heartbeat_reply(now, &told));
            }
            Event::Status(reply) => drop(reply.send(self.status())),
            Event::Drain(reply) => drop(reply.send(self.endpoint.drain())),
        }
    }

    fn on_offer(&mut self, published: Arc<PublishedSet>) {
        let outcome = self.endpoint.offer_config(self.parts.clock.now(), published);
        match &outcome {
            Adoption::Adopted(_) => log::info!("{outcome}"),
            Adoption::Refused(_) => log::warn!("{outcome}"),
            Adoption::Old(_) => {}
        }
    }

    fn on_admit(&mut self, admit: Admit) {
        if !admit.looked && self.endpoint.gate().above_cold() {
            return self.look_before(admit);
        }
        let now = self.parts.clock.now();
        let decision = self.endpoint.decide_call(now, &admit.offered);
        let passed = matches!(decision, Decision::Run(_));
        if admit.reply.send(decision).is_err() && passed {
            self.endpoint.on_call_end(now, &admit.offered, CallOutcome::NotRun, Ended::Cancelled);
        }
    }

    fn on_manifest(&mut self, version: &VersionId, manifest: Option<Manifest>) {
        if let Some(manifest) = &manifest {
            self.parts.store.keep(manifest.digest(), Bytes::from(manifest.to_json()));
        }
        let store = &self.parts.store;
        let now = self.parts.clock.now();
        self.endpoint.on_manifest(now, version, manifest, |digest| store.holds(digest));
    }

    fn on_drawn(&mut self, digest: Digest, data: Result<Bytes, PullError>) {
        let drawn = data.as_deref().map_err(|error| *error);
        let outcome = self.endpoint.on_chunk(self.parts.clock.now(), digest, drawn);
        match (outcome, data) {
            (ChunkOutcome::Accepted | ChunkOutcome::Complete, Ok(data)) => {
                self.parts.store.keep(digest, data);
            }
            (ChunkOutcome::Corrupt, _) => self.parts.metrics.count("chunks.corrupt"),
            (_, Err(PullError::Later(_))) => self.parts.metrics.count("chunks.later"),
            (_, Err(_)) => self.parts.metrics.count("chunks.failed"),
            _ => {}
        }
    }

    /// Leaves the link to live traffic by the share of the endpoint that requests take.
    fn yield_link(&self) {
        let gate = self.endpoint.gate();
        let share = share_under_load(gate.running(), gate.limit());
        self.parts.pacers.iter().for_each(|pacer| pacer.borrow_mut().set_share(share));
    }

    fn perform(&mut self) {
        for output in self.endpoint.take_outputs() {
            match output {
                Output::ProbeEngine(look) => self.look(look),
                Output::ReadManifest(version, digest, places) => {
                    self.read_manifest(version, digest, places);
                }
                Output::RequestChunkBitmap(manifest, vm, addr) => {
                    let (drawer, events) = (self.drawer.clone(), self.parts.events.clone());
                    actix_rt::spawn(async move {
                        let bits = drawer.have(manifest, &vm, addr).await;
                        let _ = events.send(Event::Have(vm, bits));
                    });
                }
                Output::RequestHandover(vm, addr, ask) => self.ask_keys(vm, addr, ask),
                Output::RequestHeartbeat(vm, addr) => {
                    let (drawer, events) = (self.drawer.clone(), self.parts.events.clone());
                    let beat = Box::new(self.endpoint.heartbeat());
                    actix_rt::spawn(async move {
                        if let Some(beat) = drawer.beat(beat, &vm, addr).await {
                            let _ = events.send(Event::Beat(beat));
                        }
                    });
                }
                Output::FetchChunk(digest, place, timeout) => self.draw(digest, place, timeout),
                Output::RetainChunks(manifest) => self.parts.store.retain(&manifest),
                Output::LoadVersion(version, manifest, fence) => {
                    self.load(version, manifest, fence)
                }
            }
        }
    }

    fn ask_keys(&self, vm: VmId, addr: SocketAddr, ask: Box<KeysAsk>) {
        let (links, events) = (self.parts.links.clone(), self.parts.events.clone());
        actix_rt::spawn(async move {
            let asked = async {
                let connection = links.acquire(&vm, addr).await?;
                call(&connection, &Call::Keys(ask)).await
            };
            match actix_rt::time::timeout(KEYS, asked).await {
                Ok(Ok(Reply::Keys(given))) => drop(events.send(Event::Keys(vm, *given))),
                _ => links.close(&vm),
            }
        });
    }

    /// Looks at the engine, then has the request decided on what the look shows.
    fn look_before(&mut self, admit: Admit) {
        let look = self.endpoint.begin_probe();
        let (engine, events) = (self.parts.engine.clone(), self.parts.events.clone());
        actix_rt::spawn(async move {
            let state = engine.state().await.ok();
            let _ = events.send(Event::Engine(look, state));
            let _ = events.send(Event::Admit(Admit { looked: true, ..admit }));
        });
    }

    fn look(&self, look: LookId) {
        let (engine, events) = (self.parts.engine.clone(), self.parts.events.clone());
        actix_rt::spawn(async move {
            let state = engine.state().await.ok();
            let _ = events.send(Event::Engine(look, state));
        });
    }

    fn read_manifest(&self, version: VersionId, digest: Digest, places: Vec<BlobSource>) {
        let (drawer, events) = (self.drawer.clone(), self.parts.events.clone());
        actix_rt::spawn(async move {
            let manifest = drawer.manifest(digest, &places).await;
            let _ = events.send(Event::Manifest(version, manifest));
        });
    }

    fn draw(&self, digest: Digest, place: BlobSource, timeout: Span) {
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
        let beat = self.endpoint.heartbeat();
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
