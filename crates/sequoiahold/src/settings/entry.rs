//! Settings of an entry process.

use std::net::SocketAddr;

use sequoiahold_core::{
    ids::{VmId, ZoneId},
    units::Span,
};
use serde::{Deserialize, Serialize};

use super::{CallerLimits, Config, Keys, Log, Metrics, Platform, Validate, addr};

/// Settings of an entry process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The name of this VM.
    pub vm: VmId,
    /// The availability zone of this VM.
    pub zone: ZoneId,
    /// The address for callers.
    pub callers: SocketAddr,
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
    /// The time between two heartbeats on a connection.
    #[serde(default = "Entry::default_heartbeat")]
    pub heartbeat: Span,
    /// Limits for callers.
    #[serde(default)]
    pub limits: CallerLimits,
}

impl Entry {
    fn default_heartbeat() -> Span {
        Span::millis(500)
    }
}

impl Validate for Entry {
    fn validate(&self) -> Result<(), (String, String)> {
        let addrs = [("callers", self.callers), ("peers", self.peers), ("admin", self.admin)];
        addr::check_listen_addrs(&addrs)?;
        self.platform.validate()?;
        self.config.validate()?;
        if self.heartbeat < Span::millis(50) || self.heartbeat > Span::secs(5) {
            return Err(("heartbeat".to_owned(), "must be between 50ms and 5s".to_owned()));
        }
        self.limits.validate()?;
        Ok(())
    }
}
