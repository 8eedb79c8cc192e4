//! Limits on the chunk uploads of a VM.

use crate::units::{ByteRate, Bytes, Span};

/// Limits on the uploads that a VM serves to its peers.
#[derive(Clone, Copy, Debug)]
pub struct UploadLimits {
    /// The maximum number of concurrent uploads.
    pub max_uploads: u32,
    /// The upload rate of the VM, in bytes per second.
    pub rate: ByteRate,
}

impl UploadLimits {
    /// Returns the delay after which the peer should retry, or `None` if the upload may start now.
    pub fn retry_delay(&self, active: u32, chunk: Bytes) -> Option<Span> {
        (active >= self.max_uploads).then(|| self.rate.transfer_time(chunk))
    }
}
