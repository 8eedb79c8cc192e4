//! What the platform's list says of a VM.

use serde::{Deserialize, Serialize};

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is live.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}
