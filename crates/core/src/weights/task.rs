//! Active pulls and the per-chunk state of a transfer.

use super::{cross_zone::PullPlan, topology::PeerKey};
use crate::{time::Time, units::Span};

/// Number of answers without the chunk after which the next zone is tried.
const MAX_UNAVAILABLE: usize = 16;
/// Number of unanswered or corrupt pulls after which the next zone is tried.
const MAX_UNANSWERED: usize = 2;
/// First and longest pause after a corrupt copy of a chunk.
const MIN_CORRUPT_PAUSE: Span = Span::millis(50);
const MAX_CORRUPT_PAUSE: Span = Span::secs(2);

/// A pull in progress.
#[derive(Clone, Debug)]
pub(super) struct ActivePull {
    pub(super) source: Option<PeerKey>,
    pub(super) cross_zone: bool,
    pub(super) started: Time,
    pub(super) timeout: Span,
}

/// The state of a missing chunk and of its sources outside the zone.
#[derive(Clone, Debug)]
pub(super) struct ChunkTask {
    pub(super) plan: PullPlan,
    pub(super) sources: Option<Vec<Vec<PeerKey>>>,
    pub(super) source_zone: usize,
    pub(super) unavailable: usize,
    pub(super) unanswered: usize,
    /// The number of corrupt copies received.
    pub(super) corrupt: u32,
    pub(super) paused_until: Time,
    pub(super) offered_by: Option<PeerKey>,
}

impl ChunkTask {
    /// Records a corrupt copy and pauses, twice as long after each one.
    pub(super) fn record_corrupt(&mut self, now: Time) {
        let pause = MIN_CORRUPT_PAUSE.0.saturating_mul(1 << self.corrupt.min(6));
        let pause = Span(pause.min(MAX_CORRUPT_PAUSE.0));
        (self.corrupt, self.unanswered) = (self.corrupt + 1, self.unanswered + 1);
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Moves on to the next source zone after too many failures at the current one.
    pub(super) fn advance_zone(&mut self) {
        if self.unavailable >= MAX_UNAVAILABLE || self.unanswered >= MAX_UNANSWERED {
            (self.source_zone, self.unavailable, self.unanswered) = (self.source_zone + 1, 0, 0);
        }
    }
}
