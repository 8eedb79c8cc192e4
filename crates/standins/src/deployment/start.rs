//! Starts the simulated services and the real processes of a deployment.

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
    Addrs, Deployment, Plan, SharedServices,
    network::Network,
    settings::{engine_addr, service_addr},
};
use crate::{
    content::{Content, fingerprint},
    engine::{Behaviour, Engine},
    keys::Authority,
    origin::Origin,
    plain::PlainService,
    platform::Platform,
    processes::{self, Process},
    relay::{TcpRelay, UdpRelay},
};

/// Number of deployments started by this process, for unique directory names.
static DEPLOYMENT_COUNT: AtomicU32 = AtomicU32::new(0);

/// Options for starting a deployment.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program under test.
    pub program: PathBuf,
    /// Time to send four copies of the weights over the origin's link, or two over a VM's link.
    pub transfer_window: Span,
    /// Behaviour of the engines; slots and cold limit come from the declared pools.
    pub behaviour: Behaviour,
    /// Whether each process, engine and plain service is reached through a relay.
    pub relays: bool,
    /// Whether the deployment runs in a loopback network of its own.
    pub own_network: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            program: processes::program_path(),
            transfer_window: Span::secs(8),
            behaviour: Behaviour::default(),
            relays: false,
            own_network: false,
        }
    }
}

impl Setup {
    /// Returns the setup for process tests, with its own network and a fast origin.
    pub fn for_test() -> Self {
        Self { transfer_window: Span::secs(1), own_network: true, ..Self::default() }
    }
}

impl Deployment {
    /// Starts the simulated services, publishes the first generation and starts the processes.
    pub async fn start(mut plan: Plan, setup: Setup) -> anyhow::Result<Self> {
        let network = if setup.own_network { Some(Network::reserve()?) } else { None };
        if let Some(network) = &network {
            plan.move_to(network);
        }
        let count = DEPLOYMENT_COUNT.fetch_add(1, Ordering::Relaxed);
        let dir = env::temp_dir().join(format!("sequoiahold-{}-{count}", process::id()));
        fs::create_dir_all(&dir)?;
        let mut deployment = Self::start_services(plan, setup, dir).await?;
        deployment._network = network;
        deployment.add_weights()?;
        let plan = deployment.plan.clone();
        deployment.publish(|declared| plan.set_version(declared, 1))?;
        for vm in plan.fleet.vms.values() {
            deployment.start_backend(vm).await?;
            deployment.start_relay(vm).await?;
            deployment.set_vm_state(&vm.name, VmState::Live);
        }
        for vm in plan.fleet.vms.keys() {
            deployment.start_process(vm)?;
        }
        Ok(deployment)
    }

    /// Starts the process of a VM, or starts it again after it has ended.
    pub fn start_process(&mut self, name: &VmId) -> anyhow::Result<()> {
        let vm = &self.plan.fleet.vms[name];
        let keys = self.authority.issue(name.as_str())?;
        let relayed = self.relays.contains_key(name);
        let addrs = if relayed { Addrs::of(vm).relayed() } else { Addrs::of(vm) };
        let (program, dir, vm_name) = (&self.setup.program, &self.dir, name.as_str());
        let process = match vm.role {
            Role::Entry => {
                let settings = self.services.entry(vm, addrs, keys);
                Process::start(program, "entry", vm_name, dir, &settings)?
            }
            Role::Endpoint(_) => {
                let settings = self.services.endpoint(vm, addrs, keys);
                Process::start(program, "endpoint", vm_name, dir, &settings)?
            }
        };
        self.processes.insert(name.clone(), process);
        Ok(())
    }

    async fn start_services(plan: Plan, setup: Setup, dir: PathBuf) -> anyhow::Result<Self> {
        let first = plan.fleet.vms.values().next().context("the plan has no VM")?;
        let size = plan.weights_size().0;
        let services = SharedServices {
            platform: service_addr(first, 1, 7000),
            origin: service_addr(first, 2, 7010),
            rate: ByteRate(size * 2_000_000 / setup.transfer_window.0),
            fences: setup.behaviour.checks_fence,
            seeds: plan.seeds(),
        };
        let link = ByteRate(size * 4_000_000 / setup.transfer_window.0);
        Ok(Self {
            platform: Platform::start(services.platform).await?,
            origin: Origin::start(services.origin, link).await?,
            authority: Authority::create(&dir)?,
            declared: plan.declared.clone(),
            generation: Generation::default(),
            probe_count: Default::default(),
            engines: Default::default(),
            plain_services: Default::default(),
            plain_state: Default::default(),
            relays: Default::default(),
            engine_relays: Default::default(),
            processes: Default::default(),
            fingerprints: Default::default(),
            plan,
            setup,
            services,
            dir,
            _network: None,
        })
    }

    fn add_weights(&mut self) -> anyhow::Result<()> {
        for version in self.plan.fleet.versions.values() {
            let content = Content::of(&version.name, version.size, self.plan.chunk_size)?;
            if content.manifest.digest() != version.manifest {
                bail!(
                    "{}: generated weights have manifest {}",
                    version.name,
                    content.manifest.digest()
                );
            }
            self.fingerprints.insert(fingerprint(&content.manifest.chunks));
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
            let plain = PlainService::start(addr, slots, self.plain_state.clone()).await?;
            self.plain_services.insert(vm.name.clone(), plain);
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
        let addrs = Addrs::of(vm).relayed();
        self.relays.insert(vm.name.clone(), UdpRelay::start(vm.addr, addrs.peers).await?);
        if matches!(vm.role, Role::Endpoint(_)) {
            let relay = TcpRelay::start(addrs.engine, engine_addr(vm)).await?;
            self.engine_relays.insert(vm.name.clone(), relay);
        }
        Ok(())
    }
}
