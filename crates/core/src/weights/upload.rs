//! The bound of a VM's uploads.

use crate::units::{ByteRate, Bytes, Span};

/// Decides whether a VM gives a chunk now.
#[derive(Clone, Copy, Debug)]
pub struct UploadLimits {
    /// The chunks that are given at the same time.
    pub max_uploads: u32,
    /// The rate at which the VM gives.
    pub rate: ByteRate,
}

impl UploadLimits {
    /// Returns the pause that a peer must make before it asks again, `None` to give the chunk now.
    pub fn retry_delay(&self, active: u32, chunk: Bytes) -> Option<Span> {
        (active >= self.max_uploads).then(|| self.rate.time_of(chunk))
    }
}
