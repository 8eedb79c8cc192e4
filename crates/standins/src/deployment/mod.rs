//! The stand-ins and real processes of a declared deployment.

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
pub use self::{plan::Plan, records::Records, start::Setup};
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

/// Pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a graceful stop may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that the status of a process may take.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Orders in a row after which all endpoints that share the keys have run some.
const REQUIRED_ANSWERS: u32 = 40;
/// Lines of each log that a failed test shows.
const LOG_TAIL_LINES: usize = 8;

/// A running deployment.
pub struct Deployment {
    /// The platform.
    pub platform: Platform,
    /// The origin.
    pub origin: Origin,
    /// The engines by VM.
    pub engines: BTreeMap<VmId, Engine>,
    /// The plain services by VM.
    pub plain_services: BTreeMap<VmId, PlainService>,
    /// The records that the plain services share.
    pub plain_state: Rc<RefCell<plain::State>>,
    /// The relays before the processes, by VM.
    pub relays: BTreeMap<VmId, UdpRelay>,
    /// The relays between endpoint processes and their engines, by VM.
    pub engine_relays: BTreeMap<VmId, TcpRelay>,
    /// The processes by VM.
    pub processes: BTreeMap<VmId, Process>,
    /// The fingerprints of whole weights.
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
    /// Publishes the declarations after a change, under the next generation.
    pub fn publish(&mut self, change: impl FnOnce(&mut Vec<Declaration>)) -> anyhow::Result<()> {
        change(&mut self.declared);
        self.generation = self.generation.next();
        let published = PublishedSet::render(&self.declared, self.generation)?;
        published.verified_fleet()?;
        self.platform.publish(published);
        Ok(())
    }

    /// Returns the generation that was published last.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the declarations as they were published last.
    pub fn declared(&self) -> &[Declaration] {
        &self.declared
    }

    /// Sets the state of a VM in the platform's list.
    pub fn set_vm_state(&self, vm: &VmId, state: VmState) {
        self.platform.set_vm_state(vm, state);
    }

    /// Sends a signal to the process of a VM.
    pub fn signal(&self, vm: &VmId, signal: Signal) {
        if let Some(process) = self.processes.get(vm) {
            process.signal(signal);
        }
    }

    /// Asks the process of a VM to stop and returns whether it ended within `timeout`.
    pub async fn stop_process(&mut self, vm: &VmId, timeout: Duration) -> bool {
        let Some(mut process) = self.processes.remove(vm) else { return false };
        process.signal(Signal::Terminate);
        process.wait(timeout).await
    }

    /// Kills the process of a VM and waits until it is gone.
    pub async fn kill_process(&mut self, vm: &VmId) {
        if let Some(mut process) = self.processes.remove(vm) {
            process.signal(Signal::Kill);
            process.wait(STOP_TIMEOUT).await;
        }
    }

    /// Waits until all engines hold a version; returns how many.
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
                bail!("{ready} of {} replicas are ready", self.engines.len());
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every entry knows all running endpoints as open.
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
                bail!("the entries know {open:?} of {running} endpoints as open");
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until orders are answered in a row; endpoints that just started run none.
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
                bail!("an order through {entry} ended as {:?}", call.outcome);
            }
        }
        bail!("the deployment has no entry")
    }

    /// Returns a caller of the first client account.
    pub fn caller(&self) -> Caller {
        let client = self.plan.fleet.clients.keys().next().expect("the plan has a client account");
        Caller::new(&format!("key-{client}"))
    }

    /// Waits until all running processes show the published generation; returns the time it took.
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
            bail!("{vm} has not adopted generation {}", self.generation)
        }));
        let took: Vec<Duration> = waits.await.into_iter().collect::<anyhow::Result<_>>()?;
        Ok(took.into_iter().max().unwrap_or_default())
    }

    /// Returns the status of a process.
    pub async fn status(&self, vm: &VmId) -> anyhow::Result<Status> {
        let addr = admin_addr(&self.plan.fleet.vms[vm]);
        let client = awc::Client::builder().timeout(STATUS_TIMEOUT).finish();
        let request = client.get(format!("http://{addr}/status"));
        let mut response = request.send().await.map_err(|e| anyhow::anyhow!("{vm}: {e}"))?;
        Ok(serde_json::from_slice(&response.body().await?)?)
    }

    /// Returns the bytes that the origin has given.
    pub fn origin_bytes(&self) -> u64 {
        self.origin.state.borrow().bytes_sent
    }

    /// Returns the address for callers of an entry VM.
    pub fn entry(&self, vm: &VmId) -> SocketAddr {
        caller_addr(&self.plan.fleet.vms[vm])
    }

    /// Returns the addresses of the entries for callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let entries = self.plan.fleet.vms.values().filter(|vm| vm.role == Role::Entry);
        entries.map(caller_addr).collect()
    }

    /// Returns what the stand-ins have recorded.
    pub fn records(&self) -> Records<'_> {
        Records::new(self)
    }

    /// Stops all processes gracefully.
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
