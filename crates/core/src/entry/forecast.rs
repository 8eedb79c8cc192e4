//! When requests that wait will be served, by what the endpoints bear now and once they are warm.

use crate::units::Span;

/// What an entry may have in progress, now and once the endpoints are warm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Forecast {
    /// The requests in progress now.
    pub(super) slots: u32,
    /// The requests in progress once the endpoints are warm.
    pub(super) warm_slots: u32,
    /// The time of one request.
    pub(super) mean: Span,
}

impl Forecast {
    /// Returns the time until `count` requests have left the queue; the slots double in each mean time.
    pub(super) fn drain_time(&self, count: usize) -> Span {
        let warm = u64::from(self.warm_slots.max(self.slots).max(1));
        let mut slots = u64::from(self.slots.max(1));
        let (mut left, mut time) = (count as u64, 0u64);
        while slots < warm && left > slots {
            left -= slots;
            time = time.saturating_add(self.mean.0);
            slots = (slots * 2).min(warm);
        }
        Span(time.saturating_add(self.mean.0.saturating_mul(left) / slots))
    }

    /// Returns the time in which one request is served once the endpoints are warm.
    pub(super) fn service_interval(&self) -> Span {
        Span(self.mean.0 / u64::from(self.warm_slots.max(self.slots).max(1)))
    }
}
