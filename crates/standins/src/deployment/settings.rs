//! Settings and addresses of the processes of a deployment.

use std::net::SocketAddr;

use sequoiahold::settings::{self, CallerLimits, Log, Metrics};
use sequoiahold_core::{
    config::Seed,
    declare::Vm,
    units::{ByteRate, Bytes, Span},
};

/// Port on which a process behind a relay listens for peers.
const RELAYED_PEER_PORT: u16 = 7500;
/// Port of the relay in front of an engine or plain service.
const ENGINE_RELAY_PORT: u16 = 8100;
/// Memory limit for chunks.
const CHUNK_MEMORY: Bytes = Bytes(1_000_000_000);

/// Addresses and rates that all processes share.
#[derive(Clone, Debug)]
pub(super) struct SharedServices {
    pub(super) platform: SocketAddr,
    pub(super) origin: SocketAddr,
    /// Rate at which weights may use a VM's link, in each direction.
    pub(super) rate: ByteRate,
    /// Whether engines refuse orders with an outdated fencing token.
    pub(super) fences: bool,
    pub(super) seeds: Vec<Vm>,
}

/// Addresses of the peer listener and the engine of one VM.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addrs {
    pub(super) peers: SocketAddr,
    pub(super) engine: SocketAddr,
}

impl Addrs {
    pub(super) fn of(vm: &Vm) -> Self {
        Self { peers: vm.addr, engine: engine_addr(vm) }
    }

    /// Returns the addresses to use when relays are in front of the process and of its engine.
    pub(super) fn relayed(mut self) -> Self {
        self.peers.set_port(RELAYED_PEER_PORT);
        self.engine.set_port(ENGINE_RELAY_PORT);
        self
    }
}

impl SharedServices {
    pub(super) fn entry(&self, vm: &Vm, addrs: Addrs, keys: settings::Keys) -> settings::Entry {
        settings::Entry {
            vm: vm.name.clone(),
            zone: vm.zone.clone(),
            callers: caller_addr(vm),
            peers: addrs.peers,
            admin: admin_addr(vm),
            platform: self.platform(),
            keys,
            config: self.seed_config(vm),
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
            config: self.seed_config(vm),
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
                chunk_memory: CHUNK_MEMORY,
            },
            probe_interval: Span::millis(100),
        }
    }

    /// Returns settings that list the seeds, those in the VM's zone first.
    fn seed_config(&self, vm: &Vm) -> settings::Config {
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

/// Returns the address on which an entry VM accepts callers.
pub fn caller_addr(vm: &Vm) -> SocketAddr {
    (vm.addr.ip(), 8080).into()
}

/// Returns the address of the admin interface of a VM, which serves `/status`.
pub fn admin_addr(vm: &Vm) -> SocketAddr {
    (vm.addr.ip(), 7401).into()
}

/// Returns the address of a shared service in the loopback network of a VM.
pub fn service_addr(vm: &Vm, host: u8, port: u16) -> SocketAddr {
    match vm.addr {
        SocketAddr::V4(base) => {
            let [a, b, _, _] = base.ip().octets();
            ([a, b, 0, host], port).into()
        }
        SocketAddr::V6(base) => (*base.ip(), port).into(),
    }
}
