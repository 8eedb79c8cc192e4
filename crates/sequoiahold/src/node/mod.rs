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
    sync::{mpsc, watch as signal},
};

pub(crate) use self::peers::{CHUNKS, CallError, get};
pub use self::{
    datagram::{Datagram, EndpointLoad, HoldsNote, LoadNote, LoadingNote},
    peers::{NoCalls, PeerCalls},
};
use crate::{
    clock::Clock,
    h1::{ConnectionPool, PoolLimits},
    settings,
};

/// Time within which a connection to a peer or the platform must be established.
const CONNECT: Duration = Duration::from_millis(1_000);
/// Uploads that wait for the link; a peer that asks for more draws from another one meanwhile.
const UPLOADS: u64 = 3;
/// Idle connections that are kept to one peer.
const IDLE: usize = 4;

/// The state that the tasks of a process share.
pub struct Node<D> {
    /// The platform's paths, names and formats.
    pub dialect: D,
    /// The process clock.
    pub clock: Clock,
    /// The settings.
    pub settings: settings::Node,
    /// The published state as it was read.
    pub mirror: RefCell<Mirror>,
    /// The published state decoded.
    pub view: RefCell<View>,
    /// The other processes.
    pub mesh: RefCell<Membership>,
    /// Connections to peers and the platform.
    pub pool: ConnectionPool,
    /// Random numbers.
    pub rng: RefCell<SmallRng>,
    notes: mpsc::UnboundedSender<Datagram>,
    uploads: RefCell<Option<Pacer>>,
    socket: RefCell<Option<Rc<tokio::net::UdpSocket>>>,
    changes: signal::Sender<Revision>,
    lost: Cell<Option<Time>>,
    ahead: Cell<Option<(Revision, SocketAddr)>>,
    pulling: Cell<bool>,
    packed: RefCell<state::Packed>,
}

impl<D: Codec> Node<D> {
    /// Returns the state of a process that knows nothing yet.
    ///
    /// Datagrams of other kinds than gossip go to `notes`.
    pub fn new(
        dialect: D,
        role: Role,
        settings: settings::Node,
        config: ServiceConfig,
        notes: mpsc::UnboundedSender<Datagram>,
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
        let mesh = Membership::new(own, seeds);
        let limits = PoolLimits { connect_timeout: CONNECT, max_idle: IDLE };
        let seed = clock.incarnation().0 ^ u64::from(port);
        let name = settings.vm.as_str().bytes();
        let seed = name.fold(seed, |seed, byte| seed.rotate_left(7) ^ u64::from(byte));
        Rc::new(Self {
            dialect,
            clock,
            settings,
            mirror: RefCell::default(),
            view: RefCell::default(),
            mesh: RefCell::new(mesh),
            pool: ConnectionPool::new(config, limits),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            notes,
            uploads: RefCell::default(),
            socket: RefCell::default(),
            changes: signal::channel(Revision(0)).0,
            lost: Cell::new(None),
            ahead: Cell::new(None),
            pulling: Cell::new(false),
            packed: RefCell::default(),
        })
    }

    /// Starts to follow the platform and the peers.
    pub fn start(self: &Rc<Self>, calls: impl PeerCalls) -> anyhow::Result<()> {
        gossip::start(self)?;
        peers::start(self, calls)?;
        actix_rt::spawn(watch::follow(self.clone()));
        Ok(())
    }

    /// Returns a signal that is raised when the published state has changed.
    pub fn changes(&self) -> signal::Receiver<Revision> {
        self.changes.subscribe()
    }

    /// Returns the time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Sends a datagram to peers; one that cannot be sent counts as lost on the way.
    pub fn tell(&self, to: impl IntoIterator<Item = SocketAddr>, datagram: &Datagram) {
        if let Some(socket) = self.socket.borrow().as_ref() {
            gossip::send(socket, to, datagram);
        }
    }

    /// Keeps the chunks that this process gives to peers under a rate.
    pub fn pace_uploads(&self, rate: ByteRate) {
        self.uploads.replace(Some(Pacer::new(rate)));
    }

    /// Returns when an upload of `size` may begin, or `None` while too many wait.
    fn upload_at(&self, size: Bytes) -> Option<Time> {
        let now = self.now();
        let mut uploads = self.uploads.borrow_mut();
        let Some(pacer) = uploads.as_mut() else { return Some(now) };
        let most = pacer.rate().transfer_time(size).0 * UPLOADS;
        (pacer.queue_delay(now).0 < most).then(|| pacer.reserve(now, size))
    }

    /// Returns the addresses of live processes of a role, this one left out.
    pub fn peers(&self, role: Role) -> Vec<SocketAddr> {
        let mesh = self.mesh.borrow();
        mesh.live_with_role(self.now(), role).map(|member| member.addr).collect()
    }

    /// Takes changes that are new to the mirror and were made just now if `seen`.
    fn take(&self, changes: Vec<Change>, seen: bool) {
        let now = self.now();
        let mut changed = false;
        for change in changes {
            match self.dialect.decode_published(&change.key, change.value.as_deref()) {
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
            self.signal();
        }
    }

    fn signal(&self) {
        self.changes.send_replace(self.mirror.borrow().revision());
    }

    /// Takes note that the platform answers.
    fn platform_answers(&self) {
        self.mesh.borrow_mut().set_platform_reachable(true);
        if let Some(since) = self.lost.take() {
            let now = self.now();
            self.view.borrow_mut().record_recovery(now);
            log::info!(outage_ms = (now - since).0 / 1_000; "platform answers again");
        }
    }

    /// Takes note that the platform does not answer.
    fn platform_fails(&self, fault: &str) {
        if self.lost.get().is_none() {
            self.lost.set(Some(self.now()));
            self.mesh.borrow_mut().set_platform_reachable(false);
            log::warn!(fault; "platform does not answer");
        }
    }
}

/// Takes signals to reload, which would otherwise end the process; settings are read at the start.
pub(crate) async fn ignore_reloads(mut reload: Signal) {
    while reload.recv().await.is_some() {
        log::info!("signal to reload ignored: settings are read at the start");
    }
}
