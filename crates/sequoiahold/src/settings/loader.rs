//! Settings of a loader process.

use std::net::SocketAddr;

use sequoiahold_core::{ids::ServiceId, units::ByteRate};
use serde::{Deserialize, Serialize};

use super::{Check, Log, Node, addr};

/// Settings of a loader process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Loader {
    /// The settings that gateways and loaders share.
    pub node: Node,
    /// The address of the engine on this VM.
    pub engine: SocketAddr,
    /// The service that the engine belongs to.
    pub service: ServiceId,
    /// The rate of this VM's link.
    pub link: ByteRate,
    /// Log lines.
    #[serde(default)]
    pub log: Log,
}

impl Check for Loader {
    fn check(&self) -> Result<(), (String, String)> {
        addr::check(&[("node.peers", self.node.peers)])?;
        if self.link.0 == 0 {
            return Err(("link".to_owned(), "must be above 0".to_owned()));
        }
        self.node.check()
    }
}
