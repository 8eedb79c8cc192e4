//! Settings of an endpoint process.

use std::net::SocketAddr;

use sequoiahold_core::{
    ids::{RegionId, VmId, ZoneId},
    units::{ByteRate, Bytes, Span},
};
use serde::{Deserialize, Serialize};

use super::{Check, Config, Keys, Log, Metrics, Platform, platform::check_url};

/// Settings of an endpoint process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The name of this VM.
    pub vm: VmId,
    /// The availability zone of this VM.
    pub zone: ZoneId,
    /// The address for the system's other processes.
    pub peers: SocketAddr,
    /// The address for `status`.
    pub admin: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// The keys between processes.
    pub keys: Keys,
    /// How published sets are learnt.
    #[serde(default)]
    pub config: Config,
    /// Log lines.
    #[serde(default)]
    pub log: Log,
    /// Metrics.
    #[serde(default)]
    pub metrics: Metrics,
    /// The engine or plain service behind this process.
    pub engine: Engine,
    /// How weights are drawn.
    pub weights: Weights,
    /// The time between two looks at the engine.
    #[serde(default = "Endpoint::default_look")]
    pub look: Span,
}

/// The engine or plain service behind an endpoint process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// The base address, such as `http://127.0.0.1:8000`.
    pub url: String,
    /// Whether the engine refuses orders with an old fencing number.
    #[serde(default)]
    pub fences: bool,
}

/// How weights are drawn.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// The base address of the origin.
    pub origin: String,
    /// The region where the origin lies; its zones draw from the origin first.
    #[serde(default)]
    pub region: Option<RegionId>,
    /// The rate of this VM's link that weights may use, each way.
    pub rate: ByteRate,
    /// The chunks that are drawn at the same time.
    #[serde(default = "Weights::default_draws")]
    pub draws: u32,
    /// The chunks that are given to peers at the same time.
    #[serde(default = "Weights::default_uploads")]
    pub uploads: u32,
    /// The memory for chunks.
    #[serde(default = "Weights::default_memory")]
    pub memory: Bytes,
}

impl Endpoint {
    fn default_look() -> Span {
        Span::millis(200)
    }
}

impl Weights {
    fn default_draws() -> u32 {
        4
    }

    fn default_uploads() -> u32 {
        4
    }

    fn default_memory() -> Bytes {
        Bytes(64_000_000_000)
    }
}

impl Check for Endpoint {
    fn check(&self) -> Result<(), (String, String)> {
        self.platform.check()?;
        self.config.check()?;
        check_url("engine.url", &self.engine.url)?;
        check_url("weights.origin", &self.weights.origin)?;
        if self.weights.rate.0 == 0 {
            return Err(("weights.rate".to_owned(), "must be above 0B/s".to_owned()));
        }
        if !(1..=64).contains(&self.weights.draws) {
            return Err(("weights.draws".to_owned(), "must be between 1 and 64".to_owned()));
        }
        if !(1..=64).contains(&self.weights.uploads) {
            return Err(("weights.uploads".to_owned(), "must be between 1 and 64".to_owned()));
        }
        Ok(())
    }
}
