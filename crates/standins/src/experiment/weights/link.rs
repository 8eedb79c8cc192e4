//! Links as byte rates, each with one queue.

use sequoiahold_core::{
    time::Time,
    units::{ByteRate, Bytes},
};

/// One direction of a link.
#[derive(Clone, Debug)]
pub struct Link {
    /// The bytes that have entered the link.
    pub bytes: u64,
    rate: ByteRate,
    free: Time,
}

impl Link {
    /// Returns an idle link.
    pub fn new(rate: ByteRate) -> Self {
        Self { bytes: 0, rate, free: Time::default() }
    }

    /// Queues `size` bytes at `now`; returns when their first and last bytes pass.
    pub fn enter(&mut self, now: Time, size: Bytes) -> (Time, Time) {
        let start = now.max(self.free);
        self.free = start + self.rate.time_of(size);
        self.bytes += size.0;
        (start, self.free)
    }
}
