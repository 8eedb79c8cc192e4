//! What a VM knows of a peer during a transfer.

use super::chunk_set::ChunkSet;
use crate::{time::Time, units::Span};

/// Wrong chunks after which a peer is avoided.
const MAX_CORRUPT_CHUNKS: u32 = 3;
/// Failures in a row after which a peer counts as down.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// Longest pause of a peer that fails.
const MAX_PAUSE: Span = Span::secs(60);

/// What a VM knows of a peer.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    /// The chunks that the peer said it holds.
    pub(super) held: ChunkSet,
    /// The draws from the peer that are in progress.
    pub(super) pulls: u32,
    /// The time of the last question.
    pub(super) last_query: Option<Time>,
    /// Whether a question waits for its answer.
    pub(super) query_pending: bool,
    /// The time before which nothing is drawn from the peer.
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

    /// Takes the chunks that the peer holds and returns the ones that are new.
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

    /// Takes note that a question had no answer.
    pub(super) fn query_unanswered(&mut self) {
        self.query_pending = false;
        self.unanswered_queries += 1;
    }

    /// Takes note that the peer gave a sound chunk.
    pub(super) fn pull_succeeded(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Takes note that a draw ended without a chunk; the pause doubles with each in a row.
    pub(super) fn pull_failed(&mut self, now: Time, timeout: Span) {
        self.consecutive_failures += 1;
        let pause = timeout.0.saturating_mul(1 << self.consecutive_failures.min(6));
        self.paused_until = now + Span(pause.min(MAX_PAUSE.0));
    }

    /// Takes note that the peer gave wrong bytes.
    pub(super) fn corrupt_chunk(&mut self) {
        self.corrupt_chunks += 1;
    }

    /// Returns whether the peer has given too many wrong chunks.
    pub(super) fn is_excluded(&self) -> bool {
        self.corrupt_chunks >= MAX_CORRUPT_CHUNKS
    }

    /// Returns whether chunks may be drawn from the peer now.
    pub(super) fn is_available(&self, now: Time) -> bool {
        !self.is_excluded() && self.paused_until <= now
    }

    /// Returns whether nothing may be expected of the peer.
    pub(super) fn is_down(&self) -> bool {
        self.is_excluded()
            || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            || self.unanswered_queries >= MAX_CONSECUTIVE_FAILURES
    }

    /// Returns whether the peer answers but has held no new chunk for `patience`.
    pub(super) fn is_stalled(&self, now: Time, stall_timeout: Span) -> bool {
        self.last_progress.is_some_and(|at| now - at >= stall_timeout)
    }
}
