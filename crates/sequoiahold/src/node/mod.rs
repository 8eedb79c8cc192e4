//! Functions common to gateways and loaders: published state, membership and peer connections.

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
        freshness::Freshness,
        load_reports::{LoadReport, LoadReports},
        membership::{Member, Membership, Role},
        mirror::{Change, Mirror, Revision},
        platform::{Codec, EngineReport, PublishedValue},
        send_time::SendStamp,
        view::{AnnouncedVersion, Effect, View},
    },
    ids::ModelId,
    time::Time,
    units::{ByteRate, Bytes},
    weights::Pacer,
};
use tokio::{
    signal::unix::Signal,
    sync::{mpsc, watch as watch_channel},
};

pub(crate) use self::peers::{CHUNKS_PREFIX, CallError, get_from_peer, pull_loads};
pub use self::{
    datagram::{
        ChunkOffer, Datagram, EncodeError, LoadingNotice, MAX_DATAGRAM_BYTES, MAX_STAMP_BYTES,
        Received,
    },
    peers::{NotFoundHandler, PeerHandler},
};
use crate::{
    clock::Clock,
    h1::{ConnectionPool, PoolLimits},
    settings,
};

/// Timeout for connecting to a peer or the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of uploads queued for the link; further requests are refused, so that the peer
/// pulls from another source meanwhile.
const MAX_QUEUED_UPLOADS: u64 = 3;
/// Maximum number of idle connections kept per peer.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// The state shared by the tasks of a process.
pub struct Node<C> {
    /// The platform's paths, header names and message formats.
    pub codec: C,
    /// The process clock.
    pub clock: Clock,
    /// The settings.
    pub settings: settings::Node,
    /// The local copy of the published state, encoded as read.
    pub mirror: RefCell<Mirror>,
    /// The decoded published state.
    pub view: RefCell<View>,
    /// What is known of the loads of engines.
    pub loads: RefCell<LoadReports>,
    /// The known processes.
    pub membership: RefCell<Membership>,
    /// The connections to peers and the platform.
    pub pool: ConnectionPool,
    /// The random number generator.
    pub rng: RefCell<SmallRng>,
    datagrams: mpsc::UnboundedSender<Received>,
    upload_pacer: RefCell<Option<Pacer>>,
    socket: RefCell<Option<Rc<tokio::net::UdpSocket>>>,
    revision_sender: watch_channel::Sender<Revision>,
    freshness: RefCell<Freshness>,
    outage_start: Cell<Option<Time>>,
    pending_pull: Cell<Option<(Revision, SocketAddr)>>,
    pulling: Cell<bool>,
    delta_cache: RefCell<state::DeltaCache>,
}

impl<C: Codec> Node<C> {
    /// Returns the initial state of a process, without any published state.
    ///
    /// Received datagrams go to `datagrams`, except gossip and changes of the published state.
    pub fn new(
        codec: C,
        role: Role,
        settings: settings::Node,
        config: ServiceConfig,
        datagrams: mpsc::UnboundedSender<Received>,
    ) -> Rc<Self> {
        let clock = Clock::default();
        let own = Member {
            vm: settings.vm.clone(),
            role,
            zone: settings.zone.clone(),
            addr: settings.peers,
            incarnation: clock.incarnation(),
            heartbeat: 0,
            suspected: false,
            platform_reachable: true,
        };
        let port = settings.peers.port();
        let seeds = settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        let membership = Membership::new(own, seeds);
        let limits =
            PoolLimits { connect_timeout: CONNECT_TIMEOUT, max_idle: MAX_IDLE_CONNECTIONS };
        let seed = clock.incarnation().0 ^ u64::from(port);
        let name = settings.vm.as_str().bytes();
        let seed = name.fold(seed, |seed, byte| seed.rotate_left(7) ^ u64::from(byte));
        Rc::new(Self {
            codec,
            clock,
            settings,
            mirror: RefCell::default(),
            view: RefCell::default(),
            loads: RefCell::default(),
            membership: RefCell::new(membership),
            pool: ConnectionPool::new(config, limits),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            datagrams,
            upload_pacer: RefCell::default(),
            socket: RefCell::default(),
            revision_sender: watch_channel::channel(Revision::default()).0,
            freshness: RefCell::default(),
            outage_start: Cell::new(None),
            pending_pull: Cell::new(None),
            pulling: Cell::new(false),
            delta_cache: RefCell::default(),
        })
    }

    /// Starts the tasks that follow the platform, exchange gossip and serve peers; fails if the
    /// address for peers cannot be bound.
    pub fn start(self: &Rc<Self>, handler: impl PeerHandler) -> anyhow::Result<()> {
        gossip::start(self)?;
        peers::start(self, handler)?;
        actix_rt::spawn(watch::follow_platform(self.clone()));
        Ok(())
    }

    /// Returns a receiver that is notified when the published state has changed.
    pub fn subscribe(&self) -> watch_channel::Receiver<Revision> {
        self.revision_sender.subscribe()
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Sends a datagram to peers; one that cannot be sent is dropped.
    pub fn send(&self, recipients: impl IntoIterator<Item = SocketAddr>, datagram: &Datagram) {
        self.send_at(self.now(), recipients, datagram);
    }

    /// Sends a datagram to peers whose ages count up to `at`; one that cannot be sent is dropped.
    pub fn send_at(
        &self,
        at: Time,
        recipients: impl IntoIterator<Item = SocketAddr>,
        datagram: &Datagram,
    ) {
        if let Some(socket) = self.socket.borrow().as_ref() {
            let stamp = SendStamp { incarnation: self.clock.incarnation(), at };
            gossip::send(socket, stamp, recipients, datagram);
        }
    }

    /// Limits the rate at which this process uploads chunks to peers.
    pub fn limit_upload_rate(&self, rate: ByteRate) {
        self.upload_pacer.replace(Some(Pacer::new(rate)));
    }

    /// Reserves an upload of `size` and returns its start time, or `None` if too many are queued.
    fn reserve_upload(&self, size: Bytes) -> Option<Time> {
        let now = self.now();
        let mut upload_pacer = self.upload_pacer.borrow_mut();
        let Some(pacer) = upload_pacer.as_mut() else { return Some(now) };
        let max_delay = pacer.rate().transfer_time(size).0 * MAX_QUEUED_UPLOADS;
        (pacer.queue_delay(now).0 <= max_delay).then(|| pacer.reserve(now, size))
    }

    /// Returns the addresses of the live processes of a role, without this process.
    pub fn peer_addrs(&self, role: Role) -> Vec<SocketAddr> {
        let membership = self.membership.borrow();
        membership.live_with_role(role).map(|member| member.addr).collect()
    }

    /// Returns the addresses of the processes of the zone that watch the platform or would take that
    /// over.
    fn watcher_addrs(&self) -> Vec<SocketAddr> {
        self.membership.borrow().next_watchers().iter().map(|member| member.addr).collect()
    }

    /// Updates the copy of the published state, and logs if it is of a later era than before.
    fn update_mirror<T>(&self, update: impl FnOnce(&mut Mirror) -> T) -> T {
        let mut mirror = self.mirror.borrow_mut();
        let before = mirror.revision();
        let updated = update(&mut mirror);
        let Revision { era, number } = mirror.revision();
        if before != Revision::default() && era != before.era {
            let (known, before) = (before.number, before.era.0);
            self.freshness.borrow_mut().record_restore(self.now());
            log::warn!(era = era.0, before, revision = number, known; "platform restored its state");
        }
        updated
    }

    /// Applies changes that were new to the mirror to the view; they were not published before
    /// `earliest`, `None` if that is unknown, and were seen as they were published at `seen`.
    fn apply_changes(&self, changes: Vec<Change>, earliest: Option<Time>, seen: Option<Time>) {
        let now = self.now();
        let mut changed = false;
        for change in changes {
            match self.codec.decode_published(&change.key, change.value.as_deref()) {
                Ok(published) => {
                    let announced = announced_version(&published);
                    let effect = match self.mirror.borrow().is_restored(&change) {
                        true => self.view.borrow_mut().apply_restored(now, published, earliest),
                        false => self.view.borrow_mut().apply(now, published, earliest),
                    };
                    let is_changed = !matches!(effect, Effect::Held | Effect::None);
                    changed |= is_changed;
                    self.log_effect(&change, effect);
                    if let Some((model, version)) = announced.filter(|_| is_changed) {
                        if let Some(seen) = seen {
                            self.view.borrow_mut().record_sighting(now, seen, &model, version);
                        }
                        self.log_announced(&model, version);
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

    /// Logs what a change of the published state affected.
    fn log_effect(&self, change: &Change, effect: Effect) {
        let (key, revision) = (change.key.as_str(), change.revision.number);
        let removed = change.value.is_none();
        match effect {
            Effect::Catalog => {
                let version = self.view.borrow().catalog().map(|catalog| catalog.version);
                log::info!(version, revision; "configuration in force");
            }
            Effect::Endpoints => log::info!(key, revision, removed; "published"),
            Effect::Held => log::info!(key, revision, removed; "restored value held back"),
            Effect::None => {}
        }
    }

    /// Merges the version announcements that a peer sent at `sent` or later.
    fn merge_announcements(
        &self,
        sent: Time,
        earliest: Option<Time>,
        announced: Vec<AnnouncedVersion>,
    ) {
        let mut changed = false;
        for announced in announced {
            let (model, version) = (announced.model.clone(), announced.version);
            if self.view.borrow_mut().merge_announcement(sent, earliest, announced) {
                self.log_announced(&model, version);
                changed = true;
            }
        }
        if changed {
            self.notify_subscribers();
        }
    }

    /// Merges reports of loads, and logs those that say more than was known.
    pub fn merge_loads(&self, reports: impl IntoIterator<Item = LoadReport>) {
        let now = self.now();
        let mut is_changed = false;
        for report in reports {
            if self.loads.borrow_mut().merge(now, report.clone()) {
                log_load(&report);
                is_changed = true;
            }
        }
        if is_changed {
            self.notify_subscribers();
        }
    }

    /// Records what an engine says of a load that is in doubt; returns whether it is proved again.
    pub fn confirm_load(&self, addr: SocketAddr, report: &EngineReport) -> bool {
        let is_confirmed = self.loads.borrow_mut().confirm(addr, report);
        if is_confirmed {
            self.notify_subscribers();
        }
        is_confirmed
    }

    /// Records the availability zones of the known loaders.
    pub fn record_loaders(&self) {
        let now = self.now();
        // Without a catalog there may be one.
        let has_origin =
            self.view.borrow().catalog().is_none_or(|catalog| catalog.origin().is_some());
        let changed = {
            let membership = self.membership.borrow();
            let zones = membership.known_with_role(Role::Loader).map(|member| member.zone.clone());
            let is_settled = membership.is_settled(now);
            self.loads.borrow_mut().record_loaders(zones, is_settled, has_origin)
        };
        if changed {
            self.notify_subscribers();
        }
    }

    /// Merges the versions that a peer saw as they were announced, told at `sent` or later.
    fn merge_sightings(&self, sent: Time, sightings: Vec<AnnouncedVersion>) {
        for sighting in sightings {
            if self.view.borrow_mut().merge_sighting(sent, &sighting) {
                self.log_announced(&sighting.model, sighting.version);
                self.notify_subscribers();
            }
        }
    }

    /// Logs a newly known version with the age that its rollout counts from, -1 if unknown.
    fn log_announced(&self, model: &ModelId, version: u64) {
        let announced = self.view.borrow().announced_versions(self.now());
        let mut ages = announced.iter().filter(|a| a.model == *model && a.version == version);
        let age = ages.next().and_then(AnnouncedVersion::known_age);
        let age_ms = age.map_or(-1, |age| (age.0 / 1_000) as i64);
        log::info!(model = model.as_str(), version, age_ms; "version announced");
    }

    fn notify_subscribers(&self) {
        self.revision_sender.send_replace(self.mirror.borrow().revision());
    }

    /// Records that the platform responded, and ends an outage.
    fn record_platform_response(&self) {
        self.membership.borrow_mut().set_platform_reachable(true);
        if let Some(since) = self.outage_start.take() {
            let now = self.now();
            self.view.borrow_mut().record_recovery(now);
            log::info!(outage_ms = (now - since).0 / 1_000; "platform answers again");
        }
    }

    /// Records that the platform did not respond, and starts an outage unless one has started.
    fn record_platform_failure(&self, fault: &str) {
        if self.outage_start.get().is_none() {
            self.outage_start.set(Some(self.now()));
            self.membership.borrow_mut().set_platform_reachable(false);
            log::warn!(fault; "platform does not answer");
        }
    }
}

/// Logs what is newly known of the load of an engine.
fn log_load(report: &LoadReport) {
    let (addr, versions) = (report.start.addr.to_string(), report.versions_text());
    log::info!(
        addr = addr.as_str(), started_ms = report.start.started_ms, orders = report.orders,
        versions = versions.as_str(), proved = report.proved;
        "load of an engine"
    );
}

fn announced_version(published: &PublishedValue) -> Option<(ModelId, u64)> {
    match published {
        PublishedValue::TargetVersion(model, version) => Some((model.clone(), (*version)?)),
        _ => None,
    }
}

/// Ignores SIGHUP, which would otherwise end the process, as settings are read only at startup.
pub(crate) async fn ignore_sighup(mut reload: Signal) {
    while reload.recv().await.is_some() {
        log::info!("SIGHUP ignored: settings are read only at startup");
    }
}
