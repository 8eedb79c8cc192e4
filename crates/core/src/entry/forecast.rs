//! Forecast of queue waiting times from the current and the warm capacity of the endpoints.

use crate::units::Span;

/// The capacity of an entry, now and once the endpoints are warm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Forecast {
    /// The concurrent requests that the endpoints accept from this entry now.
    pub(super) slots: u32,
    /// The concurrent requests that the endpoints accept from this entry once they are warm.
    pub(super) warm_slots: u32,
    /// The mean duration of a request.
    pub(super) mean: Span,
}

impl Forecast {
    /// Returns the time until `count` requests have left the queue.
    ///
    /// The number of slots is taken to double in each mean duration until the endpoints are warm.
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

    /// Returns the mean time between two completed requests once the endpoints are warm.
    pub(super) fn service_interval(&self) -> Span {
        Span(self.mean.0 / u64::from(self.warm_slots.max(self.slots).max(1)))
    }
}
