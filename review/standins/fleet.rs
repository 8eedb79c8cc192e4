//! A small deployment with model workers: two gateways, and a loader beside each worker.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    case::Case,
    engine::{Engine, MODEL, Origin, llm_service, origin_service},
    http::Connection,
    platform::{Machine, Store, config, request, route},
    process::Process,
};

/// A running deployment.
pub struct Fleet {
    case: Case,
    pub store: Store,
    pub origin: Origin,
    origin_addr: SocketAddr,
    pub engines: Vec<Engine>,
    fronts: Vec<Machine>,
    sides: Vec<Machine>,
    platform: SocketAddr,
    peer_port: u16,
    processes: Vec<Arc<Process>>,
}

impl Fleet {
    /// Starts a deployment with some workers, which hold version 1, and an origin with newer ones.
    pub fn start(case: &Case, workers: usize, newest: u64) -> Result<Self, String> {
        let platform = case.free_addr(&case.machine());
        let store = Store::start(platform)?;
        let origin_addr = case.free_addr(&case.machine());
        let origin = Origin::start(case, origin_addr, newest)?;
        publish(&store, origin_addr, 3);
        let fronts: Vec<Machine> =
            (1..=2).map(|number| Machine::new(case, &format!("front-{number}"))).collect();
        let sides: Vec<Machine> =
            (1..=workers).map(|number| Machine::new(case, &format!("side-{number}"))).collect();
        let engines = sides.iter().enumerate().map(|(index, side)| {
            Engine::start(case, &store, &format!("i-{index}"), case.free_addr(&side.ip))
        });
        let engines = engines.collect::<Result<Vec<Engine>, String>>()?;
        let peer_port = case.free_addr(&fronts[0].ip).port();
        let case = case.clone();
        let processes = vec![];
        let mut fleet = Self {
            case,
            store,
            origin,
            origin_addr,
            engines,
            fronts,
            sides,
            platform,
            peer_port,
            processes,
        };
        fleet.start_processes()?;
        Ok(fleet)
    }

    /// Starts all gateways and loaders and waits until the gateways are ready.
    pub fn start_processes(&mut self) -> Result<(), String> {
        let (port, platform) = (self.peer_port, self.platform);
        for front in &self.fronts {
            let settings = front.gateway_settings(port, &self.fronts, platform);
            self.processes.push(Process::start(&self.case, "gateway", &front.vm, &settings)?);
        }
        for (side, engine) in self.sides.iter().zip(&self.engines) {
            let settings = side.loader_settings(port, &self.fronts, platform, engine.addr);
            self.processes.push(Process::start(&self.case, "loader", &side.vm, &settings)?);
        }
        self.fronts.iter().try_for_each(Machine::wait_ready)
    }

    /// Returns the loader beside a worker.
    pub fn loader(&self, worker: usize) -> Arc<Process> {
        self.processes[self.fronts.len() + worker].clone()
    }

    /// Kills all gateways and loaders at once.
    pub fn kill_all(&mut self) {
        self.processes.drain(..).for_each(|process| process.kill());
    }

    /// Publishes the configuration under a new version.
    pub fn publish(&self, version: u64) {
        publish(&self.store, self.origin_addr, version);
        self.case.note(&format!("configuration {version} acknowledged"));
    }

    /// Names a version of the weights.
    pub fn name_version(&self, version: u64) {
        let value = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        self.store.put(&format!("op/version/{MODEL}"), &value);
        self.case.note(&format!("version {version} acknowledged"));
    }

    /// Sends requests to the gateways in turn, one each `pause`, and returns how many were served.
    pub fn ask(&self, count: usize, pause: Duration) -> usize {
        let mut served = 0;
        for front in self.fronts.iter().cycle().take(count) {
            let attempt = self.case.attempt_id();
            let more = format!(
                "Deadline-Ms: 6000\r\nModel: {MODEL}\r\nToken-Counts: 647,70\r\n\
                 Prompt-Prefix: 5c1e07a2:40,{attempt}:607\r\n"
            );
            let text = request("POST", "/ask/1", &attempt, Some("key-oslo"), &more);
            let answer = Connection::open(front.callers).and_then(|mut c| c.exchange(&text));
            let told = match &answer {
                Ok(answer) => answer.status().to_string(),
                Err(error) => error.to_string(),
            };
            let is_served = answer.is_ok_and(|answer| {
                answer.status() == 200 && answer.header("server-stamp").is_some()
            });
            served += usize::from(is_served);
            self.case.note(&format!("{attempt} to {}: {told}", front.vm));
            std::thread::sleep(pause);
        }
        served
    }
}

fn publish(store: &Store, origin: SocketAddr, version: u64) {
    let routes = [route("staff-question", "/ask/", "streaming", "llm", 6_000)];
    let tenants: [(&str, &[&str]); 1] = [("oslo-home", &["key-oslo"])];
    let services = [llm_service(), origin_service(origin)];
    store.put("op/config", &config(version, &routes, &services, &tenants));
}
