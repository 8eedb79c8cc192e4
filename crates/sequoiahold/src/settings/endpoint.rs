//! Settings of an endpoint process.

use std::net::SocketAddr;

use sequoiahold_core::{
    ids::{RegionId, VmId, ZoneId},
    units::{ByteRate, Bytes, Span},
};
use serde::{Deserialize, Serialize};

use super::{Config, Keys, Log, Metrics, Platform, Validate, addr, platform::check_url};

/// Settings of an endpoint process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The name of the VM that runs this process.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub zone: ZoneId,
    /// The UDP listen address for the system's other processes.
    pub peers: SocketAddr,
    /// The listen address for status requests.
    pub admin: SocketAddr,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// The TLS keys for connections between processes.
    pub keys: Keys,
    /// The distribution of published sets.
    #[serde(default)]
    pub config: Config,
    /// The log output.
    #[serde(default)]
    pub log: Log,
    /// The metrics output.
    #[serde(default)]
    pub metrics: Metrics,
    /// The engine or plain service that this process serves.
    pub engine: Engine,
    /// The transfer of weights.
    pub weights: Weights,
    /// The time between two probes of the engine.
    #[serde(default = "Endpoint::default_probe_interval", rename = "look")]
    pub probe_interval: Span,
}

/// Settings of the engine or plain service of an endpoint process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// The base URL, such as `http://127.0.0.1:8000`.
    pub url: String,
    /// Whether the engine rejects commands with an outdated fencing token.
    #[serde(default)]
    pub fences: bool,
}

/// Settings of the transfer of weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// The base URL of the origin.
    pub origin: String,
    /// The region of the origin; zones in this region pull from the origin first.
    #[serde(default)]
    pub region: Option<RegionId>,
    /// The rate at which weights may use the VM's network link, in each direction.
    pub rate: ByteRate,
    /// The maximum number of concurrent pulls of chunks.
    #[serde(default = "Weights::default_max_pulls", rename = "draws")]
    pub max_pulls: u32,
    /// The maximum number of concurrent uploads of chunks to peers.
    #[serde(default = "Weights::default_max_uploads", rename = "uploads")]
    pub max_uploads: u32,
    /// The memory for pulled chunks.
    #[serde(default = "Weights::default_chunk_memory", rename = "memory")]
    pub chunk_memory: Bytes,
}

impl Endpoint {
    fn default_probe_interval() -> Span {
        Span::millis(200)
    }
}

impl Weights {
    fn default_max_pulls() -> u32 {
        4
    }

    fn default_max_uploads() -> u32 {
        4
    }

    fn default_chunk_memory() -> Bytes {
        Bytes(64_000_000_000)
    }
}

impl Validate for Endpoint {
    fn validate(&self) -> Result<(), (String, String)> {
        addr::check_listen_addrs(&[("peers", self.peers), ("admin", self.admin)])?;
        self.platform.validate()?;
        self.config.validate()?;
        check_url("engine.url", &self.engine.url)?;
        check_url("weights.origin", &self.weights.origin)?;
        if self.weights.rate.0 == 0 {
            return Err(("weights.rate".to_owned(), "must be above 0B/s".to_owned()));
        }
        if self.probe_interval < Span::millis(20) || self.probe_interval > Span::secs(1) {
            return Err(("look".to_owned(), "must be between 20ms and 1s".to_owned()));
        }
        if !(1..=64).contains(&self.weights.max_pulls) {
            return Err(("weights.draws".to_owned(), "must be between 1 and 64".to_owned()));
        }
        if self.weights.chunk_memory < Bytes(1_000_000) {
            return Err(("weights.memory".to_owned(), "must be at least 1MB".to_owned()));
        }
        if !(1..=64).contains(&self.weights.max_uploads) {
            return Err(("weights.uploads".to_owned(), "must be between 1 and 64".to_owned()));
        }
        Ok(())
    }
}
