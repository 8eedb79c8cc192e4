//! Paces weight traffic in one direction of a VM's network link.

use crate::{
    time::Time,
    units::{ByteRate, Bytes, Share, Span},
};

/// Share of the link for weights while no request runs, in thousandths.
const IDLE_SHARE: u64 = 1_000;
/// Share of the link for weights at the endpoint's request limit, in thousandths.
const FULL_LOAD_SHARE: u64 = 250;

/// Schedules transmissions one after another so that weight traffic stays below a rate.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    rate: ByteRate,
    share: Share,
    next_free: Time,
}

impl Pacer {
    /// Creates a pacer that may use the whole `rate` of a link.
    pub fn new(rate: ByteRate) -> Self {
        Self { rate, share: Share(IDLE_SHARE as u16), next_free: Time::default() }
    }

    /// Sets the share of the link rate that weights may use.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Returns the rate that weights may use at the current share.
    pub fn rate(&self) -> ByteRate {
        ByteRate((self.rate.0 * u64::from(self.share.0) / IDLE_SHARE).max(1))
    }

    /// Reserves the link for `size` bytes and returns the time at which sending may start.
    pub fn reserve(&mut self, now: Time, size: Bytes) -> Time {
        let start = now.max(self.next_free);
        self.next_free = start + self.rate().transfer_time(size);
        start
    }

    /// Returns the time until all reserved transmissions have ended.
    pub fn queue_delay(&self, now: Time) -> Span {
        self.next_free - now
    }
}

/// Returns the share of the link for weights, falling linearly as `running` approaches `limit`.
pub fn share_under_load(running: u32, limit: u32) -> Share {
    let running = u64::from(running.min(limit));
    let reduction = (IDLE_SHARE - FULL_LOAD_SHARE) * running / u64::from(limit.max(1));
    Share((IDLE_SHARE - reduction) as u16)
}
