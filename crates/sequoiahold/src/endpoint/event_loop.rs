//! The endpoint's event loop, which owns the state machine and carries out its outputs.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use sequoiahold_core::{
    adopt::Adoption,
    declare::PublishedSet,
    endpoint::{BlobSource, Decision, Endpoint, Identity, Output, PullSettings},
    gate::{ProbeId, RequestEnd},
    ids::{Digest, FenceToken, VersionId, VmId},
    once::CallOutcome,
    proto::{Call, KeysQuery, Reply},
    time::Time,
    units::{Bytes as Size, Span},
    weights::{ChunkOutcome, Manifest, Pacer, PullError, pace::share_under_load},
};
use tokio::sync::{mpsc, oneshot};

use super::{
    engine::EngineClient,
    event::{AdmissionRequest, Event},
    fetch::BlobFetcher,
    store::ChunkStore,
};
use crate::{
    clock::Clock,
    metrics::Metrics,
    net::{PeerConnections, TrafficCounter, call},
    settings,
    status::Status,
};

/// Timeout of a handover request.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// The clock, connections and stores that the event loop uses.
pub struct Context {
    /// The clock of the process.
    pub clock: Clock,
    /// The connections to peers.
    pub connections: PeerConnections,
    /// The store of chunks.
    pub store: ChunkStore,
    /// The pacers of outbound and inbound weight traffic on the VM's link, in this order.
    pub pacers: [Rc<RefCell<Pacer>>; 2],
    /// The client of the engine.
    pub engine: EngineClient,
    /// The sender of events to this loop.
    pub events: mpsc::UnboundedSender<Event>,
    /// The counter of bytes exchanged with other processes.
    pub traffic: TrafficCounter,
    /// The counters.
    pub metrics: Metrics,
}

/// The event loop of an endpoint process.
pub struct EventLoop {
    settings: settings::Endpoint,
    context: Context,
    fetcher: BlobFetcher,
    endpoint: Endpoint,
}

impl EventLoop {
    /// Returns the event loop of a process without a configuration.
    pub fn new(settings: settings::Endpoint, context: Context) -> Self {
        let [_, inbound] = &context.pacers;
        let connections = context.connections.clone();
        let fetcher =
            BlobFetcher::new(connections, &settings.weights.origin, context.clock, inbound.clone());
        let own = Identity {
            vm: settings.vm.clone(),
            incarnation: context.clock.incarnation(),
            epoch: Time(context.clock.incarnation().0),
            probe_interval: settings.probe_interval,
            pull: PullSettings {
                rate: settings.weights.rate,
                concurrency: settings.weights.max_pulls,
                origin_region: settings.weights.region.clone(),
            },
        };
        let endpoint = Endpoint::new(own, context.clock.now());
        Self { settings, context, fetcher, endpoint }
    }

    /// Handles events and timers until all event senders are dropped.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Event>) {
        loop {
            tokio::select! {
                event = receiver.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                () = self.context.clock.sleep_until(self.endpoint.next_time()) => {
                    self.endpoint.tick(self.context.clock.now());
                }
            }
            self.perform_outputs();
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = self.context.clock.now();
        match event {
            Event::ConfigOffered(published) => self.on_config_offered(published),
            Event::VmsListed(list) => self.endpoint.update_vms(now, &list),
            Event::EngineProbed(probe, state) => {
                self.endpoint.on_engine_state(now, probe, state);
                self.update_link_share();
            }
            Event::Admit(request) => self.on_admit(request),
            Event::ResponseHead(ticket, limit) => self.endpoint.on_answer_head(&ticket, limit),
            Event::CallEnded(call, outcome, engine_end) => {
                self.endpoint.on_call_end(now, &call, outcome, engine_end)
            }
            Event::EngineCrashed(call, incarnation, reply) => {
                let _ = reply.send(self.endpoint.on_engine_crash(now, &call, incarnation));
            }
            Event::HandoverReceived(vm, handover) => {
                self.endpoint.import_handover(now, &vm, handover)
            }
            Event::GetHandover(query, reply) => {
                drop(reply.send(self.endpoint.handover_for(now, &query)))
            }
            Event::IssueTicket(client, service, reply) => {
                drop(reply.send(self.endpoint.issue_ticket(now, &client, &service)));
            }
            Event::ManifestRead(version, manifest) => self.on_manifest(&version, manifest),
            Event::ChunkPulled(digest, data) => self.on_chunk_pulled(digest, data),
            Event::ChunkBitmapReceived(peer, bitmap) => {
                self.endpoint.on_chunk_bitmap(now, &peer, bitmap.as_deref())
            }
            Event::ConfirmLoad(version, reply) => {
                let _ = reply.send(self.endpoint.confirm_load(now, &version));
            }
            Event::HeartbeatReply(heartbeat) => self.endpoint.on_peer_heartbeat(now, &heartbeat),
            Event::LoadFinished(version, loaded) => {
                self.endpoint.on_load_finished(now, &version, loaded);
                self.context.metrics.count(if loaded { "loads.taken" } else { "loads.failed" });
            }
            Event::GetChunkBitmap(manifest, reply) => drop(reply.send(self.chunk_bitmap(manifest))),
            Event::HeartbeatCall(received, reply) => {
                self.endpoint.on_entry_heartbeat(now, &received);
                let _ = reply.send(self.endpoint.heartbeat_reply(now, &received));
            }
            Event::GetStatus(reply) => drop(reply.send(self.status())),
            Event::Drain(reply) => drop(reply.send(self.endpoint.drain())),
        }
    }

    fn on_config_offered(&mut self, published: Arc<PublishedSet>) {
        let outcome = self.endpoint.offer_config(self.context.clock.now(), published);
        match &outcome {
            Adoption::Adopted(_) => log::info!("{outcome}"),
            Adoption::Refused(_) => log::warn!("{outcome}"),
            Adoption::NotNewer(_) => {}
        }
    }

    fn on_admit(&mut self, request: AdmissionRequest) {
        if !request.probed && self.endpoint.gate().exceeds_cold_limit() {
            return self.probe_then_admit(request);
        }
        let now = self.context.clock.now();
        let decision = self.endpoint.decide_call(now, &request.offered);
        let admitted = matches!(decision, Decision::Run(_));
        if request.reply.send(decision).is_err() && admitted {
            self.endpoint.on_call_end(
                now,
                &request.offered,
                CallOutcome::NotRun,
                RequestEnd::Cancelled,
            );
        }
    }

    fn on_manifest(&mut self, version: &VersionId, manifest: Option<Manifest>) {
        if let Some(manifest) = &manifest {
            self.context.store.insert(manifest.digest(), Bytes::from(manifest.to_json()));
        }
        let store = &self.context.store;
        let now = self.context.clock.now();
        self.endpoint.on_manifest(now, version, manifest, |digest| store.contains(digest));
    }

    fn on_chunk_pulled(&mut self, digest: Digest, data: Result<Bytes, PullError>) {
        let pulled = data.as_deref().map_err(|error| *error);
        let outcome = self.endpoint.on_chunk(self.context.clock.now(), digest, pulled);
        match (outcome, data) {
            (ChunkOutcome::Accepted | ChunkOutcome::Complete, Ok(data)) => {
                self.context.store.insert(digest, data);
            }
            (ChunkOutcome::Corrupt, _) => self.context.metrics.count("chunks.corrupt"),
            (_, Err(PullError::Later(_))) => self.context.metrics.count("chunks.later"),
            (_, Err(_)) => self.context.metrics.count("chunks.failed"),
            _ => {}
        }
    }

    /// Reduces the share of the link for weights as the load of requests grows.
    fn update_link_share(&self) {
        let gate = self.endpoint.gate();
        let share = share_under_load(gate.running(), gate.limit());
        self.context.pacers.iter().for_each(|pacer| pacer.borrow_mut().set_share(share));
    }

    fn perform_outputs(&mut self) {
        for output in self.endpoint.take_outputs() {
            match output {
                Output::ProbeEngine(probe) => self.probe_engine(probe),
                Output::ReadManifest(version, digest, sources) => {
                    self.read_manifest(version, digest, sources);
                }
                Output::RequestChunkBitmap(manifest, vm, addr) => {
                    let (fetcher, events) = (self.fetcher.clone(), self.context.events.clone());
                    actix_rt::spawn(async move {
                        let bitmap = fetcher.get_bitmap(manifest, &vm, addr).await;
                        let _ = events.send(Event::ChunkBitmapReceived(vm, bitmap));
                    });
                }
                Output::RequestHandover(vm, addr, query) => self.request_handover(vm, addr, query),
                Output::RequestHeartbeat(vm, addr) => {
                    let (fetcher, events) = (self.fetcher.clone(), self.context.events.clone());
                    let heartbeat = Box::new(self.endpoint.heartbeat());
                    actix_rt::spawn(async move {
                        if let Some(heartbeat) =
                            fetcher.exchange_heartbeat(heartbeat, &vm, addr).await
                        {
                            let _ = events.send(Event::HeartbeatReply(heartbeat));
                        }
                    });
                }
                Output::PullChunk(digest, source, timeout) => {
                    self.pull_chunk(digest, source, timeout)
                }
                Output::RetainChunks(manifest) => self.context.store.retain(&manifest),
                Output::LoadVersion(version, manifest, fence) => {
                    self.load_version(version, manifest, fence)
                }
            }
        }
    }

    fn request_handover(&self, vm: VmId, addr: SocketAddr, query: Box<KeysQuery>) {
        let (connections, events) = (self.context.connections.clone(), self.context.events.clone());
        actix_rt::spawn(async move {
            let exchange = async {
                let connection = connections.acquire(&vm, addr).await?;
                call(&connection, &Call::Keys(query)).await
            };
            match actix_rt::time::timeout(HANDOVER_TIMEOUT, exchange).await {
                Ok(Ok(Reply::Keys(handover))) => {
                    drop(events.send(Event::HandoverReceived(vm, *handover)))
                }
                _ => connections.close(&vm),
            }
        });
    }

    /// Probes the engine and then decides the request by the state that the probe reports.
    fn probe_then_admit(&mut self, request: AdmissionRequest) {
        let probe = self.endpoint.begin_probe();
        let (engine, events) = (self.context.engine.clone(), self.context.events.clone());
        actix_rt::spawn(async move {
            let state = engine.state().await.ok();
            let _ = events.send(Event::EngineProbed(probe, state));
            let _ = events.send(Event::Admit(AdmissionRequest { probed: true, ..request }));
        });
    }

    fn probe_engine(&self, probe: ProbeId) {
        let (engine, events) = (self.context.engine.clone(), self.context.events.clone());
        actix_rt::spawn(async move {
            let state = engine.state().await.ok();
            let _ = events.send(Event::EngineProbed(probe, state));
        });
    }

    fn read_manifest(&self, version: VersionId, digest: Digest, sources: Vec<BlobSource>) {
        let (fetcher, events) = (self.fetcher.clone(), self.context.events.clone());
        actix_rt::spawn(async move {
            let manifest = fetcher.fetch_manifest(digest, &sources).await;
            let _ = events.send(Event::ManifestRead(version, manifest));
        });
    }

    fn pull_chunk(&self, digest: Digest, source: BlobSource, timeout: Span) {
        let (fetcher, events) = (self.fetcher.clone(), self.context.events.clone());
        let size = self.endpoint.chunk_size().unwrap_or(Size(0));
        actix_rt::spawn(async move {
            let data = fetcher.pull_chunk(digest, size, &source, timeout).await;
            let _ = events.send(Event::ChunkPulled(digest, data));
        });
    }

    fn load_version(&self, version: VersionId, manifest: Arc<Manifest>, fence: FenceToken) {
        log::info!("all chunks of version {version} are stored, uploading it to the engine");
        let (engine, store) = (self.context.engine.clone(), self.context.store.clone());
        let events = self.context.events.clone();
        actix_rt::spawn(async move {
            let job = LoadJob { version: &version, manifest: &manifest, fence };
            let result = load_engine(&engine, &store, job, &events).await;
            if let Err(error) = &result {
                log::warn!("version {version} was not loaded: {error:#}");
            }
            let _ = events.send(Event::LoadFinished(version, result.is_ok()));
        });
    }

    fn chunk_bitmap(&self, manifest: Digest) -> Vec<u8> {
        let Some(manifest) = self.endpoint.known_manifest(manifest) else { return vec![] };
        let mut bitmap = vec![0; manifest.chunks.len().div_ceil(8)];
        let is_stored = |digest: &Digest| self.context.store.contains(digest);
        for (i, _) in manifest.chunks.iter().enumerate().filter(|(_, digest)| is_stored(digest)) {
            bitmap[i / 8] |= 1 << (i % 8);
        }
        bitmap
    }

    fn status(&self) -> Status {
        let heartbeat = self.endpoint.heartbeat();
        let gate = self.endpoint.gate();
        Status {
            vm: self.settings.vm.to_string(),
            role: "endpoint".to_owned(),
            zone: self.settings.zone.to_string(),
            incarnation: heartbeat.incarnation,
            generation: heartbeat.generation,
            version: gate.version().cloned(),
            missing: self.endpoint.missing(),
            limit: gate.limit(),
            running: gate.running(),
            open: gate.is_open(),
            superseded: self.endpoint.superseded(),
            counters: self.context.metrics.counters(),
            wire: self.context.traffic.total(),
            ..Status::default()
        }
    }
}

struct LoadJob<'a> {
    version: &'a VersionId,
    manifest: &'a Manifest,
    fence: FenceToken,
}

/// Uploads the chunks of a version to the engine, then sends the load command if still allowed.
async fn load_engine(
    engine: &EngineClient,
    store: &ChunkStore,
    job: LoadJob<'_>,
    events: &mpsc::UnboundedSender<Event>,
) -> anyhow::Result<()> {
    for digest in &job.manifest.chunks {
        let chunk =
            store.get(digest).ok_or_else(|| anyhow::anyhow!("chunk {digest} is not stored"))?;
        engine.put_chunk(digest, chunk).await?;
    }
    let (reply, confirmed) = oneshot::channel();
    let _ = events.send(Event::ConfirmLoad(job.version.clone(), reply));
    if !confirmed.await.unwrap_or(false) {
        anyhow::bail!("this process may no longer command the engine to load the version");
    }
    engine.load(job.version, job.manifest, job.fence).await
}
