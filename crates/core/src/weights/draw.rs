//! Draws of chunks: where from, and what became of them.

use crate::{
    ids::{Digest, VmId},
    units::{ByteRate, Bytes, Span},
};

/// Draws that a peer is assumed to serve at the same time.
const SLOTS: u64 = 4;
/// Times by which a draw may exceed the time that its rate suggests.
const SLACK: u64 = 2;
/// Times by which a draw over a region's link may exceed the time that its rate suggests.
const FAR_SLACK: u64 = 4;

/// Where a chunk is drawn from.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Supplier {
    /// The origin of weights.
    Origin,
    /// Another VM.
    Peer(VmId),
}

/// A draw that is to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Draw {
    /// The chunk.
    pub digest: Digest,
    /// Where it is drawn from.
    pub supplier: Supplier,
    /// The time that the draw may take.
    pub timeout: Span,
}

/// Why a draw ended without a chunk.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DrawError {
    /// The supplier does not hold the chunk.
    Absent,
    /// The supplier takes the draw after this time.
    Later(Span),
    /// The supplier gave no answer in time.
    Silent,
}

/// What became of a chunk that arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransferOutcome {
    /// The chunk is kept.
    Kept,
    /// All chunks are held now.
    Whole,
    /// The chunk has another digest and was dropped.
    Corrupt,
    /// The chunk is not wanted.
    Unwanted,
}

/// What a transfer may use of its VM.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The rate at which the VM draws.
    pub rate: ByteRate,
    /// The chunks that are drawn at the same time.
    pub draws: u32,
    /// The time in which the whole version is wanted, if there is one: waits are a part of it.
    pub within: Option<Span>,
}

/// Parts of the wanted time in which others wait for a VM that is due to draw a chunk.
const WAITS: u64 = 10;
/// Parts of the wanted time of which a draw's timeout is at least one.
const TIMEOUTS: u64 = 8;

impl Limits {
    /// Returns the most draws from outside the zone at the same time.
    pub(super) fn window(&self) -> usize {
        (self.draws as usize / 2).max(1)
    }

    /// Returns the shortest timeout of a draw, `least` where no time is wanted.
    pub(super) fn least(&self, least: Span) -> Span {
        self.within.map_or(least, |within| Span(within.0 / TIMEOUTS).min(least))
    }

    /// Returns the time without progress after which others step in, `usual` where no time is wanted.
    pub(super) fn patience(&self, usual: Span) -> Span {
        self.within.map_or(usual, |within| Span(within.0 / WAITS).min(usual))
    }

    /// Returns the time that a draw may take, over a region's link of this rate if over one.
    pub(super) fn usual(&self, chunk: Bytes, link: Option<ByteRate>) -> Span {
        let slots = u64::from(self.draws) + SLOTS;
        let near = self.rate.transfer_time(chunk).0.saturating_mul(slots * SLACK);
        let over = link.map_or(0, |link| link.transfer_time(chunk).0);
        Span(near.max(over.saturating_mul(slots * FAR_SLACK)))
    }
}
