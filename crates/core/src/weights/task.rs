//! Active pulls and the per-chunk state of a transfer.

use super::{cross_zone::PullPlan, topology::PeerKey};
use crate::{time::Time, units::Span};

/// Number of answers without the chunk after which the next zone is tried.
const MAX_UNAVAILABLE: usize = 16;
/// Number of unanswered or corrupt pulls after which the next zone is tried.
const MAX_UNANSWERED: usize = 2;

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
    pub(super) paused_until: Time,
    pub(super) offered_by: Option<PeerKey>,
}

impl ChunkTask {
    /// Moves on to the next source zone after too many failures at the current one.
    pub(super) fn advance_zone(&mut self) {
        if self.unavailable >= MAX_UNAVAILABLE || self.unanswered >= MAX_UNANSWERED {
            (self.source_zone, self.unavailable, self.unanswered) = (self.source_zone + 1, 0, 0);
        }
    }
}
