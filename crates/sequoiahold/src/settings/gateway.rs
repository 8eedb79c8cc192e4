//! Settings of a gateway process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Log, Node, Validate, addr};

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
        self.node.validate()
    }
}
