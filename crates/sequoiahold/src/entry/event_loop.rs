//! The entry's event loop: owns the state and does what the decisions ask for.

use std::{net::SocketAddr, sync::Arc};

use sequoiahold_core::{
    adopt::{Adoption, InForce},
    declare::PublishedSet,
    entry::{Entry, Identity, Output, RequestKey},
    ids::VmId,
    proto::{Call, Reply},
    route::{Known, Policy},
    units::Span,
};
use slotmap::SecondaryMap;
use tokio::sync::{mpsc, watch};

use super::event::{Event, Send, Step};
use crate::{
    clock::Clock,
    metrics::Metrics,
    net::{PeerConnections, TrafficCounter, call},
    settings,
    status::{EndpointStatus, Status},
};

/// Heartbeat intervals without an answer after which a connection is replaced.
const SILENT_BEATS: u64 = 3;

/// What the event loop works with.
pub struct Parts {
    /// The clock.
    pub clock: Clock,
    /// The connections to endpoints.
    pub links: PeerConnections,
    /// Shows the configuration in force to the tasks.
    pub in_force: watch::Sender<Option<InForce>>,
    /// The sender of this loop's own events.
    pub events: mpsc::UnboundedSender<Event>,
    /// Counts the bytes between processes.
    pub traffic: TrafficCounter,
}

/// The state of an entry process.
pub struct EventLoop {
    settings: settings::Entry,
    parts: Parts,
    entry: Entry,
    waiting: SecondaryMap<RequestKey, mpsc::UnboundedSender<Step>>,
    metrics: Metrics,
}

impl EventLoop {
    /// Returns the event loop of a process that knows nothing yet.
    pub fn new(settings: settings::Entry, parts: Parts, metrics: Metrics) -> Self {
        let own = Identity {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            incarnation: parts.clock.incarnation(),
            heartbeat: settings.heartbeat,
            policy: Policy::Credits,
        };
        let entry = Entry::new(own, parts.clock.incarnation().0);
        Self { settings, parts, entry, waiting: SecondaryMap::new(), metrics }
    }

    /// Handles events and timers until all senders are gone.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Event>) {
        loop {
            tokio::select! {
                event = receiver.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                () = self.parts.clock.sleep_until(self.entry.next_time()) => {
                    self.entry.tick(self.parts.clock.now());
                }
            }
            self.perform();
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = self.parts.clock.now();
        match event {
            Event::Offer(published) => self.on_offer(published),
            Event::Vms(list) => self.entry.update_vms(&list),
            Event::Beat(beat) => self.entry.on_heartbeat(now, *beat),
            Event::Silent(vm) => self.entry.on_heartbeat_timeout(&vm),
            Event::Arrive(arrival, steps) => {
                let key = self.entry.on_arrival(now, arrival);
                self.waiting.insert(key, steps);
            }
            Event::Refused(key, refusal) => self.entry.on_refused(now, key, refusal),
            Event::Started(key) => self.entry.on_started(key),
            Event::Failed(key, failure) => self.entry.on_failed(now, key, failure),
            Event::Ended(key) => {
                self.entry.on_completed(now, key);
                self.metrics.count("requests.answered");
            }
            Event::Left(key) => {
                self.entry.on_caller_gone(now, key);
                self.metrics.count("requests.left");
            }
            Event::Tell(reply) => drop(reply.send(self.entry.heartbeat())),
            Event::Issuer(service, reply) => {
                drop(reply.send(self.entry.choose_issuer(now, &service)))
            }
            Event::Status(reply) => drop(reply.send(self.status())),
        }
    }

    fn on_offer(&mut self, published: Arc<PublishedSet>) {
        let outcome = self.entry.offer_config(self.parts.clock.now(), published);
        match &outcome {
            Adoption::Adopted(_) => log::info!("{outcome}"),
            Adoption::Refused(_) => log::warn!("{outcome}"),
            Adoption::Old(_) => return,
        }
        if let Some(now) = self.entry.in_force() {
            self.metrics.track_accounts(&now.fleet);
            self.metrics.gauge("generation", now.published.head.generation.0);
        }
        self.parts.in_force.send_replace(self.entry.in_force().cloned());
    }

    fn perform(&mut self) {
        for output in self.entry.take_outputs() {
            match output {
                Output::Send { request, id, vm, addr, target_incarnation: to, left } => {
                    self.step(request, Step::Send(Send { request, id, vm, addr, to, left }));
                }
                Output::Refuse(key, refusal) => {
                    self.metrics.count("requests.refused");
                    self.step(key, Step::Refuse(refusal));
                }
                Output::Fail(key, failure) => {
                    self.metrics.count("requests.failed");
                    self.step(key, Step::Fail(failure));
                }
                Output::SendHeartbeat(vm, addr) => self.send_beat(vm, addr),
                Output::CloseConnection(vm) => self.parts.links.close(&vm),
            }
        }
    }

    fn step(&mut self, key: RequestKey, step: Step) {
        if let Some(steps) = self.waiting.get(key) {
            let _ = steps.send(step);
        }
    }

    fn send_beat(&self, vm: VmId, addr: SocketAddr) {
        let (links, events) = (self.parts.links.clone(), self.parts.events.clone());
        let beat = Call::Beat(Box::new(self.entry.heartbeat_for(&vm)));
        let patience = Span(self.settings.heartbeat.0 * SILENT_BEATS);
        actix_rt::spawn(async move {
            let Ok(connection) = links.acquire(&vm, addr).await else {
                if !links.is_connected(&vm) {
                    let _ = events.send(Event::Silent(vm));
                }
                return;
            };
            let exchange = call(&connection, &beat);
            match actix_rt::time::timeout(patience.into(), exchange).await {
                Ok(Ok(Reply::Beat(beat))) => drop(events.send(Event::Beat(beat))),
                _ if links.is_current(&vm, &connection) => drop(events.send(Event::Silent(vm))),
                _ => {}
            }
        });
    }

    fn status(&self) -> Status {
        let beat = self.entry.heartbeat();
        Status {
            vm: self.settings.vm.to_string(),
            role: "entry".to_owned(),
            zone: self.settings.zone.to_string(),
            incarnation: beat.incarnation,
            generation: beat.generation,
            running: self.entry.in_progress() as u32,
            open: true,
            endpoints: self.entry.router().known().iter().map(|e| self.endpoint(e)).collect(),
            counters: self.metrics.counters(),
            wire: self.parts.traffic.total(),
            times: self.metrics.summaries(),
            ..Status::default()
        }
    }

    fn endpoint(&self, (vm, known): (&VmId, &Known)) -> (VmId, EndpointStatus) {
        let fleet = self.entry.in_force().map(|now| now.fleet.clone());
        let zone = fleet.and_then(|fleet| Some(fleet.vms.get(vm)?.zone.clone()));
        let load = &known.load;
        let (limit, running, version) = (load.limit, load.running, load.version.clone());
        let open = load.open && !known.leaving;
        (vm.clone(), EndpointStatus { zone, version, limit, running, open })
    }
}
