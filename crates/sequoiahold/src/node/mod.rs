//! What gateways and loaders share: the published state, its sources, and the other processes.

mod datagram;
mod gossip;
mod peers;
mod state;
mod watch;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_http::ServiceConfig;
use rand::{SeedableRng as _, rngs::SmallRng};
use sequoiahold_core::{
    direct::{
        membership::{Member, Membership, Role},
        mirror::{Change, Mirror, Revision},
        platform::Codec,
        view::{Effect, View},
    },
    time::Time,
    units::{ByteRate, Bytes},
    weights::Pacer,
};
use tokio::{
    signal::unix::Signal,
    sync::{mpsc, watch as watch_channel},
};

pub(crate) use self::peers::{CHUNKS_PREFIX, CallError, get_from_peer};
pub use self::{
    datagram::{ChunkOffer, Datagram, EndpointLoad, LoadReport, LoadingNotice},
    peers::{NotFoundHandler, PeerHandler},
};
use crate::{
    clock::Clock,
    h1::{Pool, PoolLimits},
    settings,
};

/// Time within which a connection to a peer or the platform must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Uploads that wait for the link; a peer that asks for more draws from another one meanwhile.
const MAX_QUEUED_UPLOADS: u64 = 3;
/// Idle connections that are kept to one peer.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// The state that the tasks of a process share.
pub struct Node<C> {
    /// The platform's paths, names and formats.
    pub codec: C,
    /// The process clock.
    pub clock: Clock,
    /// The settings.
    pub settings: settings::Node,
    /// The published state as it was read.
    pub mirror: RefCell<Mirror>,
    /// The published state decoded.
    pub view: RefCell<View>,
    /// The other processes.
    pub membership: RefCell<Membership>,
    /// Connections to peers and the platform.
    pub pool: Pool,
    /// Random numbers.
    pub rng: RefCell<SmallRng>,
    datagrams: mpsc::UnboundedSender<Datagram>,
    upload_pacer: RefCell<Option<Pacer>>,
    socket: RefCell<Option<Rc<tokio::net::UdpSocket>>>,
    revision_sender: watch_channel::Sender<Revision>,
    outage_start: Cell<Option<Time>>,
    pending_pull: Cell<Option<(Revision, SocketAddr)>>,
    pulling: Cell<bool>,
    delta_cache: RefCell<state::DeltaCache>,
}

impl<C: Codec> Node<C> {
    /// Returns the state of a process that knows nothing yet.
    ///
    /// Datagrams of other kinds than gossip go to `notes`.
    pub fn new(
        codec: C,
        role: Role,
        settings: settings::Node,
        config: ServiceConfig,
        datagrams: mpsc::UnboundedSender<Datagram>,
    ) -> Rc<Self> {
        let clock = Clock::default();
        let own = Member {
            vm: settings.vm.clone(),
            role,
            zone: settings.zone.clone(),
            addr: settings.peers,
            incarnation: clock.incarnation(),
            beat: 0,
            reads: true,
        };
        let port = settings.peers.port();
        let seeds = settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        let membership = Membership::new(own, seeds);
        let limits = PoolLimits { connect: CONNECT_TIMEOUT, idle: MAX_IDLE_CONNECTIONS };
        let seed = clock.incarnation().0 ^ u64::from(port);
        let name = settings.vm.as_str().bytes();
        let seed = name.fold(seed, |seed, byte| seed.rotate_left(7) ^ u64::from(byte));
        Rc::new(Self {
            codec,
            clock,
            settings,
            mirror: RefCell::default(),
            view: RefCell::default(),
            membership: RefCell::new(membership),
            pool: Pool::new(config, limits),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            datagrams,
            upload_pacer: RefCell::default(),
            socket: RefCell::default(),
            revision_sender: watch_channel::channel(Revision(0)).0,
            outage_start: Cell::new(None),
            pending_pull: Cell::new(None),
            pulling: Cell::new(false),
            delta_cache: RefCell::default(),
        })
    }

    /// Starts to follow the platform and the peers.
    pub fn start(self: &Rc<Self>, handler: impl PeerHandler) -> anyhow::Result<()> {
        gossip::start(self)?;
        peers::start(self, handler)?;
        actix_rt::spawn(watch::follow_platform(self.clone()));
        Ok(())
    }

    /// Returns a signal that is raised when the published state has changed.
    pub fn subscribe(&self) -> watch_channel::Receiver<Revision> {
        self.revision_sender.subscribe()
    }

    /// Returns the time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Sends a datagram to peers; one that cannot be sent counts as lost on the way.
    pub fn send(&self, recipients: impl IntoIterator<Item = SocketAddr>, datagram: &Datagram) {
        if let Some(socket) = self.socket.borrow().as_ref() {
            gossip::send(socket, recipients, datagram);
        }
    }

    /// Keeps the chunks that this process gives to peers under a rate.
    pub fn limit_upload_rate(&self, rate: ByteRate) {
        self.upload_pacer.replace(Some(Pacer::new(rate)));
    }

    /// Returns when an upload of `size` may begin, or `None` while too many wait.
    fn reserve_upload(&self, size: Bytes) -> Option<Time> {
        let now = self.now();
        let mut upload_pacer = self.upload_pacer.borrow_mut();
        let Some(pacer) = upload_pacer.as_mut() else { return Some(now) };
        let max_delay = pacer.rate().transfer_time(size).0 * MAX_QUEUED_UPLOADS;
        (pacer.queue_delay(now).0 < max_delay).then(|| pacer.reserve(now, size))
    }

    /// Returns the addresses of live processes of a role, this one left out.
    pub fn peer_addrs(&self, role: Role) -> Vec<SocketAddr> {
        let membership = self.membership.borrow();
        membership.live_with_role(self.now(), role).map(|member| member.addr).collect()
    }

    /// Takes changes that are new to the mirror and were made just now if `seen`.
    fn apply_changes(&self, changes: Vec<Change>, seen: bool) {
        let now = self.now();
        let mut changed = false;
        for change in changes {
            match self.codec.decode_published(&change.key, change.value.as_deref()) {
                Ok(published) => {
                    let effect = self.view.borrow_mut().apply(now, published, seen);
                    changed |= effect != Effect::None;
                    if effect == Effect::Catalog {
                        let version = self.view.borrow().catalog().map(|catalog| catalog.version);
                        log::info!(version, revision = change.revision.0; "configuration in force");
                    } else if effect != Effect::None {
                        let (key, revision) = (change.key.as_str(), change.revision.0);
                        log::info!(key, revision, removed = change.value.is_none(); "published");
                    }
                }
                Err(error) => {
                    let fault = error.to_string();
                    log::warn!(key = change.key.as_str(), fault = fault.as_str(); "unreadable value");
                }
            }
        }
        if changed {
            self.notify_subscribers();
        }
    }

    fn notify_subscribers(&self) {
        self.revision_sender.send_replace(self.mirror.borrow().revision());
    }

    /// Takes note that the platform answers.
    fn record_platform_answer(&self) {
        self.membership.borrow_mut().set_platform_reachable(true);
        if let Some(since) = self.outage_start.take() {
            let now = self.now();
            self.view.borrow_mut().record_recovery(now);
            log::info!(outage_ms = (now - since).0 / 1_000; "platform answers again");
        }
    }

    /// Takes note that the platform does not answer.
    fn record_platform_failure(&self, fault: &str) {
        if self.outage_start.get().is_none() {
            self.outage_start.set(Some(self.now()));
            self.membership.borrow_mut().set_platform_reachable(false);
            log::warn!(fault; "platform does not answer");
        }
    }
}

/// Takes signals to reload, which would otherwise end the process; settings are read at the start.
pub(crate) async fn ignore_sighup(mut reload: Signal) {
    while reload.recv().await.is_some() {
        log::info!("signal to reload ignored: settings are read at the start");
    }
}
