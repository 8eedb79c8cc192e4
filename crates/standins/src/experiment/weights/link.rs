//! Links as byte rates, each with one queue.

use std::collections::VecDeque;

use sequoiahold_core::{
    time::Time,
    units::{ByteRate, Bytes},
};

/// A flow that waits for a link: its number, the hop, and when its last byte can be there.
pub type WaitingFlow = (usize, usize, Time);

/// One direction of a link.
#[derive(Clone, Debug)]
pub struct Link {
    /// The bytes that have passed.
    pub bytes: u64,
    /// The flows that wait.
    pub queue: VecDeque<WaitingFlow>,
    rate: ByteRate,
    free_at: Time,
}

impl Link {
    /// Returns an idle link.
    pub fn new(rate: ByteRate) -> Self {
        Self { bytes: 0, queue: VecDeque::new(), rate, free_at: Time::default() }
    }

    /// Returns whether a flow can pass at `now`.
    pub fn is_free(&self, now: Time) -> bool {
        self.free_at <= now
    }

    /// Lets `size` bytes pass from `now` on; returns when the last has passed.
    pub fn transmit(&mut self, now: Time, size: Bytes) -> Time {
        self.free_at = now + self.rate.transfer_time(size);
        self.bytes += size.0;
        self.free_at
    }
}
