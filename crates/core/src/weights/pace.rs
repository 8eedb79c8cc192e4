//! Pacing of one direction of a VM's link for weights.

use crate::{
    time::Time,
    units::{ByteRate, Bytes, Share, Span},
};

/// Share of the link that weights may use while no request runs.
const IDLE: u64 = 1_000;
/// Share of the link that weights may use while as many requests run as the endpoint bears.
const FULL: u64 = 250;

/// Hands out a link's time in turn, so that weights stay under a rate.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    rate: ByteRate,
    share: Share,
    free: Time,
}

impl Pacer {
    /// Returns a pacer for a link of this rate.
    pub fn new(rate: ByteRate) -> Self {
        Self { rate, share: Share(IDLE as u16), free: Time::default() }
    }

    /// Sets the share of the rate that weights may use.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Returns the rate that weights may use now.
    pub fn rate(&self) -> ByteRate {
        ByteRate((self.rate.0 * u64::from(self.share.0) / IDLE).max(1))
    }

    /// Takes the link for `size` bytes and returns when they may begin to move.
    pub fn reserve(&mut self, now: Time, size: Bytes) -> Time {
        let start = now.max(self.free);
        self.free = start + self.rate().transfer_time(size);
        start
    }

    /// Returns the time until the link is free.
    pub fn wait(&self, now: Time) -> Span {
        self.free - now
    }
}

/// Returns the share of the link that weights may use while requests run.
pub fn share(running: u32, limit: u32) -> Share {
    let running = u64::from(running.min(limit));
    let taken = (IDLE - FULL) * running / u64::from(limit.max(1));
    Share((IDLE - taken) as u16)
}
