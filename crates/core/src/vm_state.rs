//! The state of a VM as reported by the platform.

use serde::{Deserialize, Serialize};

/// The state of a VM in the platform's list of VMs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in operation.
    Live,
    /// The platform is about to stop the VM.
    Leaving,
}
