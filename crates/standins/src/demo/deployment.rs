//! The stand-ins and processes of a declared deployment.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context as _, bail};
use sequoiahold::{
    command::files,
    settings::{self, Limits, Log, Metrics},
    status::Status,
};
use sequoiahold_core::{
    declare::{Backend, Declared, Fleet, Object, Published, Role, Vm, load::read_set},
    ids::{Digest, Generation, VersionId, VmId, ZoneId},
    member::VmState,
    units::{ByteRate, Bytes, Span},
};

use super::report::Report;
use crate::{
    content::{Content, fingerprint},
    engine::{Behaviour, Engine},
    keys::Authority,
    origin::Origin,
    plain::{self, Plain},
    platform::Platform,
    processes::{Process, Signal},
};

/// Size of a chunk of the scaled weights.
const CHUNK: Bytes = Bytes(64_000);
/// Time in which the origin's link carries four copies, and a machine's link two.
const WINDOW: Span = Span::secs(8);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// Time that a graceful stop may take.
const STOP: Duration = Duration::from_secs(20);

/// A declared deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The declared objects.
    pub declared: Vec<Declared>,
    /// The fleet that they make.
    pub fleet: Fleet,
}

impl Plan {
    /// Reads a deployment below the directory of examples.
    pub fn read(examples: &Path, name: &str) -> anyhow::Result<Self> {
        let files = files::read(&examples.join(name))?;
        let set = read_set(files.iter().map(|(name, text)| (name.as_str(), text.as_str())));
        let (declared, fleet) = set.map_err(|faults| anyhow::anyhow!("{}", faults[0]))?;
        Ok(Self { declared, fleet })
    }

    /// Returns the version with this number of the first model.
    pub fn version(&self, number: usize) -> VersionId {
        self.fleet.versions.keys().nth(number - 1).cloned().expect("the plan has two versions")
    }

    /// Returns the first zone.
    pub fn first_zone(&self) -> ZoneId {
        self.fleet.zones.keys().next().cloned().expect("the plan has a zone")
    }

    /// Returns the last endpoint VM before an engine.
    pub fn last_endpoint(&self) -> VmId {
        let engines = self.fleet.vms.values().filter(|vm| self.model_vm(vm));
        engines.map(|vm| vm.name.clone()).next_back().expect("the plan has an engine")
    }

    /// Sets the version that the first model's endpoints serve.
    pub fn set_version(&self, declared: &mut [Declared], number: usize) {
        for one in declared {
            if let Object::Model(model) = &mut one.object {
                model.version = self.version(number);
            }
        }
    }

    /// Takes a zone out, or back in.
    pub fn set_out(&self, declared: &mut [Declared], zone: &ZoneId, out: bool) {
        for one in declared {
            if let Object::Zone(object) = &mut one.object
                && object.name == *zone
            {
                object.out = out;
            }
        }
    }

    /// Returns whether a VM stands before an engine.
    pub fn model_vm(&self, vm: &Vm) -> bool {
        match &vm.role {
            Role::Endpoint(pool) => self.fleet.pool_version(pool).is_some(),
            Role::Entry => false,
        }
    }

    /// Returns the size of the first model's weights.
    pub fn size(&self) -> Bytes {
        self.fleet.versions.values().next().map_or(Bytes(0), |version| version.size)
    }
}

/// A running deployment.
pub struct Deployment {
    /// The platform.
    pub platform: Platform,
    /// The origin.
    pub origin: Origin,
    /// The engines by VM.
    pub engines: BTreeMap<VmId, Engine>,
    /// The records of the plain services.
    pub plain: Rc<RefCell<plain::State>>,
    /// The processes by VM.
    pub processes: BTreeMap<VmId, Process>,
    /// The fingerprints of whole weights.
    pub whole: BTreeSet<Digest>,
    fleet: Fleet,
    declared: Vec<Declared>,
    generation: Generation,
    dir: PathBuf,
}

impl Deployment {
    /// Starts the stand-ins, publishes the first generation and starts the processes.
    pub async fn start(plan: &Plan, program: &Path) -> anyhow::Result<Self> {
        let dir = std::env::temp_dir().join(format!("sequoiahold-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let base = plan.fleet.vms.values().next().context("no VM")?.addr;
        let platform_addr = beside(base, 1, 7000);
        let origin_addr = beside(base, 2, 7010);
        let size = plan.size();
        let rate = ByteRate(size.0 * 4 * 1_000_000 / WINDOW.0);
        let mut deployment = Self {
            platform: Platform::start(platform_addr).await?,
            origin: Origin::start(origin_addr, rate).await?,
            engines: BTreeMap::new(),
            plain: Rc::default(),
            processes: BTreeMap::new(),
            whole: BTreeSet::new(),
            fleet: plan.fleet.clone(),
            declared: plan.declared.clone(),
            generation: Generation::default(),
            dir,
        };
        deployment.add_weights(plan)?;
        let first = |declared: &mut Vec<Declared>| plan.set_version(declared, 1);
        deployment.publish(first)?;
        for vm in plan.fleet.vms.values() {
            deployment.start_backend(plan, vm).await?;
            deployment.list(&vm.name, VmState::Live);
        }
        let authority = Authority::mint(&deployment.dir)?;
        let services = settings::Platform {
            config: format!("http://{platform_addr}"),
            vms: format!("http://{platform_addr}"),
        };
        for vm in plan.fleet.vms.values() {
            let keys = authority.write(vm.name.as_str())?;
            let process = deployment.start_process(program, vm, &services, keys, origin_addr)?;
            deployment.processes.insert(vm.name.clone(), process);
        }
        Ok(deployment)
    }

    /// Publishes the declarations after a change, under the next generation.
    pub fn publish(&mut self, change: impl FnOnce(&mut Vec<Declared>)) -> anyhow::Result<()> {
        change(&mut self.declared);
        self.generation = self.generation.next();
        self.platform.publish(Published::render(&self.declared, self.generation)?);
        Ok(())
    }

    /// Sets the state of a VM in the platform's list.
    pub fn list(&self, vm: &VmId, state: VmState) {
        self.platform.state.borrow_mut().vms.insert(vm.clone(), state);
    }

    /// Waits until all engines hold a version and their endpoints show it; returns how many.
    pub async fn wait_ready(
        &self,
        version: &VersionId,
        patience: Duration,
    ) -> anyhow::Result<usize> {
        let end = Instant::now() + patience;
        loop {
            let holds = |engine: &&Engine| {
                engine.state.borrow().version.as_ref().is_some_and(|(v, _, _)| v == version)
            };
            let ready = self.engines.values().filter(holds).count();
            if ready == self.engines.len() {
                return Ok(ready);
            }
            if Instant::now() > end {
                bail!("{ready} of {} replicas are ready", self.engines.len());
            }
            actix_rt::time::sleep(LOOK).await;
        }
    }

    /// Waits until all processes show the published generation; returns the time it took.
    pub async fn wait_in_force(&self, patience: Duration) -> anyhow::Result<Duration> {
        let start = Instant::now();
        let mut open: BTreeSet<&VmId> = self.fleet.vms.keys().collect();
        while !open.is_empty() {
            for vm in open.clone() {
                let status = self.status(vm).await;
                if status.is_ok_and(|status| status.generation >= self.generation) {
                    open.remove(vm);
                }
            }
            if start.elapsed() > patience {
                bail!("{} processes have not adopted the generation", open.len());
            }
        }
        Ok(start.elapsed())
    }

    /// Returns the status of a process.
    pub async fn status(&self, vm: &VmId) -> anyhow::Result<Status> {
        let addr = beside_vm(&self.fleet.vms[vm], 7401);
        let request = awc::Client::default().get(format!("http://{addr}/status"));
        let mut response = request.send().await.map_err(|e| anyhow::anyhow!("{vm}: {e}"))?;
        Ok(serde_json::from_slice(&response.body().await?)?)
    }

    /// Returns the bytes that the origin has given.
    pub fn origin_bytes(&self) -> u64 {
        self.origin.state.borrow().given
    }

    /// Returns the addresses of the entries for callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let entries = self.fleet.vms.values().filter(|vm| vm.role == Role::Entry);
        entries.map(|vm| beside_vm(vm, 8080)).collect()
    }

    /// Returns the requests that began in a zone's engines between two times.
    pub fn began_in_zone(&self, zone: &ZoneId, from: Instant, to: Instant) -> u64 {
        let in_zone = |vm: &&VmId| self.fleet.vms[*vm].zone == *zone;
        let engines = self.engines.keys().filter(in_zone);
        engines.map(|vm| self.began(vm, from, to)).sum()
    }

    /// Returns the requests that began at an engine since a time.
    pub fn began_at(&self, vm: &VmId, from: Instant) -> u64 {
        self.began(vm, from, Instant::now())
    }

    /// Fills in what the stand-ins' records say.
    pub fn fill(&self, plan: &Plan, report: &mut Report) {
        report.vms = plan.fleet.vms.len();
        report.replicas = self.engines.len();
        report.model_bytes = plan.size().0;
        report.cold_overload = self.engines.values().map(|e| e.state.borrow().overloads).sum();
        report.run_twice = self.plain.borrow().ran.values().filter(|n| **n > 1).count() as u64;
    }

    /// Stops all processes gracefully.
    pub async fn stop(&mut self) {
        for process in self.processes.values() {
            process.signal(Signal::Terminate);
        }
        for process in self.processes.values_mut() {
            process.wait(STOP).await;
        }
        let _ = fs::remove_dir_all(&self.dir);
    }

    fn began(&self, vm: &VmId, from: Instant, to: Instant) -> u64 {
        let state = self.engines[vm].state.borrow();
        state.began.iter().filter(|b| b.at >= from && b.at < to).count() as u64
    }

    fn add_weights(&mut self, plan: &Plan) -> anyhow::Result<()> {
        for version in plan.fleet.versions.values() {
            let content = Content::of(&version.name, version.size, CHUNK)?;
            if content.manifest.digest() != version.manifest {
                bail!("{}: manifest is {}", version.name, content.manifest.digest());
            }
            self.whole.insert(fingerprint(&content.manifest.chunks));
            self.origin.add(&content);
        }
        Ok(())
    }

    async fn start_backend(&mut self, plan: &Plan, vm: &Vm) -> anyhow::Result<()> {
        let Role::Endpoint(pool) = &vm.role else { return Ok(()) };
        let addr = beside_vm(vm, 8000);
        let pool = &plan.fleet.pools[pool];
        let service = &plan.fleet.services[&pool.service];
        if matches!(service.backend, Backend::Plain) {
            Plain::start(addr, pool.slots, self.plain.clone()).await?;
            return Ok(());
        }
        let behaviour = Behaviour {
            slots: pool.slots,
            cold: pool.cold,
            warm: 400,
            step: Duration::from_millis(10),
            load: Duration::from_millis(300),
            fences: true,
        };
        self.engines.insert(vm.name.clone(), Engine::start(addr, behaviour).await?);
        Ok(())
    }

    fn start_process(
        &self,
        program: &Path,
        vm: &Vm,
        platform: &settings::Platform,
        keys: settings::Keys,
        origin: SocketAddr,
    ) -> anyhow::Result<Process> {
        let platform = platform.clone();
        let name = vm.name.as_str();
        if vm.role == Role::Entry {
            let settings = settings::Entry {
                vm: vm.name.clone(),
                zone: vm.zone.clone(),
                callers: beside_vm(vm, 8080),
                peers: vm.addr,
                admin: beside_vm(vm, 7401),
                platform,
                keys,
                log: Log::default(),
                metrics: Metrics::default(),
                heartbeat: Span::millis(300),
                limits: Limits::default(),
            };
            return Process::start(program, "entry", name, &self.dir, &settings);
        }
        let rate = ByteRate(
            self.fleet.versions.values().next().map_or(1, |v| v.size.0) * 2_000_000 / WINDOW.0,
        );
        let settings = settings::Endpoint {
            vm: vm.name.clone(),
            zone: vm.zone.clone(),
            peers: vm.addr,
            admin: beside_vm(vm, 7401),
            platform,
            keys,
            log: Log::default(),
            metrics: Metrics::default(),
            engine: settings::Engine {
                url: format!("http://{}", beside_vm(vm, 8000)),
                fences: true,
            },
            weights: settings::Weights {
                origin: format!("http://{origin}"),
                rate,
                draws: 4,
                memory: Bytes(1_000_000_000),
            },
            look: Span::millis(100),
        };
        Process::start(program, "endpoint", name, &self.dir, &settings)
    }
}

fn beside(base: SocketAddr, host: u8, port: u16) -> SocketAddr {
    match base {
        SocketAddr::V4(base) => {
            let [a, b, _, _] = base.ip().octets();
            ([a, b, 0, host], port).into()
        }
        SocketAddr::V6(base) => (*base.ip(), port).into(),
    }
}

fn beside_vm(vm: &Vm, port: u16) -> SocketAddr {
    (vm.addr.ip(), port).into()
}
