//! The configuration task: asks the platform and peers, and tells the event loop of new sets.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use sequoiahold_core::{
    config::{
        ConfigCall, ConfigNode, ConfigReply, Gossip, HeadDelta, Identity, Output, PlatformError,
        SetSource,
    },
    declare::{Head, PublishedSet},
    ids::{Digest, VmId},
    proto::{Call, Reply},
    vm_state::VmState,
};
use tokio::sync::{mpsc, oneshot};

use crate::{
    clock::Clock,
    metrics::Metrics,
    net::{Links, call},
    platform::Platform,
    settings,
};

/// Time that an exchange of gossip or a part of a peer may take.
const CALL: Duration = Duration::from_secs(1);
/// Time that a whole set of a peer may take.
const SET: Duration = Duration::from_secs(10);

/// What the task is told or asked.
#[derive(Debug)]
pub enum Event {
    /// A peer asks.
    Call(ConfigCall, oneshot::Sender<ConfigReply>),
    /// A peer told what it holds.
    Heard(Box<Gossip>),
    /// A peer did not answer.
    Silent(VmId),
    /// A peer gave its head, or not.
    Head(VmId, Option<HeadDelta>),
    /// A peer gave its set, or not.
    Set(VmId, Option<Arc<PublishedSet>>),
    /// A part came, or not.
    Part(SetSource, Digest, Option<Bytes>),
    /// The platform showed its head, or not.
    Platform(Result<Head, PlatformError>),
    /// The platform's list of VMs was read.
    Vms(BTreeMap<VmId, VmState>),
}

/// Reaches the task from others.
#[derive(Clone, Debug)]
pub struct Handle {
    events: mpsc::UnboundedSender<Event>,
}

impl Handle {
    /// Returns the answer to a peer's call.
    pub async fn answer(&self, call: ConfigCall) -> Option<Reply> {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(Event::Call(call, reply));
        answer.await.ok().map(Reply::Config)
    }

    /// Takes the platform's list of VMs.
    pub fn list(&self, list: BTreeMap<VmId, VmState>) {
        let _ = self.events.send(Event::Vms(list));
    }
}

/// What the task works with.
pub struct Parts<E> {
    /// Who this process is.
    pub own: Identity,
    /// The settings of the exchange.
    pub settings: settings::Config,
    /// The clock.
    pub clock: Clock,
    /// Connections of this task alone.
    pub links: Links,
    /// The platform.
    pub platform: Platform,
    /// The counters.
    pub metrics: Metrics,
    /// The events of the process.
    pub events: mpsc::UnboundedSender<E>,
    /// Makes the event that offers a set.
    pub offer: fn(Arc<PublishedSet>) -> E,
}

/// Starts the task.
pub fn start<E: 'static>(parts: Parts<E>) -> Handle {
    let (events, receiver) = mpsc::unbounded_channel();
    let (own, settings) = (parts.own.clone(), &parts.settings);
    let seed = parts.clock.incarnation().0;
    let node =
        ConfigNode::new(own, settings.timing(), settings.seeds.clone(), parts.clock.now(), seed);
    let handle = Handle { events: events.clone() };
    actix_rt::spawn(Task { parts, node, events }.run(receiver));
    handle
}

struct Task<E> {
    parts: Parts<E>,
    node: ConfigNode,
    events: mpsc::UnboundedSender<Event>,
}

impl<E: 'static> Task<E> {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Event>) {
        loop {
            tokio::select! {
                event = receiver.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                () = self.parts.clock.until(self.node.next_time()) => {
                    self.node.tick(self.parts.clock.now());
                }
            }
            self.perform();
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = self.parts.clock.now();
        match event {
            Event::Call(call, reply) => drop(reply.send(self.node.handle_call(now, &call))),
            Event::Heard(gossip) => self.node.receive_gossip(now, &gossip),
            Event::Silent(vm) => {
                self.parts.links.close(&vm);
                self.node.peer_unresponsive(now, &vm);
            }
            Event::Head(vm, head) => self.node.receive_head(now, &vm, head.as_ref()),
            Event::Set(vm, set) => self.node.receive_set(now, &vm, set),
            Event::Part(source, digest, part) => self.node.receive_part(now, &source, digest, part),
            Event::Platform(read) => self.node.receive_platform_head(now, read),
            Event::Vms(list) => self.node.update_vm_states(&list),
        }
    }

    fn perform(&mut self) {
        for output in self.node.take_outputs() {
            match output {
                Output::Adopted(now) => {
                    log::info!("generation {} is in force", now.published.head.generation);
                    let _ = self.parts.events.send((self.parts.offer)(now.published));
                }
                Output::Refused(id, text) => log::warn!("set {id} refused: {text}"),
                Output::Conflict(id) => {
                    log::error!("set {id} carries the generation of another; publish a higher one");
                }
                Output::WatchHead(seen) => {
                    let platform = self.parts.platform.clone();
                    self.parts.metrics.count("config.reads");
                    self.spawn(async move {
                        Event::Platform(platform.head(seen.map(|id| id.generation.0)).await)
                    });
                }
                Output::RequestPart(SetSource::Platform, digest) => {
                    let platform = self.parts.platform.clone();
                    self.parts.metrics.count("config.reads");
                    self.spawn(async move {
                        Event::Part(SetSource::Platform, digest, platform.part(&digest).await.ok())
                    });
                }
                output => self.ask_peer(output),
            }
        }
        let counts = self.node.counters();
        for (name, count) in [
            ("config.adopted", counts.adopted),
            ("config.refused", counts.refused),
            ("config.conflicts", counts.conflicts),
            ("config.stale", counts.stale),
            ("config.corrupt", counts.corrupt),
            ("config.failed", counts.failed),
            ("config.busy", counts.busy),
        ] {
            self.parts.metrics.gauge(name, count);
        }
    }

    fn ask_peer(&self, output: Output) {
        let links = self.parts.links.clone();
        match output {
            Output::Gossip(vm, addr) => {
                let gossip = Box::new(self.node.gossip(self.parts.clock.now()));
                self.spawn(async move {
                    match ask(&links, &vm, addr, ConfigCall::Gossip(gossip), CALL).await {
                        Some(ConfigReply::Gossip(gossip)) => Event::Heard(gossip),
                        _ => Event::Silent(vm),
                    }
                });
            }
            Output::RequestSet(vm, addr) => self.spawn(async move {
                match ask(&links, &vm, addr, ConfigCall::Set, SET).await {
                    Some(ConfigReply::Set(set)) => Event::Set(vm, set),
                    _ => Event::Set(vm, None),
                }
            }),
            Output::RequestHead(vm, addr, base) => self.spawn(async move {
                match ask(&links, &vm, addr, ConfigCall::Head(base), CALL).await {
                    Some(ConfigReply::Head(head)) => Event::Head(vm, head),
                    _ => Event::Head(vm, None),
                }
            }),
            Output::RequestPart(SetSource::Peer(vm, addr), digest) => self.spawn(async move {
                let part = match ask(&links, &vm, addr, ConfigCall::Part(digest), CALL).await {
                    Some(ConfigReply::Part(part)) => part,
                    _ => None,
                };
                Event::Part(SetSource::Peer(vm, addr), digest, part)
            }),
            _ => {}
        }
    }

    fn spawn(&self, work: impl Future<Output = Event> + 'static) {
        let events = self.events.clone();
        actix_rt::spawn(async move {
            let _ = events.send(work.await);
        });
    }
}

async fn ask(
    links: &Links,
    vm: &VmId,
    addr: std::net::SocketAddr,
    question: ConfigCall,
    patience: Duration,
) -> Option<ConfigReply> {
    let exchange = async {
        let connection = links.get(vm, addr).await?;
        call(&connection, &Call::Config(question)).await
    };
    match actix_rt::time::timeout(patience, exchange).await {
        Ok(Ok(Reply::Config(reply))) => Some(reply),
        _ => None,
    }
}
