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
    pub(super) fn add_sample(&mut self, duration: Span) {
        self.backoff = 0;
        let Some(mean) = self.mean else {
            (self.mean, self.deviation) = (Some(duration.0), duration.0 / 2);
            return;
        };
        self.deviation = (3 * self.deviation + mean.abs_diff(duration.0)) / 4;
        self.mean = Some((7 * mean + duration.0) / 8);
    }

    /// Takes note of a timeout; the next ones are twice as long until a draw succeeds.
    pub(super) fn back_off(&mut self) {
        self.backoff = (self.backoff + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Returns the timeout: at least `least`, and `usual` while no draw has succeeded.
    pub(super) fn timeout(&self, min: Span, initial: Span) -> Span {
        let expected = |mean: u64| (2 * mean + 4 * self.deviation).clamp(min.0, initial.0 * 2);
        Span(self.mean.map_or(initial.0, expected) << self.backoff)
    }
}
