//! Configuration task: fetches sets from the platform and peers and passes them to the event loop.

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
    net::{PeerConnections, call},
    platform::PlatformClient,
    settings,
};

/// Timeout of a gossip exchange with a peer, or of a request to it for a head or part.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a request to a peer for a complete set.
const SET_TIMEOUT: Duration = Duration::from_secs(10);

/// Input of the configuration task.
#[derive(Debug)]
pub enum Event {
    /// A call from a peer, and the channel for its reply.
    PeerCall(ConfigCall, oneshot::Sender<ConfigReply>),
    /// A peer replied with its gossip.
    GossipReceived(Box<Gossip>),
    /// A peer did not reply to gossip.
    PeerUnresponsive(VmId),
    /// A peer's head changes, `None` if it sent none.
    Head(VmId, Option<HeadDelta>),
    /// A peer's set, `None` if it sent none.
    Set(VmId, Option<Arc<PublishedSet>>),
    /// A requested part, `None` if the request failed.
    Part(SetSource, Digest, Option<Bytes>),
    /// The platform's head, or the error of the request.
    PlatformHead(Result<Head, PlatformError>),
    /// The platform's list of VMs.
    VmStates(BTreeMap<VmId, VmState>),
}

/// Handle of the configuration task for other tasks.
#[derive(Clone, Debug)]
pub struct Handle {
    events: mpsc::UnboundedSender<Event>,
}

impl Handle {
    /// Returns the reply to a peer's call, `None` if the task has ended.
    pub async fn handle_call(&self, call: ConfigCall) -> Option<Reply> {
        let (reply, receiver) = oneshot::channel();
        let _ = self.events.send(Event::PeerCall(call, reply));
        receiver.await.ok().map(Reply::Config)
    }

    /// Passes the platform's list of VMs to the task.
    pub fn update_vm_states(&self, list: BTreeMap<VmId, VmState>) {
        let _ = self.events.send(Event::VmStates(list));
    }
}

/// Parameters of the configuration task.
pub struct TaskParams<E> {
    /// The identity of this process.
    pub identity: Identity,
    /// The settings of the distribution of sets.
    pub settings: settings::Config,
    /// The process clock.
    pub clock: Clock,
    /// Connections used by this task only.
    pub connections: PeerConnections,
    /// The client of the platform's services.
    pub platform: PlatformClient,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// The channel to the event loop of the process.
    pub events: mpsc::UnboundedSender<E>,
    /// Converts a new set into an event of the event loop.
    pub set_event: fn(Arc<PublishedSet>) -> E,
}

/// Starts the task on the current thread and returns its handle.
pub fn start<E: 'static>(params: TaskParams<E>) -> Handle {
    let (events, receiver) = mpsc::unbounded_channel();
    let (identity, settings) = (params.identity.clone(), &params.settings);
    let seed = params.clock.incarnation().0;
    let node = ConfigNode::new(
        identity,
        settings.sync_params(),
        settings.seeds.clone(),
        params.clock.now(),
        seed,
    );
    let handle = Handle { events: events.clone() };
    actix_rt::spawn(Task { params, node, events }.run(receiver));
    handle
}

struct Task<E> {
    params: TaskParams<E>,
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
                () = self.params.clock.sleep_until(self.node.next_time()) => {
                    self.node.tick(self.params.clock.now());
                }
            }
            self.process_outputs();
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = self.params.clock.now();
        match event {
            Event::PeerCall(call, reply) => drop(reply.send(self.node.handle_call(now, &call))),
            Event::GossipReceived(gossip) => self.node.receive_gossip(now, &gossip),
            Event::PeerUnresponsive(vm) => {
                self.params.connections.close(&vm);
                self.node.peer_unresponsive(now, &vm);
            }
            Event::Head(vm, head) => self.node.receive_head(now, &vm, head.as_ref()),
            Event::Set(vm, set) => self.node.receive_set(now, &vm, set),
            Event::Part(source, digest, part) => self.node.receive_part(now, &source, digest, part),
            Event::PlatformHead(read) => self.node.receive_platform_head(now, read),
            Event::VmStates(list) => self.node.update_vm_states(&list),
        }
    }

    fn process_outputs(&mut self) {
        for output in self.node.take_outputs() {
            match output {
                Output::Adopted(adopted) => {
                    log::info!("adopted generation {}", adopted.published.head.generation);
                    let _ = self.params.events.send((self.params.set_event)(adopted.published));
                }
                Output::Refused(id, text) => log::warn!("rejected set {id}: {text}"),
                Output::Conflict(id) => {
                    log::error!(
                        "set {id} has the generation of another set; publish it with a higher one"
                    );
                }
                Output::WatchHead(seen) => {
                    let platform = self.params.platform.clone();
                    self.params.metrics.count("config.reads");
                    self.spawn(async move {
                        Event::PlatformHead(
                            platform.watch_head(seen.map(|id| id.generation.0)).await,
                        )
                    });
                }
                Output::RequestPart(SetSource::Platform, digest) => {
                    let platform = self.params.platform.clone();
                    self.params.metrics.count("config.reads");
                    self.spawn(async move {
                        Event::Part(
                            SetSource::Platform,
                            digest,
                            platform.get_part(&digest).await.ok(),
                        )
                    });
                }
                output => self.send_to_peer(output),
            }
        }
        let counters = self.node.counters();
        for (name, count) in [
            ("config.adopted", counters.adopted),
            ("config.refused", counters.refused),
            ("config.conflicts", counters.conflicts),
            ("config.stale", counters.stale),
            ("config.corrupt", counters.corrupt),
            ("config.failed", counters.failed),
            ("config.busy", counters.busy),
        ] {
            self.params.metrics.gauge(name, count);
        }
    }

    fn send_to_peer(&self, output: Output) {
        let peers = self.params.connections.clone();
        match output {
            Output::Gossip(vm, addr) => {
                let gossip = Box::new(self.node.gossip(self.params.clock.now()));
                self.spawn(async move {
                    match call_peer(&peers, &vm, addr, ConfigCall::Gossip(gossip), CALL_TIMEOUT)
                        .await
                    {
                        Some(ConfigReply::Gossip(gossip)) => Event::GossipReceived(gossip),
                        _ => Event::PeerUnresponsive(vm),
                    }
                });
            }
            Output::RequestSet(vm, addr) => self.spawn(async move {
                match call_peer(&peers, &vm, addr, ConfigCall::Set, SET_TIMEOUT).await {
                    Some(ConfigReply::Set(set)) => Event::Set(vm, set),
                    _ => Event::Set(vm, None),
                }
            }),
            Output::RequestHead(vm, addr, base) => self.spawn(async move {
                match call_peer(&peers, &vm, addr, ConfigCall::Head(base), CALL_TIMEOUT).await {
                    Some(ConfigReply::Head(head)) => Event::Head(vm, head),
                    _ => Event::Head(vm, None),
                }
            }),
            Output::RequestPart(SetSource::Peer(vm, addr), digest) => {
                self.spawn(async move {
                    let part =
                        match call_peer(&peers, &vm, addr, ConfigCall::Part(digest), CALL_TIMEOUT)
                            .await
                        {
                            Some(ConfigReply::Part(part)) => part,
                            _ => None,
                        };
                    Event::Part(SetSource::Peer(vm, addr), digest, part)
                })
            }
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

async fn call_peer(
    peers: &PeerConnections,
    vm: &VmId,
    addr: std::net::SocketAddr,
    request: ConfigCall,
    timeout: Duration,
) -> Option<ConfigReply> {
    let exchange = async {
        let connection = peers.acquire(vm, addr).await?;
        call(&connection, &Call::Config(request)).await
    };
    match actix_rt::time::timeout(timeout, exchange).await {
        Ok(Ok(Reply::Config(reply))) => Some(reply),
        _ => None,
    }
}
