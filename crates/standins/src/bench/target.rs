//! The real process that a benchmark measures, with its simulated platform.

use std::{
    cell::RefCell,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
};

use sequoiahold::{
    net::{PeerConnections, Tls, TrafficCounter},
    settings::{self, CallerLimits, Keys, Log, Metrics},
};
use sequoiahold_core::{
    declare::{Declaration, PublishedSet},
    ids::Generation,
    units::{ByteRate, Bytes, Span},
};

use super::{declared::Subnet, probe::Probe};
use crate::{keys::Authority, platform::Platform, processes::Process};

/// Port of the simulated platform.
const PLATFORM_PORT: u16 = 7900;

/// A real entry or endpoint process under measurement.
pub struct Target {
    /// Reads the resource use of the process.
    pub probe: Probe,
    /// The simulated platform that the process reads.
    pub platform: Platform,
    /// The address on which an entry accepts callers; of an endpoint, its peer address.
    pub callers: SocketAddr,
    /// Issues the keys of the process and of fake peers.
    pub authority: Authority,
    /// The network of the running VMs.
    pub net: Subnet,
    _process: Process,
    dir: PathBuf,
}

impl Drop for Target {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Target {
    /// Starts an entry named `entry`, with `declared` published on the platform.
    pub async fn entry(
        program: &Path,
        net: Subnet,
        declared: &[Declaration],
    ) -> anyhow::Result<Self> {
        Self::entry_with_limits(program, net, declared, CallerLimits::default()).await
    }

    /// Starts an entry like [`Self::entry`], with the given limits for callers.
    pub async fn entry_with_limits(
        program: &Path,
        net: Subnet,
        declared: &[Declaration],
        limits: CallerLimits,
    ) -> anyhow::Result<Self> {
        let (platform, urls) = Self::start_platform(net, declared).await?;
        let dir = create_dir(net)?;
        let authority = Authority::create(&dir)?;
        let settings = settings::Entry {
            vm: "entry".parse()?,
            zone: "near".parse()?,
            callers: net.address(0, 8080),
            peers: net.address(0, 7400),
            admin: net.address(0, 7401),
            platform: urls,
            keys: authority.issue("entry")?,
            config: settings::Config::default(),
            log: Log::default(),
            metrics: Metrics::default(),
            heartbeat: Span::secs(1),
            limits,
        };
        let process = Process::start(program, "entry", "entry", &dir, &settings)?;
        let probe = Probe { id: process.id(), admin: settings.admin };
        Ok(Self {
            probe,
            platform,
            callers: settings.callers,
            authority,
            net,
            _process: process,
            dir,
        })
    }

    /// Starts the endpoint `near-1`, which uses the engine and origin of its network.
    pub async fn endpoint(
        program: &Path,
        net: Subnet,
        declared: &[Declaration],
    ) -> anyhow::Result<Self> {
        let (platform, urls) = Self::start_platform(net, declared).await?;
        let dir = create_dir(net)?;
        let authority = Authority::create(&dir)?;
        let settings = settings::Endpoint {
            vm: "near-1".parse()?,
            zone: "near".parse()?,
            peers: net.address(1, 7400),
            admin: net.address(1, 7401),
            platform: urls,
            keys: authority.issue("near-1")?,
            config: settings::Config::default(),
            log: Log::default(),
            metrics: Metrics::default(),
            engine: settings::Engine {
                url: format!("http://{}", net.address(1, 8000)),
                fences: true,
            },
            weights: settings::Weights {
                origin: format!("http://{}", net.address(0, 7910)),
                rate: ByteRate(1_000_000_000),
                max_pulls: 4,
                region: None,
                max_uploads: 4,
                chunk_memory: Bytes(1_000_000_000),
            },
            probe_interval: Span::millis(200),
        };
        let process = Process::start(program, "endpoint", "near-1", &dir, &settings)?;
        let probe = Probe { id: process.id(), admin: settings.admin };
        Ok(Self {
            probe,
            platform,
            callers: settings.peers,
            authority,
            net,
            _process: process,
            dir,
        })
    }

    /// Publishes declarations on the platform under a generation.
    pub fn publish(&self, declared: &[Declaration], generation: u64) -> anyhow::Result<()> {
        self.platform.publish(PublishedSet::render(declared, Generation(generation))?);
        Ok(())
    }

    /// Issues the keys of a fake peer and returns its TLS configuration.
    pub fn tls(&self, vm: &str) -> anyhow::Result<Tls> {
        let keys: Keys = self.authority.issue(vm)?;
        Tls::load(&keys)
    }

    /// Returns connections that authenticate as a fake peer.
    pub fn connections(&self, vm: &str) -> anyhow::Result<PeerConnections> {
        let tls = Rc::new(RefCell::new(self.tls(vm)?));
        Ok(PeerConnections::new(tls, TrafficCounter::default()))
    }

    async fn start_platform(
        net: Subnet,
        declared: &[Declaration],
    ) -> anyhow::Result<(Platform, settings::Platform)> {
        let addr = net.address(0, PLATFORM_PORT);
        let platform = Platform::start(addr).await?;
        platform.publish(PublishedSet::render(declared, Generation(1))?);
        let url = format!("http://{addr}");
        Ok((platform, settings::Platform { config: url.clone(), vms: url }))
    }
}

fn create_dir(net: Subnet) -> anyhow::Result<PathBuf> {
    let dir = std::env::temp_dir().join(format!("sequoiahold-bench-{}-{net}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}
