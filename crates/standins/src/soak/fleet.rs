//! The gateways, engines and store of a soak, with relays between them.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use anyhow::ensure;
use rand::{Rng as _, rngs::SmallRng, seq::IndexedRandom as _};
use serde_json::{Value, json};

use super::{
    call::probe,
    engine::Engine,
    journal::{Journal, Part},
    origin,
    plan::Plan,
};
use crate::{
    hosted::{Store, add_engine, gateway_config, gateway_settings, loopback_addr},
    processes::{Process, Signal},
    relay::{RelayFilter, TcpRelay},
};

/// First port on which processes listen.
const FIRST_PORT: u16 = 16_000;
/// Number of soaks of one process after which their ports are used again.
const MAX_SOAKS: u16 = 1_000;
/// Maximum number of gateways; each process has a loopback address of its own.
const MAX_GATEWAYS: usize = 200;
/// Number of gateways that a process is told as seeds.
const SEEDS: usize = 3;
/// Time within which all gateways must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of API keys that are valid at the same time.
const VALID_KEYS: usize = 3;
/// One in so many requests carries a key that was removed.
const REMOVED_KEY_RATIO: u32 = 10;

/// The ports of a soak, the same for all its processes, each at an address of its own.
#[derive(Clone, Copy, Debug)]
struct Ports {
    peers: u16,
    callers: u16,
    ready: u16,
}

impl Ports {
    /// Returns ports that no other soak of this process uses.
    fn next() -> Self {
        static NEXT: AtomicU16 = AtomicU16::new(0);
        let first = FIRST_PORT + 3 * (NEXT.fetch_add(1, Ordering::Relaxed) % MAX_SOAKS);
        Self { peers: first, callers: first + 1, ready: first + 2 }
    }
}

/// A process of the system, which is started again whenever it has ended.
pub(super) struct Member {
    /// The name of its VM.
    pub(super) vm: String,
    role: &'static str,
    settings: Value,
    /// The running process, `None` while it is stopped by the soak.
    pub(super) process: RefCell<Option<Process>>,
}

/// The links of a gateway.
pub(super) struct Gateway {
    ready: SocketAddr,
    callers: TcpRelay,
    /// The link to the store.
    pub(super) store: RelayFilter,
}

impl Gateway {
    /// Returns the address for callers.
    pub(super) fn entrance(&self) -> SocketAddr {
        self.callers.addr
    }

    /// Returns the link of its callers.
    pub(super) fn callers(&self) -> &RelayFilter {
        &self.callers.filter
    }
}

impl Member {
    fn new(role: &'static str, number: usize, settings: Value) -> Self {
        Self { vm: vm(role, number), role, settings, process: RefCell::default() }
    }

    /// Sends a signal to the process if it runs.
    pub(super) fn signal(&self, signal: Signal) {
        if let Some(process) = self.process.borrow().as_ref() {
            process.signal(signal);
        }
    }
}

/// An engine with the link in front of it.
pub(super) struct Seat {
    /// The engine.
    pub(super) engine: Engine,
    /// The link to the engine, whose address is published.
    pub(super) link: TcpRelay,
    published: RefCell<(String, Value)>,
}

/// All parts of a soak.
pub(super) struct Fleet {
    /// What was seen.
    pub(super) journal: Journal,
    /// The store.
    pub(super) store: Store,
    /// The processes; gateways come first.
    pub(super) members: Vec<Member>,
    /// The links of the gateways.
    pub(super) gateways: Vec<Gateway>,
    /// The engines.
    pub(super) seats: Vec<Seat>,
    /// The folder of settings and logs.
    pub(super) dir: PathBuf,
    program: PathBuf,
    origin: SocketAddr,
    loaders: bool,
    version: Cell<u64>,
    config: Cell<u64>,
    keys: RefCell<Vec<String>>,
    /// What operators published last, by key.
    operators: RefCell<BTreeMap<&'static str, Value>>,
}

impl Fleet {
    /// Starts the stand-ins and processes, and waits until all gateways are ready.
    pub(super) async fn start(plan: &Plan, program: PathBuf) -> anyhow::Result<Self> {
        ensure!(plan.gateways <= MAX_GATEWAYS, "more than {MAX_GATEWAYS} gateways");
        let name = format!("soak-{}-{}", std::process::id(), plan.seed);
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir)?;
        let journal = Journal::new(plan.bound);
        let platform = loopback_addr();
        let mut fleet = Self {
            journal: journal.clone(),
            store: Store::start(platform).await?,
            members: vec![],
            gateways: vec![],
            seats: vec![],
            dir,
            program,
            origin: loopback_addr(),
            loaders: plan.loaders,
            version: Cell::new(0),
            config: Cell::new(0),
            keys: RefCell::default(),
            operators: RefCell::default(),
        };
        fleet.publish_config();
        fleet.publish_version();
        for number in 0..plan.engines {
            let (addr, instance) = (loopback_addr(), format!("i-{number}"));
            let engine =
                Engine::start(addr, &instance, 1, plan.seed + number as u64, &journal).await?;
            if let Some(storm) = &plan.storm {
                engine.prepare_storm(storm.slow_reads, !plan.seed ^ number as u64);
            }
            let link = TcpRelay::start(loopback_addr(), addr).await?;
            fleet.seats.push(Seat { engine, link, published: RefCell::default() });
        }
        origin::start(fleet.origin).await?;
        fleet.publish_engines();
        fleet.add_members(plan, platform).await?;
        (0..fleet.members.len()).try_for_each(|number| fleet.start_member(number))?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn add_members(&mut self, plan: &Plan, platform: SocketAddr) -> anyhow::Result<()> {
        let ports = Ports::next();
        let count = plan.gateways + plan.engines;
        let addrs: Vec<SocketAddr> = (0..count).map(|_| loopback_addr()).collect();
        let (addrs, loader_addrs) = addrs.split_at(plan.gateways);
        let seeds = &addrs[..addrs.len().min(SEEDS)];
        for (number, addr) in addrs.iter().enumerate() {
            let at = |port| SocketAddr::new(addr.ip(), port);
            let store = TcpRelay::start(loopback_addr(), platform).await?;
            let callers = TcpRelay::start(loopback_addr(), at(ports.callers)).await?;
            let settings =
                settings(plan, &vm("gateway", number), (*addr, ports), seeds, store.addr);
            self.members.push(Member::new("gateway", number, settings));
            let links = Gateway { ready: at(ports.ready), callers, store: store.filter };
            self.gateways.push(links);
        }
        let loaders = self.seats.iter().zip(loader_addrs).filter(|_| plan.loaders);
        for (number, (seat, addr)) in loaders.enumerate() {
            let common = settings(plan, &vm("loader", number), (*addr, ports), seeds, platform);
            let settings = json!({
                "node": common["node"], "engine": seat.link.addr, "service": "llm",
                "link": "100Mbit/s", "log": { "format": "json" }
            });
            self.members.push(Member::new("loader", number, settings));
        }
        Ok(())
    }

    /// Starts a process; one that overlapping faults have started already is killed.
    pub(super) fn start_member(&self, number: usize) -> anyhow::Result<()> {
        let member = &self.members[number];
        drop(member.process.take());
        let (role, vm) = (member.role, &member.vm);
        let process = Process::start(&self.program, role, vm, &self.dir, &member.settings)?;
        member.process.replace(Some(process));
        Ok(())
    }

    /// Returns the key of a request: mostly a valid one, at times one that was removed.
    pub(super) fn choose_key(&self, rng: &mut SmallRng) -> String {
        let keys = self.keys.borrow();
        let valid = keys.len().saturating_sub(VALID_KEYS);
        let removed = rng.random_ratio(1, REMOVED_KEY_RATIO).then(|| keys[..valid].choose(rng));
        removed.flatten().or(keys[valid..].choose(rng)).cloned().unwrap_or_default()
    }

    /// Publishes the next configuration, which replaces the oldest key by a new one.
    pub(super) fn publish_config(&self) {
        let version = self.config.get() + 1;
        self.config.set(version);
        let mut keys = self.keys.borrow_mut();
        let missing = VALID_KEYS.saturating_sub(keys.len()).max(1);
        let first = keys.len();
        keys.extend((first..first + missing).map(|number| format!("key-{number}")));
        let valid = &keys[keys.len() - VALID_KEYS..];
        let names: Vec<&str> = valid.iter().map(String::as_str).collect();
        let mut config = gateway_config(version, &names);
        add_engine(&mut config, "assist", self.origin);
        if !self.loaders
            && let Some(service) = config["services"][0].as_object_mut()
        {
            // Gateways expect loaders where an origin supplies the weights.
            service.remove("origin");
        }
        let mut once = config["routes"][2].clone();
        once["name"] = json!("streams-once");
        once["prefix"] = json!("/stream/once/");
        once["resume_streams"] = json!(false);
        config["routes"].as_array_mut().into_iter().for_each(|routes| routes.push(once.clone()));
        self.publish("op/config", config);
        self.journal.publish_keys(valid);
    }

    fn publish(&self, key: &'static str, value: Value) {
        self.store.put(key, Some(value.clone()));
        self.operators.borrow_mut().insert(key, value);
    }

    /// Publishes again what operators and engines published last.
    pub(super) fn publish_again(&self) {
        for (key, value) in &*self.operators.borrow() {
            self.store.put(key, Some(value.clone()));
        }
        for (key, entry) in self.seats.iter().map(|seat| seat.published.borrow().clone()) {
            self.store.put(&key, Some(entry));
        }
    }

    /// Removes the entries of engines that have ended.
    pub(super) fn remove_stale_entries(&self) {
        let is_current =
            |key: &String| self.seats.iter().any(|seat| seat.published.borrow().0 == *key);
        let keys = self.store.keys().into_iter().filter(|key| key.starts_with("servers/"));
        keys.filter(|key| !is_current(key)).for_each(|key| self.store.put(&key, None));
    }

    /// Publishes the next version of the weights.
    pub(super) fn publish_version(&self) -> u64 {
        let version = self.version.get() + 1;
        self.version.set(version);
        let value = json!({ "model": "assist", "version": version });
        self.publish("op/version/assist", value);
        self.journal.publish_version(version);
        version
    }

    /// Returns the newest published version.
    pub(super) fn newest_version(&self) -> u64 {
        self.version.get()
    }

    /// Returns the version that an engine holds after a start; with loaders none.
    pub(super) fn start_version(&self) -> Option<u64> {
        (!self.loaders).then(|| self.newest_version())
    }

    /// Publishes the entries of the engines that have changed.
    pub(super) fn publish_engines(&self) {
        for seat in &self.seats {
            let (key, entry) =
                (format!("servers/{}", seat.engine.instance()), seat.engine.entry(seat.link.addr));
            let mut published = seat.published.borrow_mut();
            if *published == (key.clone(), entry.clone()) {
                continue;
            }
            if !published.0.is_empty() && published.0 != key {
                self.store.put(&published.0, None);
                self.journal.publish_leaving(published.0.trim_start_matches("servers/"));
            }
            if entry["state"] == "draining" {
                self.journal.publish_leaving(&seat.engine.instance());
            }
            self.store.put(&key, Some(entry.clone()));
            *published = (key, entry);
        }
    }

    /// Reports the processes that ended without a signal of the soak, and starts them again.
    pub(super) fn check_processes(&self) -> anyhow::Result<()> {
        for (number, member) in self.members.iter().enumerate() {
            let ended = member.process.borrow_mut().as_mut().is_some_and(Process::has_ended);
            if ended {
                self.journal.report("ENDED", &member.vm, "ended by itself");
                self.journal.begin(Part::Process(number));
                self.journal.notices(|notices| notices.interrupt(number));
                self.start_member(number)?;
                self.journal.end(Part::Process(number));
            }
        }
        Ok(())
    }

    async fn wait_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for (gateway, member) in self.gateways.iter().zip(&self.members) {
            while probe(gateway.ready, "/-/readiness").await != 200 {
                ensure!(Instant::now() < deadline, "{} is not ready", member.vm);
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }
}

fn vm(role: &str, number: usize) -> String {
    format!("{role}-{number}")
}

fn settings(
    plan: &Plan,
    vm: &str,
    (addr, ports): (SocketAddr, Ports),
    seeds: &[SocketAddr],
    store: SocketAddr,
) -> Value {
    let at = |port| SocketAddr::new(addr.ip(), port);
    let (peers, callers, ready) = (at(ports.peers), at(ports.callers), at(ports.ready));
    let mut settings = gateway_settings(vm, peers, store, seeds, callers, ready);
    settings["node"]["bounds"]["version"] = json!(format!("{}ms", plan.bound.as_millis()));
    settings["node"]["bounds"]["grace"] = json!("3s");
    settings
}
