//! Draws in progress and the chunks that they are for.

use super::{cross_zone::PullPlan, topology::PeerKey};
use crate::{time::Time, units::Span};

/// Answers without the chunk after which the next zone is tried.
const MAX_UNAVAILABLE: usize = 16;
/// Draws without an answer after which the next zone is tried.
const MAX_UNANSWERED: usize = 2;

/// A draw in progress.
#[derive(Clone, Debug)]
pub(super) struct ActivePull {
    pub(super) source: Option<PeerKey>,
    pub(super) cross_zone: bool,
    pub(super) started: Time,
    pub(super) timeout: Span,
}

/// What is known of a missing chunk and of its sources outside the zone.
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
    /// Goes on to the next zone once this one has failed often enough.
    pub(super) fn advance_zone(&mut self) {
        if self.unavailable >= MAX_UNAVAILABLE || self.unanswered >= MAX_UNANSWERED {
            (self.source_zone, self.unavailable, self.unanswered) = (self.source_zone + 1, 0, 0);
        }
    }
}
