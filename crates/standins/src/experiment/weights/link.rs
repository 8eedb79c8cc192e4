//! Simulated network links, each with a byte rate and a queue.

use std::collections::VecDeque;

use sequoiahold_core::{
    time::Time,
    units::{ByteRate, Bytes},
};

/// A flow that waits for a link: its index, the hop, and the earliest arrival of its last byte.
pub type WaitingFlow = (usize, usize, Time);

/// One direction of a link.
#[derive(Clone, Debug)]
pub struct Link {
    /// Bytes transmitted so far.
    pub bytes: u64,
    /// Waiting flows in order.
    pub queue: VecDeque<WaitingFlow>,
    rate: ByteRate,
    free_at: Time,
}

impl Link {
    /// Returns an idle link.
    pub fn new(rate: ByteRate) -> Self {
        Self { bytes: 0, queue: VecDeque::new(), rate, free_at: Time::default() }
    }

    /// Returns whether the link can start a transmission at `now`.
    pub fn is_free(&self, now: Time) -> bool {
        self.free_at <= now
    }

    /// Starts the transmission of `size` bytes at `now`; returns the time of its end.
    pub fn transmit(&mut self, now: Time, size: Bytes) -> Time {
        self.free_at = now + self.rate.transfer_time(size);
        self.bytes += size.0;
        self.free_at
    }
}
