//! Settings that gateways and loaders share.

use std::{collections::BTreeMap, net::SocketAddr};

use sequoiahold_core::{
    ids::{RegionId, VmId, ZoneId},
    units::Span,
};
use serde::{Deserialize, Serialize};

use super::Validate;

/// Settings that gateways and loaders share.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The name of this VM.
    pub vm: VmId,
    /// The availability zone of this VM.
    pub zone: ZoneId,
    /// The regions of the availability zones.
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// The address for the system's other processes, by UDP and TCP.
    pub peers: SocketAddr,
    /// Addresses of VMs that run such a process; only their hosts count, the port is that of `peers`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub platform: SocketAddr,
    /// The address that serves metrics, none by default.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// What operators promise and ask for.
    #[serde(default)]
    pub bounds: Bounds,
}

/// What operators promise and ask for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Time between the signal to stop and the end by force.
    pub grace: Span,
    /// Time within which a wanted version is in use everywhere.
    pub version: Span,
    /// Repeats for each request, over all gateways.
    pub retry_ratio: f64,
    /// Repeats beyond that in each window, over all gateways.
    pub retry_extra: f64,
    /// The window of these two.
    pub retry_window: Span,
    /// What is allowed of the rate that a cold endpoint bears.
    pub cold_factor: f64,
    /// Requests a second that are allowed beyond it.
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
