//! What a transfer makes of draws that fail, and how long it waits for them.

use super::{CrossZonePolicy, MAX_TIMEOUT, MIN_IN_REGION_QUARTERS, MIN_TIMEOUT, PeerKey, Transfer};
use crate::{
    time::Time,
    units::Span,
    weights::{chunk_task::ActivePull, estimate::DurationEstimate, pull::PullError},
};

impl<O: CrossZonePolicy> Transfer<O> {
    pub(super) fn peer_failed(
        &mut self,
        now: Time,
        chunk: usize,
        key: PeerKey,
        error: PullError,
        flight: &ActivePull,
    ) {
        let Some(peer) = self.peers.get_mut(&key) else { return };
        match error {
            PullError::NoResponse => peer.failed(now, flight.timeout),
            PullError::Busy(pause) if !flight.outside => peer.pause = now + pause,
            PullError::NotFound if !flight.outside => peer.held.remove(chunk),
            _ => {}
        }
        let wait = self.limits.rate.time_of(self.chunk);
        let Some(task) = self.tasks[chunk].as_mut().filter(|_| flight.outside) else { return };
        match error {
            PullError::NotFound => {
                task.absent += 1;
                task.pause = now + Span(wait.0 << task.absent.min(4));
            }
            PullError::Busy(pause) => {
                task.absent += 1;
                task.pause = now + pause;
            }
            PullError::NoResponse => task.silent += 1,
        }
        task.go_on();
    }

    pub(super) fn origin_failed(
        &mut self,
        now: Time,
        chunk: usize,
        error: PullError,
        timeout: Span,
    ) {
        let pause = match error {
            PullError::Busy(pause) => pause,
            PullError::NotFound | PullError::NoResponse => {
                self.refused += 1;
                Span(timeout.0.saturating_mul(1 << self.refused.min(6)).min(MAX_TIMEOUT.0))
            }
        };
        self.origin = self.origin.max(now + pause);
        if let Some(task) = self.tasks[chunk].as_mut().filter(|_| error == PullError::NoResponse) {
            task.zone += 1;
        }
    }

    /// Returns whether draws from a source pass the region's link.
    pub(super) fn is_far(&self, source: Option<PeerKey>) -> bool {
        source.is_none_or(|key| !self.topology.in_region(key))
    }

    pub(super) fn estimate(&mut self, flight: &ActivePull) -> &mut DurationEstimate {
        if self.is_far(flight.source) { &mut self.far } else { &mut self.near }
    }

    /// Returns the time that a draw may take, from the ones before.
    pub(super) fn timeout(&self, far: bool) -> Span {
        let usual = self.usual(far);
        let timeout = if far {
            self.far.timeout(usual, usual).0
        } else {
            self.near.timeout(Span(usual.0 * MIN_IN_REGION_QUARTERS / 4), usual).0
        };
        Span(timeout.clamp(self.limits.least(MIN_TIMEOUT).0, MAX_TIMEOUT.0))
    }

    /// Returns the time that a draw may take while nothing is known of the ones before.
    pub(super) fn usual(&self, far: bool) -> Span {
        self.limits.usual(self.chunk, self.topology.link().filter(|_| far))
    }

    /// Returns the time without progress after which others step in.
    pub(super) fn patience(&self) -> Span {
        let usual = self.timeout(true).0.saturating_mul(2).max(5 * MIN_TIMEOUT.0);
        self.limits.patience(Span(usual))
    }
}
