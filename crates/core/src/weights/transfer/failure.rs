//! What a transfer makes of draws that fail, and how long it waits for them.

use super::{MAX_TIMEOUT, MIN_TIMEOUT, NEAR_LEAST, Outside, PeerKey, Transfer};
use crate::{
    time::Time,
    units::Span,
    weights::{draw::DrawError, estimate::Estimate, task::Flight},
};

impl<O: Outside> Transfer<O> {
    pub(super) fn peer_failed(
        &mut self,
        now: Time,
        chunk: usize,
        key: PeerKey,
        error: DrawError,
        flight: &Flight,
    ) {
        let Some(peer) = self.peers.get_mut(&key) else { return };
        match error {
            DrawError::Silent => peer.failed(now, flight.timeout),
            DrawError::Later(pause) if !flight.outside => peer.pause = now + pause,
            DrawError::Absent if !flight.outside => peer.held.remove(chunk),
            _ => {}
        }
        let wait = self.limits.rate.transfer_time(self.chunk);
        let Some(task) = self.tasks[chunk].as_mut().filter(|_| flight.outside) else { return };
        match error {
            DrawError::Absent => {
                task.absent += 1;
                task.pause = now + Span(wait.0 << task.absent.min(4));
            }
            DrawError::Later(pause) => {
                task.absent += 1;
                task.pause = now + pause;
            }
            DrawError::Silent => task.silent += 1,
        }
        task.go_on();
    }

    pub(super) fn origin_failed(
        &mut self,
        now: Time,
        chunk: usize,
        error: DrawError,
        timeout: Span,
    ) {
        let pause = match error {
            DrawError::Later(pause) => pause,
            DrawError::Absent | DrawError::Silent => {
                self.refused += 1;
                Span(timeout.0.saturating_mul(1 << self.refused.min(6)).min(MAX_TIMEOUT.0))
            }
        };
        self.origin = self.origin.max(now + pause);
        if let Some(task) = self.tasks[chunk].as_mut().filter(|_| error == DrawError::Silent) {
            task.zone += 1;
        }
    }

    /// Returns whether draws from a source pass the region's link.
    pub(super) fn is_far(&self, source: Option<PeerKey>) -> bool {
        source.is_none_or(|key| !self.topology.in_region(key))
    }

    pub(super) fn estimate(&mut self, flight: &Flight) -> &mut Estimate {
        if self.is_far(flight.source) { &mut self.far } else { &mut self.near }
    }

    /// Returns the time that a draw may take, from the ones before.
    pub(super) fn timeout(&self, far: bool) -> Span {
        let usual = self.usual(far);
        let timeout = if far {
            self.far.timeout(usual, usual).0
        } else {
            self.near.timeout(Span(usual.0 * NEAR_LEAST / 4), usual).0
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
