//! The entry's event loop, which owns the state machine and carries out its outputs.

use std::{net::SocketAddr, sync::Arc};

use sequoiahold_core::{
    adopt::{Adoption, ConfigInForce},
    declare::PublishedSet,
    entry::{Entry, Identity, Output, RequestKey},
    ids::VmId,
    proto::{Call, Reply},
    route::{KnownEndpoint, Policy},
    units::Span,
};
use slotmap::SecondaryMap;
use tokio::sync::{mpsc, watch};

use super::event::{Dispatch, Event, RequestAction};
use crate::{
    clock::Clock,
    metrics::Metrics,
    net::{PeerConnections, TrafficCounter, call},
    settings,
    status::{EndpointStatus, Status},
};

/// Heartbeat intervals without a reply after which a connection is replaced.
const HEARTBEAT_TIMEOUT_INTERVALS: u64 = 3;

/// The clock, connections and channels that the event loop uses.
pub struct Context {
    /// The clock of the process.
    pub clock: Clock,
    /// The connections to endpoints.
    pub connections: PeerConnections,
    /// The sender of the configuration in force to the request tasks.
    pub in_force: watch::Sender<Option<ConfigInForce>>,
    /// The sender of events to this loop.
    pub events: mpsc::UnboundedSender<Event>,
    /// The counter of bytes exchanged with other processes.
    pub traffic: TrafficCounter,
}

/// The event loop of an entry process.
pub struct EventLoop {
    settings: settings::Entry,
    context: Context,
    entry: Entry,
    action_senders: SecondaryMap<RequestKey, mpsc::UnboundedSender<RequestAction>>,
    metrics: Metrics,
}

impl EventLoop {
    /// Returns the event loop of a process without a configuration.
    pub fn new(settings: settings::Entry, context: Context, metrics: Metrics) -> Self {
        let own = Identity {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            incarnation: context.clock.incarnation(),
            heartbeat: settings.heartbeat,
            policy: Policy::Credits,
        };
        let entry = Entry::new(own, context.clock.incarnation().0);
        Self { settings, context, entry, action_senders: SecondaryMap::new(), metrics }
    }

    /// Handles events and timers until all event senders are dropped.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Event>) {
        loop {
            tokio::select! {
                event = receiver.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                () = self.context.clock.sleep_until(self.entry.next_time()) => {
                    self.entry.tick(self.context.clock.now());
                }
            }
            self.perform_outputs();
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = self.context.clock.now();
        match event {
            Event::ConfigOffered(published) => self.on_config_offered(published),
            Event::VmsListed(list) => self.entry.update_vms(&list),
            Event::Heartbeat(heartbeat) => self.entry.on_heartbeat(now, *heartbeat),
            Event::HeartbeatTimeout(vm) => self.entry.on_heartbeat_timeout(&vm),
            Event::Arrived(arrival, sender) => {
                let key = self.entry.on_arrival(now, arrival);
                self.action_senders.insert(key, sender);
            }
            Event::Refused(key, refusal) => self.entry.on_refused(now, key, refusal),
            Event::Started(key) => self.entry.on_started(key),
            Event::Failed(key, failure) => self.entry.on_failed(now, key, failure),
            Event::Completed(key) => {
                self.entry.on_completed(now, key);
                self.metrics.count("requests.answered");
            }
            Event::CallerGone(key) => {
                self.entry.on_caller_gone(now, key);
                self.metrics.count("requests.left");
            }
            Event::GetHeartbeat(reply) => drop(reply.send(self.entry.heartbeat())),
            Event::ChooseIssuer(service, reply) => {
                drop(reply.send(self.entry.choose_issuer(now, &service)))
            }
            Event::GetStatus(reply) => drop(reply.send(self.status())),
        }
    }

    fn on_config_offered(&mut self, published: Arc<PublishedSet>) {
        let outcome = self.entry.offer_config(self.context.clock.now(), published);
        match &outcome {
            Adoption::Adopted(_) => log::info!("{outcome}"),
            Adoption::Refused(_) => log::warn!("{outcome}"),
            Adoption::NotNewer(_) => return,
        }
        if let Some(config) = self.entry.in_force() {
            self.metrics.track_accounts(&config.fleet);
            self.metrics.gauge("generation", config.published.head.generation.0);
        }
        self.context.in_force.send_replace(self.entry.in_force().cloned());
    }

    fn perform_outputs(&mut self) {
        for output in self.entry.take_outputs() {
            match output {
                Output::Send { request, id, vm, addr, target_incarnation, left } => {
                    self.send_action(
                        request,
                        RequestAction::Send(Dispatch {
                            request,
                            id,
                            vm,
                            addr,
                            target_incarnation,
                            left,
                        }),
                    );
                }
                Output::Refuse(key, refusal) => {
                    self.metrics.count("requests.refused");
                    self.send_action(key, RequestAction::Refuse(refusal));
                }
                Output::Fail(key, failure) => {
                    self.metrics.count("requests.failed");
                    self.send_action(key, RequestAction::Fail(failure));
                }
                Output::SendHeartbeat(vm, addr) => self.send_heartbeat(vm, addr),
                Output::CloseConnection(vm) => self.context.connections.close(&vm),
            }
        }
    }

    fn send_action(&mut self, key: RequestKey, action: RequestAction) {
        if let Some(sender) = self.action_senders.get(key) {
            let _ = sender.send(action);
        }
    }

    fn send_heartbeat(&self, vm: VmId, addr: SocketAddr) {
        let (connections, events) = (self.context.connections.clone(), self.context.events.clone());
        let heartbeat = Call::Heartbeat(Box::new(self.entry.heartbeat_for(&vm)));
        let timeout = Span(self.settings.heartbeat.0 * HEARTBEAT_TIMEOUT_INTERVALS);
        actix_rt::spawn(async move {
            let Ok(connection) = connections.acquire(&vm, addr).await else {
                if !connections.is_connected(&vm) {
                    let _ = events.send(Event::HeartbeatTimeout(vm));
                }
                return;
            };
            let exchange = call(&connection, &heartbeat);
            match actix_rt::time::timeout(timeout.into(), exchange).await {
                Ok(Ok(Reply::Heartbeat(heartbeat))) => {
                    drop(events.send(Event::Heartbeat(heartbeat)))
                }
                _ if connections.is_current(&vm, &connection) => {
                    drop(events.send(Event::HeartbeatTimeout(vm)))
                }
                _ => {}
            }
        });
    }

    fn status(&self) -> Status {
        let heartbeat = self.entry.heartbeat();
        Status {
            vm: self.settings.vm.to_string(),
            role: "entry".to_owned(),
            zone: self.settings.zone.to_string(),
            incarnation: heartbeat.incarnation,
            generation: heartbeat.generation,
            running: self.entry.in_progress() as u32,
            open: true,
            endpoints: self
                .entry
                .router()
                .endpoints()
                .iter()
                .map(|known| self.endpoint_status(known))
                .collect(),
            counters: self.metrics.counters(),
            wire: self.context.traffic.total(),
            times: self.metrics.summaries(),
            ..Status::default()
        }
    }

    fn endpoint_status(&self, (vm, known): (&VmId, &KnownEndpoint)) -> (VmId, EndpointStatus) {
        let fleet = self.entry.in_force().map(|config| config.fleet.clone());
        let zone = fleet.and_then(|fleet| Some(fleet.vms.get(vm)?.zone.clone()));
        let load = &known.load;
        let (limit, running, version) = (load.limit, load.running, load.version.clone());
        let open = load.open && !known.leaving;
        (vm.clone(), EndpointStatus { zone, version, limit, running, open })
    }
}
