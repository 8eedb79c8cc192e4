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
    /// The name of the VM that runs this process.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub zone: ZoneId,
    /// The listen address for callers.
    pub callers: SocketAddr,
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
    /// The time between two heartbeats on a connection.
    #[serde(default = "Entry::default_heartbeat")]
    pub heartbeat: Span,
    /// The limits on connections and requests of callers.
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
