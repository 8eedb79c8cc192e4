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
    pub(super) draws: u32,
    /// The time of the last question.
    pub(super) asked: Option<Time>,
    /// Whether a question waits for its answer.
    pub(super) waiting: bool,
    /// The time before which nothing is drawn from the peer.
    pub(super) pause: Time,
    grown: Option<Time>,
    charges: u32,
    failures: u32,
    silences: u32,
}

impl PeerState {
    pub(super) fn new(len: usize) -> Self {
        Self {
            held: ChunkSet::new(len),
            draws: 0,
            asked: None,
            waiting: false,
            pause: Time::default(),
            grown: None,
            charges: 0,
            failures: 0,
            silences: 0,
        }
    }

    /// Takes the chunks that the peer holds and returns the ones that are new.
    pub(super) fn tells(&mut self, now: Time, held: ChunkSet) -> ChunkSet {
        self.waiting = false;
        self.silences = 0;
        let new = held.without(&self.held);
        if self.grown.is_none() || !new.is_empty() {
            self.grown = Some(now);
        }
        self.held = held;
        new
    }

    /// Takes note that a question had no answer.
    pub(super) fn silent(&mut self) {
        self.waiting = false;
        self.silences += 1;
    }

    /// Takes note that the peer gave a sound chunk.
    pub(super) fn gave(&mut self) {
        self.failures = 0;
    }

    /// Takes note that a draw ended without a chunk; the pause doubles with each in a row.
    pub(super) fn failed(&mut self, now: Time, timeout: Span) {
        self.failures += 1;
        let pause = timeout.0.saturating_mul(1 << self.failures.min(6));
        self.pause = now + Span(pause.min(MAX_PAUSE.0));
    }

    /// Takes note that the peer gave wrong bytes.
    pub(super) fn charge(&mut self) {
        self.charges += 1;
    }

    /// Returns whether the peer has given too many wrong chunks.
    pub(super) fn avoided(&self) -> bool {
        self.charges >= MAX_CORRUPT_CHUNKS
    }

    /// Returns whether chunks may be drawn from the peer now.
    pub(super) fn open(&self, now: Time) -> bool {
        !self.avoided() && self.pause <= now
    }

    /// Returns whether nothing may be expected of the peer.
    pub(super) fn down(&self) -> bool {
        self.avoided()
            || self.failures >= MAX_CONSECUTIVE_FAILURES
            || self.silences >= MAX_CONSECUTIVE_FAILURES
    }

    /// Returns whether the peer answers but has held no new chunk for `patience`.
    pub(super) fn stuck(&self, now: Time, patience: Span) -> bool {
        self.grown.is_some_and(|grown| now - grown >= patience)
    }
}
