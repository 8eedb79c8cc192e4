//! One real process of a role, with the stand-ins it needs.

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

use super::{declared::Net, probe::Probe};
use crate::{keys::Authority, platform::Platform, processes::Process};

/// Port of the platform's stand-in.
const PLATFORM: u16 = 7900;

/// A real process under measurement.
pub struct Role {
    /// Watches the process.
    pub probe: Probe,
    /// The platform that it reads.
    pub platform: Platform,
    /// The address for callers of an entry.
    pub callers: SocketAddr,
    /// Mints keys for fake peers.
    pub authority: Authority,
    /// The network of the running VMs.
    pub net: Net,
    _process: Process,
    dir: PathBuf,
}

impl Drop for Role {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Role {
    /// Starts an entry named `entry`, after the platform shows `declared`.
    pub async fn entry(program: &Path, net: Net, declared: &[Declaration]) -> anyhow::Result<Self> {
        Self::entry_with(program, net, declared, CallerLimits::default()).await
    }

    /// Starts an entry with other limits for callers.
    pub async fn entry_with(
        program: &Path,
        net: Net,
        declared: &[Declaration],
        limits: CallerLimits,
    ) -> anyhow::Result<Self> {
        let (platform, services) = Self::platform(net, declared).await?;
        let dir = directory(net)?;
        let authority = Authority::mint(&dir)?;
        let settings = settings::Entry {
            vm: "entry".parse()?,
            zone: "near".parse()?,
            callers: net.address(0, 8080),
            peers: net.address(0, 7400),
            admin: net.address(0, 7401),
            platform: services,
            keys: authority.write("entry")?,
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

    /// Starts the endpoint `near-1` before the engine and origin of its network.
    pub async fn endpoint(
        program: &Path,
        net: Net,
        declared: &[Declaration],
    ) -> anyhow::Result<Self> {
        let (platform, services) = Self::platform(net, declared).await?;
        let dir = directory(net)?;
        let authority = Authority::mint(&dir)?;
        let settings = settings::Endpoint {
            vm: "near-1".parse()?,
            zone: "near".parse()?,
            peers: net.address(1, 7400),
            admin: net.address(1, 7401),
            platform: services,
            keys: authority.write("near-1")?,
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

    /// Shows another set under a generation.
    pub fn publish(&self, declared: &[Declaration], generation: u64) -> anyhow::Result<()> {
        self.platform.publish(PublishedSet::render(declared, Generation(generation))?);
        Ok(())
    }

    /// Returns the keys of a fake peer.
    pub fn tls(&self, vm: &str) -> anyhow::Result<Tls> {
        let keys: Keys = self.authority.write(vm)?;
        Tls::load(&keys)
    }

    /// Returns the connections of a fake peer.
    pub fn links(&self, vm: &str) -> anyhow::Result<PeerConnections> {
        let tls = Rc::new(RefCell::new(self.tls(vm)?));
        Ok(PeerConnections::new(tls, TrafficCounter::default()))
    }

    async fn platform(
        net: Net,
        declared: &[Declaration],
    ) -> anyhow::Result<(Platform, settings::Platform)> {
        let addr = net.address(0, PLATFORM);
        let platform = Platform::start(addr).await?;
        platform.publish(PublishedSet::render(declared, Generation(1))?);
        let url = format!("http://{addr}");
        Ok((platform, settings::Platform { config: url.clone(), vms: url }))
    }
}

fn directory(net: Net) -> anyhow::Result<PathBuf> {
    let dir = std::env::temp_dir().join(format!("sequoiahold-bench-{}-{net}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}
