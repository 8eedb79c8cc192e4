//! Paths of the mutual TLS keys for connections between the system's processes.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// Paths of the key files in PEM format; changed files are reloaded.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// The certificate authority that signs the certificates of all VMs.
    pub ca: PathBuf,
    /// The certificate of this VM, whose DNS name is the VM's name.
    pub cert: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
}
