//! Limit of concurrent pulls that follows the state of the VM's link.

use super::ChunkSource;
use crate::units::Span;

/// Duration from which a pull from a peer shows that the VM's link is congested, twice the p90 of
/// six concurrent pulls; data queued on the link delays the requests of the engine.
const SLOW_PULL: Span = Span::millis(750);

/// The number of concurrent pulls that a VM may have.
#[derive(Clone, Copy, Debug)]
pub struct PullLimit {
    max: u32,
    current: u32,
}

impl PullLimit {
    /// Returns the limit at the start of a transfer.
    pub fn new(max: u32) -> Self {
        Self { max, current: max }
    }

    /// Returns the number of pulls that may be in progress.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Returns whether a pull that took `elapsed` was slow.
    pub fn is_slow(&self, elapsed: Span) -> bool {
        elapsed >= SLOW_PULL
    }

    /// Adapts the limit to a pull that ended, with or without success.
    ///
    /// Pulls that fail early tell nothing about the link, nor do those from the origin, whose own
    /// link is the bottleneck.
    pub fn record(&mut self, source: &ChunkSource, elapsed: Span, succeeded: bool) {
        self.current = match source {
            ChunkSource::Peer(_) if self.is_slow(elapsed) => 1,
            ChunkSource::Peer(_) if succeeded => (self.current + 1).min(self.max),
            _ => self.current,
        };
    }
}
