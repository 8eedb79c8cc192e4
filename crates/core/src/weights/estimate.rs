//! Estimates the duration of pulls and derives their timeout, like a TCP retransmission timer.

use crate::units::Span;

/// Maximum number of times that the timeout is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Smoothed mean and mean deviation of pull durations, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DurationEstimate {
    mean: Option<u64>,
    deviation: u64,
    backoff: u32,
}

impl DurationEstimate {
    /// Records the duration of a successful pull and resets the backoff.
    pub(super) fn add_sample(&mut self, duration: Span) {
        self.backoff = 0;
        let Some(mean) = self.mean else {
            (self.mean, self.deviation) = (Some(duration.0), duration.0 / 2);
            return;
        };
        self.deviation = (3 * self.deviation + mean.abs_diff(duration.0)) / 4;
        self.mean = Some((7 * mean + duration.0) / 8);
    }

    /// Doubles the timeout until a pull succeeds.
    pub(super) fn back_off(&mut self) {
        self.backoff = (self.backoff + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Returns the timeout of the next pull, including backoff.
    ///
    /// Without backoff it is `initial` before the first sample, then from `min` to twice `initial`.
    pub(super) fn timeout(&self, min: Span, initial: Span) -> Span {
        let expected = |mean: u64| (2 * mean + 4 * self.deviation).clamp(min.0, initial.0 * 2);
        Span(self.mean.map_or(initial.0, expected) << self.backoff)
    }
}
