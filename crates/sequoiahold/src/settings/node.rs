//! Settings common to gateways and loaders.

use std::{collections::BTreeMap, net::SocketAddr};

use sequoiahold_core::{
    ids::{RegionId, VmId, ZoneId},
    units::Span,
};
use serde::{Deserialize, Serialize};

use super::Validate;

/// Settings common to gateways and loaders.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The name of the VM that runs this process.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub zone: ZoneId,
    /// The region of each availability zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// The UDP and TCP listen address for the system's other processes.
    pub peers: SocketAddr,
    /// Addresses of VMs that run a gateway or loader; the port is ignored, that of `peers` is used.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's key-value store.
    pub platform: SocketAddr,
    /// The listen address for metrics, none by default.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Whether another process may have run on this VM shortly before this one.
    #[serde(default)]
    pub restarted: bool,
    /// Limits on shutdown, version changes, retries and cold endpoints that operators set.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Limits on shutdown, version changes, retries and cold endpoints that operators set.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// The time between the stop signal and the forced end of the process.
    pub grace: Span,
    /// The time within which a requested version must be in use everywhere.
    pub version: Span,
    /// The retries allowed per request, over all gateways.
    pub retry_ratio: f64,
    /// The retries allowed in addition per window, over all gateways.
    pub retry_extra: f64,
    /// The window of the retry limits.
    pub retry_window: Span,
    /// The allowed fraction of the request rate that a cold endpoint sustains.
    pub cold_factor: f64,
    /// The requests per second that are allowed at a cold endpoint beyond that fraction.
    pub cold_extra: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace: Span::secs(8),
            version: Span::secs(8),
            retry_ratio: 0.1,
            retry_extra: 20.0,
            retry_window: Span::secs(10),
            cold_factor: 1.0,
            cold_extra: 0.0,
        }
    }
}

impl Validate for Node {
    fn validate(&self) -> Result<(), (String, String)> {
        if !self.zones.contains_key(&self.zone) {
            return Err(("zones".to_owned(), format!("has no region for zone {}", self.zone)));
        }
        if self.bounds.grace < Span::secs(1) {
            return Err(("bounds.grace".to_owned(), "must be at least 1s".to_owned()));
        }
        if self.bounds.retry_window < Span::millis(100) {
            return Err(("bounds.retry_window".to_owned(), "must be at least 100ms".to_owned()));
        }
        Ok(())
    }
}
