//! Draws in progress and the chunks that they are for.

use super::{cross_zone::Assignment, topology::PeerKey};
use crate::{time::Time, units::Span};

/// Answers without the chunk after which the next zone is tried.
const MAX_UNAVAILABLE: usize = 16;
/// Draws without an answer after which the next zone is tried.
const MAX_UNANSWERED: usize = 2;

/// A draw in progress.
#[derive(Clone, Debug)]
pub(super) struct ActivePull {
    pub(super) source: Option<PeerKey>,
    pub(super) outside: bool,
    pub(super) since: Time,
    pub(super) timeout: Span,
}

/// What is known of a missing chunk and of its sources outside the zone.
#[derive(Clone, Debug)]
pub(super) struct ChunkTask {
    pub(super) duty: Assignment,
    pub(super) sources: Option<Vec<Vec<PeerKey>>>,
    pub(super) zone: usize,
    pub(super) absent: usize,
    pub(super) silent: usize,
    pub(super) pause: Time,
    pub(super) offer: Option<PeerKey>,
}

impl ChunkTask {
    /// Goes on to the next zone once this one has failed often enough.
    pub(super) fn go_on(&mut self) {
        if self.absent >= MAX_UNAVAILABLE || self.silent >= MAX_UNANSWERED {
            (self.zone, self.absent, self.silent) = (self.zone + 1, 0, 0);
        }
    }
}
