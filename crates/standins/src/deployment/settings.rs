//! Settings of the processes of a deployment.

use std::net::SocketAddr;

use sequoiahold::settings::{self, CallerLimits, Log, Metrics};
use sequoiahold_core::{
    config::Seed,
    declare::Vm,
    units::{ByteRate, Bytes, Span},
};

/// Port of the peers of a VM that stands behind a relay.
const BEHIND: u16 = 7500;
/// Port of the relay before an engine or plain service.
const BEFORE_ENGINE: u16 = 8100;
/// Memory for chunks.
const MEMORY: Bytes = Bytes(1_000_000_000);

/// The addresses of the services that all processes use.
#[derive(Clone, Debug)]
pub(super) struct Services {
    pub(super) platform: SocketAddr,
    pub(super) origin: SocketAddr,
    pub(super) rate: ByteRate,
    pub(super) fences: bool,
    pub(super) seeds: Vec<Vm>,
}

/// The addresses of one VM.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addrs {
    pub(super) peers: SocketAddr,
    pub(super) engine: SocketAddr,
}

impl Addrs {
    pub(super) fn of(vm: &Vm) -> Self {
        Self { peers: vm.addr, engine: engine_addr(vm) }
    }

    /// Returns the addresses where relays stand before the process and before its engine.
    pub(super) fn behind_relay(mut self) -> Self {
        self.peers.set_port(BEHIND);
        self.engine.set_port(BEFORE_ENGINE);
        self
    }
}

impl Services {
    pub(super) fn entry(&self, vm: &Vm, addrs: Addrs, keys: settings::Keys) -> settings::Entry {
        settings::Entry {
            vm: vm.name.clone(),
            zone: vm.zone.clone(),
            callers: caller_addr(vm),
            peers: addrs.peers,
            admin: admin_addr(vm),
            platform: self.platform(),
            keys,
            config: self.config(vm),
            log: Log::default(),
            metrics: Metrics::default(),
            heartbeat: Span::millis(300),
            limits: CallerLimits::default(),
        }
    }

    pub(super) fn endpoint(
        &self,
        vm: &Vm,
        addrs: Addrs,
        keys: settings::Keys,
    ) -> settings::Endpoint {
        settings::Endpoint {
            vm: vm.name.clone(),
            zone: vm.zone.clone(),
            peers: addrs.peers,
            admin: admin_addr(vm),
            platform: self.platform(),
            keys,
            config: self.config(vm),
            log: Log::default(),
            metrics: Metrics::default(),
            engine: settings::Engine {
                url: format!("http://{}", addrs.engine),
                fences: self.fences,
            },
            weights: settings::Weights {
                origin: format!("http://{}", self.origin),
                rate: self.rate,
                max_pulls: 4,
                region: None,
                max_uploads: 4,
                chunk_memory: MEMORY,
            },
            probe_interval: Span::millis(100),
        }
    }

    /// Returns settings that name the seeds, those of the VM's zone first.
    fn config(&self, vm: &Vm) -> settings::Config {
        let mut seeds: Vec<&Vm> = self.seeds.iter().collect();
        seeds.sort_by_key(|seed| seed.zone != vm.zone);
        let seed = |vm: &Vm| Seed { vm: vm.name.clone(), addr: vm.addr };
        let seeds = seeds.into_iter().map(seed).collect();
        settings::Config { seeds, ..settings::Config::default() }
    }

    fn platform(&self) -> settings::Platform {
        let url = format!("http://{}", self.platform);
        settings::Platform { config: url.clone(), vms: url }
    }
}

/// Returns the address of the engine or plain service on a VM.
pub fn engine_addr(vm: &Vm) -> SocketAddr {
    (vm.addr.ip(), 8000).into()
}

/// Returns the address for callers of an entry VM.
pub fn caller_addr(vm: &Vm) -> SocketAddr {
    (vm.addr.ip(), 8080).into()
}

/// Returns the address for `status` of a VM.
pub fn admin_addr(vm: &Vm) -> SocketAddr {
    (vm.addr.ip(), 7401).into()
}

/// Returns the address of a service of the deployment in the network of a VM.
pub fn service_addr(vm: &Vm, host: u8, port: u16) -> SocketAddr {
    match vm.addr {
        SocketAddr::V4(base) => {
            let [a, b, _, _] = base.ip().octets();
            ([a, b, 0, host], port).into()
        }
        SocketAddr::V6(base) => (*base.ip(), port).into(),
    }
}
