//! A declared deployment that runs on loopback: real processes and simulated services.

pub mod network;
mod plan;
mod records;
mod settings;
mod start;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::bail;
use futures_util::future::join_all;
use sequoiahold::status::Status;
use sequoiahold_core::{
    declare::{Declaration, Fleet, PublishedSet, Role},
    ids::{Digest, Generation, VersionId, VmId},
    vm_state::VmState,
};

use self::settings::{Addrs, SharedServices, admin_addr, caller_addr};
pub use self::{
    plan::{EXAMPLES, Plan},
    records::Records,
    start::Setup,
};
use crate::{
    callers::{Caller, Order, Outcome},
    engine::Engine,
    keys::Authority,
    origin::Origin,
    plain::{self, PlainService},
    platform::Platform,
    processes::{Process, Signal},
    relay::{TcpRelay, UdpRelay},
};

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for a process to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Consecutive answered orders after which every endpoint that shares the keys has run some.
const REQUIRED_ANSWERS: u32 = 40;
/// Lines of each log that a failed test prints.
const LOG_TAIL_LINES: usize = 8;

/// A running deployment.
pub struct Deployment {
    /// The simulated platform.
    pub platform: Platform,
    /// The simulated origin of weights.
    pub origin: Origin,
    /// The simulated engines by VM.
    pub engines: BTreeMap<VmId, Engine>,
    /// The simulated plain services by VM.
    pub plain_services: BTreeMap<VmId, PlainService>,
    /// The state that the plain services share.
    pub plain_state: Rc<RefCell<plain::State>>,
    /// The relays in front of the processes, by VM.
    pub relays: BTreeMap<VmId, UdpRelay>,
    /// The relays between endpoint processes and their engines, by VM.
    pub engine_relays: BTreeMap<VmId, TcpRelay>,
    /// The processes by VM.
    pub processes: BTreeMap<VmId, Process>,
    /// The fingerprints of the complete weights of all versions.
    pub fingerprints: BTreeSet<Digest>,
    /// The declared deployment.
    pub plan: Plan,
    setup: Setup,
    services: SharedServices,
    authority: Authority,
    declared: Vec<Declaration>,
    generation: Generation,
    probe_count: Cell<u32>,
    dir: PathBuf,
    _network: Option<network::Network>,
}

impl Deployment {
    /// Changes the declarations and publishes them under the next generation.
    ///
    /// Fails if the changed declarations are not valid.
    pub fn publish(&mut self, change: impl FnOnce(&mut Vec<Declaration>)) -> anyhow::Result<()> {
        change(&mut self.declared);
        self.generation = self.generation.next();
        let published = PublishedSet::render(&self.declared, self.generation)?;
        published.verified_fleet()?;
        self.platform.publish(published);
        Ok(())
    }

    /// Returns the last published generation.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the last published declarations.
    pub fn declared(&self) -> &[Declaration] {
        &self.declared
    }

    /// Sets the state of a VM in the platform's VM list.
    pub fn set_vm_state(&self, vm: &VmId, state: VmState) {
        self.platform.set_vm_state(vm, state);
    }

    /// Sends a signal to the process of a VM.
    pub fn signal(&self, vm: &VmId, signal: Signal) {
        if let Some(process) = self.processes.get(vm) {
            process.signal(signal);
        }
    }

    /// Terminates the process of a VM gracefully; returns whether it ended within `timeout`.
    pub async fn stop_process(&mut self, vm: &VmId, timeout: Duration) -> bool {
        let Some(mut process) = self.processes.remove(vm) else { return false };
        process.signal(Signal::Terminate);
        process.wait(timeout).await
    }

    /// Kills the process of a VM and waits until it has ended.
    pub async fn kill_process(&mut self, vm: &VmId) {
        if let Some(mut process) = self.processes.remove(vm) {
            process.signal(Signal::Kill);
            process.wait(STOP_TIMEOUT).await;
        }
    }

    /// Waits until all engines have loaded `version` and returns their number.
    ///
    /// Fails if `timeout` passes first.
    pub async fn wait_ready(
        &self,
        version: &VersionId,
        timeout: Duration,
    ) -> anyhow::Result<usize> {
        let deadline = Instant::now() + timeout;
        loop {
            let holds = |engine: &&Engine| engine.version().as_ref() == Some(version);
            let ready = self.engines.values().filter(holds).count();
            if ready == self.engines.len() {
                return Ok(ready);
            }
            if Instant::now() > deadline {
                bail!("{ready} of {} replicas have loaded {version}", self.engines.len());
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every entry sees all running endpoints as open; fails after `timeout`.
    pub async fn wait_open(&self, timeout: Duration) -> anyhow::Result<()> {
        let endpoints = |vm: &&VmId| self.plan.fleet.pool_of(vm).is_some();
        let running = self.processes.keys().filter(endpoints).count();
        let deadline = Instant::now() + timeout;
        loop {
            let all = join_all(self.plan.entry_vms().into_iter().map(async |vm| {
                let status = self.status(&vm).await?;
                anyhow::Ok(status.endpoints.values().filter(|known| known.open).count())
            }));
            let open: Vec<usize> = all.await.into_iter().map(|n| n.unwrap_or(0)).collect();
            if open.iter().all(|open| *open >= running) {
                return Ok(());
            }
            if Instant::now() > deadline {
                bail!("the entries see {open:?} of {running} endpoints as open");
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until `REQUIRED_ANSWERS` consecutive orders are answered; fails after `timeout`.
    ///
    /// An endpoint runs no orders in the first seconds after its start.
    pub async fn wait_orders(&self, timeout: Duration) -> anyhow::Result<()> {
        let (caller, service, entries) = (self.caller(), self.plan.order_service(), self.entries());
        let deadline = Instant::now() + timeout;
        let mut answered = 0;
        for entry in entries.iter().cycle() {
            self.probe_count.set(self.probe_count.get() + 1);
            let order = Order::now(&format!("probe-{}", self.probe_count.get()));
            let call = caller.place_order(*entry, &service, &order).await;
            answered = if call.outcome == Outcome::Answered { answered + 1 } else { 0 };
            if answered == REQUIRED_ANSWERS {
                return Ok(());
            }
            if answered == 0 {
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
            if Instant::now() > deadline {
                bail!("the last order through {entry} ended as {:?}", call.outcome);
            }
        }
        bail!("the deployment has no entry")
    }

    /// Returns a caller with the key of the first client account.
    pub fn caller(&self) -> Caller {
        let client = self.plan.fleet.clients.keys().next().expect("the plan has a client account");
        Caller::new(&format!("key-{client}"))
    }

    /// Waits until all running processes report the published generation; returns the time taken.
    ///
    /// Fails if a process does not report it within `timeout`.
    pub async fn wait_in_force(&self, timeout: Duration) -> anyhow::Result<Duration> {
        let start = Instant::now();
        let waits = join_all(self.processes.keys().map(async |vm| {
            while start.elapsed() < timeout {
                let status = self.status(vm).await;
                if status.is_ok_and(|status| status.generation >= self.generation) {
                    return Ok(start.elapsed());
                }
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
            bail!("{vm} did not adopt generation {} before the timeout", self.generation)
        }));
        let took: Vec<Duration> = waits.await.into_iter().collect::<anyhow::Result<_>>()?;
        Ok(took.into_iter().max().unwrap_or_default())
    }

    /// Requests the status of the process of a VM.
    pub async fn status(&self, vm: &VmId) -> anyhow::Result<Status> {
        let addr = admin_addr(&self.plan.fleet.vms[vm]);
        let client = awc::Client::builder().timeout(STATUS_TIMEOUT).finish();
        let request = client.get(format!("http://{addr}/status"));
        let mut response = request.send().await.map_err(|e| anyhow::anyhow!("{vm}: {e}"))?;
        Ok(serde_json::from_slice(&response.body().await?)?)
    }

    /// Returns the bytes that the origin has sent.
    pub fn origin_bytes(&self) -> u64 {
        self.origin.state.borrow().bytes_sent
    }

    /// Returns the address on which an entry VM accepts callers.
    pub fn entry(&self, vm: &VmId) -> SocketAddr {
        caller_addr(&self.plan.fleet.vms[vm])
    }

    /// Returns the addresses on which all entries accept callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let entries = self.plan.fleet.vms.values().filter(|vm| vm.role == Role::Entry);
        entries.map(caller_addr).collect()
    }

    /// Returns the records of the simulated services.
    pub fn records(&self) -> Records<'_> {
        Records::new(self)
    }

    /// Terminates all processes gracefully and waits until they have ended.
    pub async fn stop(&mut self) {
        for process in self.processes.values() {
            process.signal(Signal::Terminate);
        }
        for process in self.processes.values_mut() {
            process.wait(STOP_TIMEOUT).await;
        }
    }

    fn fleet(&self) -> &Fleet {
        &self.plan.fleet
    }

    fn print_logs(&self) {
        for vm in self.plan.fleet.vms.keys() {
            let log = fs::read_to_string(self.dir.join(format!("{vm}.log"))).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
            eprintln!("{vm}:\n  {}", tail.join("\n  "));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
        self.processes.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}
