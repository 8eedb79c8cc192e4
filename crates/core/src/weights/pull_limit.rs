//! Limit of concurrent pulls that follows the state of the VM's link.

use super::{ChunkSource, TransferLimits};
use crate::units::{Bytes, Span};

/// Concurrent pulls at the start of a transfer, when the state of the link is unknown.
const INITIAL_PULLS: u32 = 2;
/// Factor on the expected duration of a pull from which the link counts as congested.
const SLOW_FACTOR: u64 = 2;
/// Time that a pull may take in addition, for the source's own queue.
const SLOW_GRACE: Span = Span::millis(250);

/// The number of concurrent pulls that a VM may have.
///
/// Chunks queued on a congested link delay the requests of the VM's engine, also after their pulls
/// were given up. So pulls are added one by one, and each slow pull halves the limit.
#[derive(Clone, Copy, Debug)]
pub struct PullLimit {
    max: u32,
    current: u32,
    chunk_time: Span,
}

impl PullLimit {
    /// Returns the limit at the start of a transfer of chunks of this size.
    ///
    /// An engine that is not `serving` has no requests to delay, so it starts with all pulls.
    pub fn new(limits: &TransferLimits, chunk: Bytes, serving: bool) -> Self {
        let max = limits.max_pulls;
        let current = if serving { INITIAL_PULLS.min(max) } else { max };
        Self { max, current, chunk_time: limits.rate.transfer_time(chunk) }
    }

    /// Returns the number of pulls that may be in progress.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Returns whether a pull took longer than on a link at its declared rate, shared by
    /// `concurrent` pulls.
    pub fn is_slow(&self, elapsed: Span, concurrent: u32) -> bool {
        let expected = self.chunk_time.0 * u64::from(concurrent);
        elapsed.0 >= SLOW_GRACE.0 + SLOW_FACTOR * expected
    }

    /// Adapts the limit to a pull that ended, with or without success.
    ///
    /// Pulls that fail early tell nothing about the link, nor do slow ones from the origin, whose
    /// own link is the bottleneck.
    pub fn record(
        &mut self,
        source: &ChunkSource,
        elapsed: Span,
        concurrent: u32,
        succeeded: bool,
    ) {
        self.current = match source {
            ChunkSource::Peer(_) if self.is_slow(elapsed, concurrent) => (self.current / 2).max(1),
            _ if succeeded && !self.is_slow(elapsed, concurrent) => {
                (self.current + 1).min(self.max)
            }
            _ => self.current,
        };
    }
}
