//! Real loaders beside simulated engines, with one gateway, all on loopback.

use std::{
    cell::RefCell,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use anyhow::bail;
use serde_json::{Value, json};

use super::{
    Call, EngineRun, Store, WeightEngine, WeightOrigin,
    cluster::exchange,
    gateway_config, gateway_settings, loopback_addr,
    settings::add_engine,
    weights::{CHUNK_BYTES, CHUNKS, MODEL},
};
use crate::processes::{Process, Signal, program_path};

/// The name of the gateway's VM.
const GATEWAY: &str = "gateway-0";
/// Time within which the gateway must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time within which a version must be in use everywhere.
const ROLLOUT_TIME: &str = "6000ms";

/// A loader process.
#[derive(Clone)]
pub struct Loader {
    vm: String,
    settings: Value,
    dir: PathBuf,
    process: Rc<RefCell<Option<Process>>>,
}

impl Loader {
    /// Starts the process, which is ended first if it runs.
    pub fn start(&self) -> anyhow::Result<()> {
        self.process.take();
        let process =
            Process::start(&program_path(), "loader", &self.vm, &self.dir, &self.settings)?;
        self.process.replace(Some(process));
        Ok(())
    }

    /// Ends the process without notice.
    pub fn kill(&self) {
        self.process.take();
    }

    /// Has the process stand still for a time.
    pub fn freeze(&self, time: Duration) {
        let loader = self.clone();
        loader.signal(Signal::Stop);
        actix_rt::spawn(async move {
            sleep(time).await;
            loader.signal(Signal::Continue);
        });
    }

    /// Has a process that stands still go on.
    pub fn resume(&self) {
        self.signal(Signal::Continue);
    }

    /// Returns the lines that the process has logged; fails if they cannot be read.
    pub fn log(&self) -> std::io::Result<String> {
        std::fs::read_to_string(self.dir.join(format!("{}.log", self.vm)))
    }

    fn signal(&self, signal: Signal) {
        if let Some(process) = self.process.borrow().as_ref() {
            process.signal(signal);
        }
    }
}

/// Running loaders; the engines `i-0`, `i-1` and so on hold version 1.
pub struct LoaderFleet {
    /// The store.
    pub store: Store,
    /// The origin.
    pub origin: WeightOrigin,
    /// The engines.
    pub engines: Vec<WeightEngine>,
    /// The loaders, one for each engine.
    pub loaders: Vec<Loader>,
    callers: SocketAddr,
    ready: SocketAddr,
    gateway_settings: Value,
    gateway: RefCell<Option<Process>>,
    dir: PathBuf,
}

impl Drop for LoaderFleet {
    fn drop(&mut self) {
        // A directory left behind among the temporary files does no harm.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl LoaderFleet {
    /// Starts a fleet that holds version 1, as announced, and waits until its gateway is ready; fails
    /// as [`LoaderFleet::start_unannounced`].
    pub async fn start(engines: usize) -> anyhow::Result<Self> {
        let fleet = Self::start_unannounced(engines).await?;
        fleet.publish_version(1);
        Ok(fleet)
    }

    /// Starts a fleet that holds version 1 without any announcement, and waits until its gateway is
    /// ready; fails if an address cannot be bound or the gateway is not ready within 20 s.
    pub async fn start_unannounced(engines: usize) -> anyhow::Result<Self> {
        let (platform, origin_addr) = (loopback_addr(), loopback_addr());
        let dir = std::env::temp_dir().join(format!(
            "loaders-{}-{}",
            std::process::id(),
            platform.to_string().replace(':', "-")
        ));
        std::fs::create_dir_all(&dir)?;
        let store = Store::start(platform).await?;
        let mut config = gateway_config(1, &["key-1"]);
        add_engine(&mut config, MODEL, origin_addr);
        config["services"][0]["engine"]["chunks"] = json!(CHUNKS);
        config["services"][0]["engine"]["chunk_bytes"] = json!(CHUNK_BYTES);
        store.put("op/config", Some(config));
        let origin = WeightOrigin::start(origin_addr).await?;
        let port = loopback_addr().port();
        let peers: Vec<SocketAddr> =
            (0..=engines).map(|_| SocketAddr::new(loopback_addr().ip(), port)).collect();
        let (callers, ready) = (loopback_addr(), loopback_addr());
        let settings = |vm: &str, own| {
            let mut settings = gateway_settings(vm, own, platform, &peers[..1], callers, ready);
            settings["node"]["bounds"]["version"] = json!(ROLLOUT_TIME);
            settings
        };
        let gateway_settings = settings(GATEWAY, peers[0]);
        let (mut started, mut loaders) = (vec![], vec![]);
        for number in 0..engines {
            let addr = loopback_addr();
            started.push(WeightEngine::start(&store, addr, &format!("i-{number}"), 1).await?);
            let vm = format!("loader-{number}");
            let common = settings(&vm, peers[number + 1]);
            let settings = json!({
                "node": common["node"], "engine": addr, "service": "llm", "link": "100Mbit/s",
                "log": { "format": "json" }
            });
            let loader = Loader { vm, settings, dir: dir.clone(), process: Rc::default() };
            loader.start()?;
            loaders.push(loader);
        }
        let fleet = Self {
            store,
            origin,
            engines: started,
            loaders,
            callers,
            ready,
            gateway_settings,
            gateway: RefCell::default(),
            dir,
        };
        fleet.restart_gateway()?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts the gateway, which is ended first if it runs.
    pub fn restart_gateway(&self) -> anyhow::Result<()> {
        self.gateway.take();
        let settings = &self.gateway_settings;
        let process = Process::start(&program_path(), "gateway", GATEWAY, &self.dir, settings)?;
        self.gateway.replace(Some(process));
        Ok(())
    }

    /// Publishes the version that all engines must hold.
    pub fn publish_version(&self, version: u64) {
        let value = json!({ "model": MODEL, "version": version });
        self.store.put(&format!("op/version/{MODEL}"), Some(value));
    }

    /// Sends a request to the gateway and reads the answer.
    pub async fn call(&self) -> Call {
        let request = super::request("GET", "/read/1", "key-1");
        let with_model = format!("Model: {MODEL}\r\nConnection: close\r\n");
        exchange(self.callers, &request.replace("Connection: close\r\n", &with_model)).await
    }

    /// Sends requests one after another for a time; returns the number answered with status 200.
    pub async fn call_for(&self, time: Duration) -> usize {
        let (end, mut answered) = (Instant::now() + time, 0);
        while Instant::now() < end {
            answered += usize::from(self.call().await.status == 200);
            sleep(POLL_INTERVAL).await;
        }
        answered
    }

    /// Returns the requests that ran on a load from bad chunks.
    pub fn bad_runs(&self) -> Vec<EngineRun> {
        let runs = self.engines.iter().flat_map(|engine| engine.runs());
        runs.filter(|run| !run.bad.is_empty()).collect()
    }

    /// Waits until an engine holds a version; returns whether it does within `timeout`.
    pub async fn wait_version(&self, engine: usize, version: u64, timeout: Duration) -> bool {
        self.wait_until(timeout, || self.engines[engine].version() == Some(version)).await
    }

    /// Waits until a condition holds; returns whether it does within `timeout`.
    pub async fn wait_until(&self, timeout: Duration, done: impl Fn() -> bool) -> bool {
        let deadline = Instant::now() + timeout;
        while !done() {
            if Instant::now() > deadline {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Waits until the gateway is ready; fails if it is not within 20 s.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let request = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let deadline = Instant::now() + READY_TIMEOUT;
        while exchange(self.ready, request).await.status != 200 {
            if Instant::now() > deadline {
                bail!("the gateway is not ready");
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}
