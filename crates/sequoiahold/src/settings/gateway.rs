//! Settings of a gateway process.

use std::net::SocketAddr;

use sequoiahold_core::units::Bytes;
use serde::{Deserialize, Serialize};

use super::{Log, Node, Validate, addr};

/// Memory of the VM where none is set.
const DEFAULT_MEMORY: Bytes = Bytes(160_000_000);
/// Minimum memory of the VM, half of which callers' connections may hold.
const MIN_MEMORY: Bytes = Bytes(64_000_000);

/// Settings of a gateway process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// The settings common to gateways and loaders.
    pub node: Node,
    /// The listen address for callers.
    pub callers: SocketAddr,
    /// The listen address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// The maximum number of concurrent connections of callers.
    #[serde(default = "Gateway::default_connections")]
    pub connections: u32,
    /// The memory of the VM, a quarter of which the connections of callers may hold.
    #[serde(default = "Gateway::default_memory")]
    pub memory: Bytes,
    /// Whether endpoints that start, recover or paused get requests at the pace of their answers.
    #[serde(default)]
    pub pace: bool,
    /// The log output.
    #[serde(default)]
    pub log: Log,
}

impl Gateway {
    fn default_connections() -> u32 {
        2_000
    }

    fn default_memory() -> Bytes {
        DEFAULT_MEMORY
    }
}

impl Validate for Gateway {
    fn validate(&self) -> Result<(), (String, String)> {
        addr::check_listen_addrs(&[
            ("callers", self.callers),
            ("ready", self.ready),
            ("node.peers", self.node.peers),
        ])?;
        if self.connections == 0 {
            return Err(("connections".to_owned(), "must be at least 1".to_owned()));
        }
        if self.memory < MIN_MEMORY {
            return Err(("memory".to_owned(), format!("must be at least {MIN_MEMORY}")));
        }
        self.node.validate()
    }
}
