//! Settings of a loader process.

use std::net::SocketAddr;

use sequoiahold_core::{ids::ServiceId, units::ByteRate};
use serde::{Deserialize, Serialize};

use super::{Log, Node, Validate, addr};

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

impl Validate for Loader {
    fn validate(&self) -> Result<(), (String, String)> {
        addr::check_listen_addrs(&[("node.peers", self.node.peers)])?;
        if self.link.0 == 0 {
            return Err(("link".to_owned(), "must be above 0".to_owned()));
        }
        self.node.validate()
    }
}
