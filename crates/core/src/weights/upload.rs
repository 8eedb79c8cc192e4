//! The bound of a VM's uploads.

use crate::units::{ByteRate, Bytes, Span};

/// Decides whether a VM gives a chunk now.
#[derive(Clone, Copy, Debug)]
pub struct Uploads {
    /// The chunks that are given at the same time.
    pub slots: u32,
    /// The rate at which the VM gives.
    pub rate: ByteRate,
}

impl Uploads {
    /// Returns the pause that a peer must make before it asks again, `None` to give the chunk now.
    pub fn give(&self, busy: u32, chunk: Bytes) -> Option<Span> {
        (busy >= self.slots).then(|| self.rate.transfer_time(chunk))
    }
}
