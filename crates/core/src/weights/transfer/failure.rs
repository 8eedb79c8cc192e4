//! Timeouts of a transfer and its handling of failed pulls.

use super::{CrossZonePolicy, MAX_TIMEOUT, MIN_IN_REGION_QUARTERS, MIN_TIMEOUT, PeerKey, Transfer};
use crate::{
    time::Time,
    units::Span,
    weights::{estimate::DurationEstimate, pull::PullError, task::ActivePull},
};

impl<O: CrossZonePolicy> Transfer<O> {
    pub(super) fn peer_failed(
        &mut self,
        now: Time,
        chunk: usize,
        key: PeerKey,
        error: PullError,
        pull: &ActivePull,
    ) {
        let Some(peer) = self.peers.get_mut(&key) else { return };
        match error {
            PullError::Silent => peer.record_failure(now, pull.timeout),
            PullError::Later(pause) if !pull.cross_zone => peer.paused_until = now + pause,
            PullError::Absent if !pull.cross_zone => peer.held.remove(chunk),
            _ => {}
        }
        let wait = self.limits.rate.transfer_time(self.chunk_size);
        let Some(task) = self.tasks[chunk].as_mut().filter(|_| pull.cross_zone) else { return };
        match error {
            PullError::Absent => {
                task.unavailable += 1;
                task.paused_until = now + Span(wait.0 << task.unavailable.min(4));
            }
            PullError::Later(pause) => {
                task.unavailable += 1;
                task.paused_until = now + pause;
            }
            PullError::Silent => task.unanswered += 1,
        }
        task.advance_zone();
    }

    pub(super) fn origin_failed(
        &mut self,
        now: Time,
        chunk: usize,
        error: PullError,
        timeout: Span,
    ) {
        let pause = match error {
            PullError::Later(pause) => {
                self.origin_refusal = Some(now);
                pause
            }
            PullError::Absent | PullError::Silent => {
                self.origin_failures += 1;
                Span(timeout.0.saturating_mul(1 << self.origin_failures.min(6)).min(MAX_TIMEOUT.0))
            }
        };
        self.origin_retry = self.origin_retry.max(now + pause);
        if let Some(task) = self.tasks[chunk].as_mut().filter(|_| error == PullError::Silent) {
            task.source_zone += 1;
        }
    }

    /// Returns whether pulls from a source count as crossing the region's link, as all from the
    /// origin do.
    pub(super) fn crosses_regions(&self, source: Option<PeerKey>) -> bool {
        source.is_none_or(|key| !self.topology.in_own_region(key))
    }

    pub(super) fn estimate_mut(&mut self, pull: &ActivePull) -> &mut DurationEstimate {
        if self.crosses_regions(pull.source) {
            &mut self.remote_estimate
        } else {
            &mut self.local_estimate
        }
    }

    /// Returns the pull timeout, based on the durations of earlier pulls.
    pub(super) fn pull_timeout(&self, cross_region: bool) -> Span {
        let initial = self.initial_timeout(cross_region);
        let timeout = if cross_region {
            self.remote_estimate.timeout(initial, initial).0
        } else {
            self.local_estimate.timeout(Span(initial.0 * MIN_IN_REGION_QUARTERS / 4), initial).0
        };
        Span(timeout.clamp(self.limits.min_timeout(MIN_TIMEOUT).0, MAX_TIMEOUT.0))
    }

    /// Returns the pull timeout before any duration was measured.
    pub(super) fn initial_timeout(&self, cross_region: bool) -> Span {
        self.limits
            .initial_timeout(self.chunk_size, self.topology.origin_link().filter(|_| cross_region))
    }

    /// Returns the time without progress after which other VMs take over.
    pub(super) fn stall_timeout(&self) -> Span {
        let default = self.pull_timeout(true).0.saturating_mul(2).max(5 * MIN_TIMEOUT.0);
        self.limits.stall_timeout(Span(default))
    }
}
