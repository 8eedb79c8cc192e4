//! The state of a peer during a transfer, as one VM knows it.

use super::chunk_set::ChunkSet;
use crate::{time::Time, units::Span};

/// Number of corrupt chunks after which a peer is excluded.
const MAX_CORRUPT_CHUNKS: u32 = 3;
/// Consecutive failed pulls, or unanswered queries, after which a peer counts as down.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// Maximum pause after a failed pull.
const MAX_PAUSE: Span = Span::secs(60);

/// The state of a peer during a transfer.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    /// The chunks that the peer last reported to hold.
    pub(super) held: ChunkSet,
    /// The number of active pulls from the peer.
    pub(super) pulls: u32,
    /// The time of the last query for held chunks.
    pub(super) last_query: Option<Time>,
    /// Whether a query has not been answered yet.
    pub(super) query_pending: bool,
    /// The time before which nothing is pulled from the peer.
    pub(super) paused_until: Time,
    last_progress: Option<Time>,
    corrupt_chunks: u32,
    consecutive_failures: u32,
    unanswered_queries: u32,
}

impl PeerState {
    pub(super) fn new(chunk_count: usize) -> Self {
        Self {
            held: ChunkSet::new(chunk_count),
            pulls: 0,
            last_query: None,
            query_pending: false,
            paused_until: Time::default(),
            last_progress: None,
            corrupt_chunks: 0,
            consecutive_failures: 0,
            unanswered_queries: 0,
        }
    }

    /// Replaces the chunks that the peer holds and returns the newly held ones.
    pub(super) fn update_held(&mut self, now: Time, held: ChunkSet) -> ChunkSet {
        self.query_pending = false;
        self.unanswered_queries = 0;
        let new = held.difference(&self.held);
        if self.last_progress.is_none() || !new.is_empty() {
            self.last_progress = Some(now);
        }
        self.held = held;
        new
    }

    /// Records that a query was not answered.
    pub(super) fn record_unanswered(&mut self) {
        self.query_pending = false;
        self.unanswered_queries += 1;
    }

    /// Records that the peer delivered a valid chunk.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failed pull and pauses the peer, twice as long after each consecutive failure.
    pub(super) fn record_failure(&mut self, now: Time, timeout: Span) {
        self.consecutive_failures += 1;
        let pause = timeout.0.saturating_mul(1 << self.consecutive_failures.min(6));
        self.paused_until = now + Span(pause.min(MAX_PAUSE.0));
    }

    /// Records that the peer delivered a corrupt chunk.
    pub(super) fn record_corrupt(&mut self) {
        self.corrupt_chunks += 1;
    }

    /// Returns whether the peer has delivered too many corrupt chunks.
    pub(super) fn is_excluded(&self) -> bool {
        self.corrupt_chunks >= MAX_CORRUPT_CHUNKS
    }

    /// Returns whether chunks may be pulled from the peer now.
    pub(super) fn is_available(&self, now: Time) -> bool {
        !self.is_excluded() && self.paused_until <= now
    }

    /// Returns whether the peer is excluded or has stopped answering.
    pub(super) fn is_down(&self) -> bool {
        self.is_excluded()
            || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            || self.unanswered_queries >= MAX_CONSECUTIVE_FAILURES
    }

    /// Returns whether the peer has answered but reported no new chunk for `stall_timeout`.
    pub(super) fn is_stalled(&self, now: Time, stall_timeout: Span) -> bool {
        self.last_progress.is_some_and(|at| now - at >= stall_timeout)
    }
}
