//! An estimate of how long draws take, and the timeout that follows from it.

use crate::units::Span;

/// Most doublings of a timeout.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// A smoothed mean and deviation of the time that draws take.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DurationEstimate {
    mean: Option<u64>,
    deviation: u64,
    backoff: u32,
}

impl DurationEstimate {
    /// Takes the time of a draw that succeeded.
    pub(super) fn sample(&mut self, took: Span) {
        self.backoff = 0;
        let Some(mean) = self.mean else {
            (self.mean, self.deviation) = (Some(took.0), took.0 / 2);
            return;
        };
        self.deviation = (3 * self.deviation + mean.abs_diff(took.0)) / 4;
        self.mean = Some((7 * mean + took.0) / 8);
    }

    /// Takes note of a timeout; the next ones are twice as long until a draw succeeds.
    pub(super) fn back_off(&mut self) {
        self.backoff = (self.backoff + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Returns the timeout: at least `least`, and `usual` while no draw has succeeded.
    pub(super) fn timeout(&self, least: Span, usual: Span) -> Span {
        let expected = |mean: u64| (2 * mean + 4 * self.deviation).clamp(least.0, usual.0 * 2);
        Span(self.mean.map_or(usual.0, expected) << self.backoff)
    }
}
