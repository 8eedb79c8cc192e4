//! Settings of the mutual TLS keys between the system's processes.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// Paths of the keys, all in PEM; reread when a file changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// The certificate authority that signs all VMs' certificates.
    pub ca: PathBuf,
    /// The certificate of this VM; its DNS name is the VM's name.
    pub cert: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
}
