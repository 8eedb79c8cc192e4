//! Starting the stand-ins and processes of a deployment.

use std::{
    env, fs,
    path::PathBuf,
    process,
    sync::atomic::{AtomicU32, Ordering},
};

use anyhow::{Context as _, bail};
use sequoiahold_core::{
    declare::{Backend, Role, Vm},
    ids::{Generation, VmId},
    units::{ByteRate, Span},
    vm_state::VmState,
};

use super::{
    Addrs, Deployment, Plan, Services,
    network::Network,
    settings::{engine_addr, service_addr},
};
use crate::{
    content::{Content, fingerprint},
    engine::{Behaviour, Engine},
    keys::Authority,
    origin::Origin,
    plain::Plain,
    platform::Platform,
    processes::{self, Process},
    relay::{TcpRelay, UdpRelay},
};

/// Number of deployments that this process has started.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// How a deployment is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program under test.
    pub program: PathBuf,
    /// Time in which the origin's link carries four copies, and a machine's link two.
    pub window: Span,
    /// How engines behave; the slots and the cold limit come from the declared pools.
    pub behaviour: Behaviour,
    /// Whether each process, engine and plain service stands behind a relay.
    pub relays: bool,
    /// Whether the deployment gets a loopback network of its own.
    pub apart: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            program: processes::program(),
            window: Span::secs(8),
            behaviour: Behaviour::default(),
            relays: false,
            apart: false,
        }
    }
}

impl Setup {
    /// Returns the setup of a process test: a network of its own and a fast origin.
    pub fn for_test() -> Self {
        Self { window: Span::secs(1), apart: true, ..Self::default() }
    }
}

impl Deployment {
    /// Starts the stand-ins, publishes the first generation and starts the processes.
    pub async fn start(mut plan: Plan, setup: Setup) -> anyhow::Result<Self> {
        let network = if setup.apart { Some(Network::claim()?) } else { None };
        if let Some(network) = &network {
            plan.move_to(network);
        }
        let count = STARTED.fetch_add(1, Ordering::Relaxed);
        let dir = env::temp_dir().join(format!("sequoiahold-{}-{count}", process::id()));
        fs::create_dir_all(&dir)?;
        let mut deployment = Self::stand_ins(plan, setup, dir).await?;
        deployment._network = network;
        deployment.add_weights()?;
        let plan = deployment.plan.clone();
        deployment.publish(|declared| plan.set_version(declared, 1))?;
        for vm in plan.fleet.vms.values() {
            deployment.start_backend(vm).await?;
            deployment.start_relay(vm).await?;
            deployment.list(&vm.name, VmState::Live);
        }
        for vm in plan.fleet.vms.keys() {
            deployment.start_process(vm)?;
        }
        Ok(deployment)
    }

    /// Starts the process of a VM, anew if it has ended.
    pub fn start_process(&mut self, name: &VmId) -> anyhow::Result<()> {
        let vm = &self.plan.fleet.vms[name];
        let keys = self.authority.write(name.as_str())?;
        let behind = self.relays.contains_key(name);
        let addrs = if behind { Addrs::of(vm).behind_relay() } else { Addrs::of(vm) };
        let (program, dir, text) = (&self.setup.program, &self.dir, name.as_str());
        let process = match vm.role {
            Role::Entry => {
                let settings = self.services.entry(vm, addrs, keys);
                Process::start(program, "entry", text, dir, &settings)?
            }
            Role::Endpoint(_) => {
                let settings = self.services.endpoint(vm, addrs, keys);
                Process::start(program, "endpoint", text, dir, &settings)?
            }
        };
        self.processes.insert(name.clone(), process);
        Ok(())
    }

    async fn stand_ins(plan: Plan, setup: Setup, dir: PathBuf) -> anyhow::Result<Self> {
        let first = plan.fleet.vms.values().next().context("no VM")?;
        let size = plan.size().0;
        let services = Services {
            platform: service_addr(first, 1, 7000),
            origin: service_addr(first, 2, 7010),
            rate: ByteRate(size * 2_000_000 / setup.window.0),
            fences: setup.behaviour.checks_fence,
            seeds: plan.seeds(),
        };
        let link = ByteRate(size * 4_000_000 / setup.window.0);
        Ok(Self {
            platform: Platform::start(services.platform).await?,
            origin: Origin::start(services.origin, link).await?,
            authority: Authority::mint(&dir)?,
            declared: plan.declared.clone(),
            generation: Generation::default(),
            probes: Default::default(),
            engines: Default::default(),
            plains: Default::default(),
            plain: Default::default(),
            relays: Default::default(),
            engine_relays: Default::default(),
            processes: Default::default(),
            whole: Default::default(),
            plan,
            setup,
            services,
            dir,
            _network: None,
        })
    }

    fn add_weights(&mut self) -> anyhow::Result<()> {
        for version in self.plan.fleet.versions.values() {
            let content = Content::of(&version.name, version.size, self.plan.chunk)?;
            if content.manifest.digest() != version.manifest {
                bail!("{}: manifest is {}", version.name, content.manifest.digest());
            }
            self.whole.insert(fingerprint(&content.manifest.chunks));
            self.origin.add(&content);
        }
        Ok(())
    }

    async fn start_backend(&mut self, vm: &Vm) -> anyhow::Result<()> {
        let Role::Endpoint(pool) = &vm.role else { return Ok(()) };
        let addr = engine_addr(vm);
        let pool = &self.fleet().pools[pool];
        let service = &self.fleet().services[&pool.service];
        let (slots, cold) = (pool.slots, pool.cold);
        if matches!(service.backend, Backend::Plain) {
            let plain = Plain::start(addr, slots, self.plain.clone()).await?;
            self.plains.insert(vm.name.clone(), plain);
            return Ok(());
        }
        let behaviour = Behaviour { slots, cold_slots: cold, ..self.setup.behaviour };
        self.engines.insert(vm.name.clone(), Engine::start(addr, behaviour).await?);
        Ok(())
    }

    async fn start_relay(&mut self, vm: &Vm) -> anyhow::Result<()> {
        if !self.setup.relays {
            return Ok(());
        }
        let addrs = Addrs::of(vm).behind_relay();
        self.relays.insert(vm.name.clone(), UdpRelay::start(vm.addr, addrs.peers).await?);
        if matches!(vm.role, Role::Endpoint(_)) {
            let relay = TcpRelay::start(addrs.engine, engine_addr(vm)).await?;
            self.engine_relays.insert(vm.name.clone(), relay);
        }
        Ok(())
    }
}
