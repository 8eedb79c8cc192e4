//! Settings of a loader process.

use std::net::SocketAddr;

use sequoiahold_core::{ids::ServiceId, units::ByteRate};
use serde::{Deserialize, Serialize};

use super::{Log, Node, Validate, addr};

/// Settings of a loader process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Loader {
    /// The settings common to gateways and loaders.
    pub node: Node,
    /// The address of the engine on the same VM.
    pub engine: SocketAddr,
    /// The service of the engine.
    pub service: ServiceId,
    /// The rate of the VM's network link.
    pub link: ByteRate,
    /// The log output.
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
