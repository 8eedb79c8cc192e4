//! Draws of chunks: where from, and what became of them.

use crate::{
    ids::{Digest, VmId},
    units::{ByteRate, Bytes, Span},
};

/// Draws that a peer is assumed to serve at the same time.
const PEER_UPLOADS: u64 = 4;
/// Times by which a draw may exceed the time that its rate suggests.
const TIMEOUT_FACTOR: u64 = 2;
/// Times by which a draw over a region's link may exceed the time that its rate suggests.
const CROSS_REGION_FACTOR: u64 = 4;

/// Where a chunk is drawn from.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ChunkSource {
    /// The origin of weights.
    Origin,
    /// Another VM.
    Peer(VmId),
}

/// A draw that is to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pull {
    /// The chunk.
    pub digest: Digest,
    /// Where it is drawn from.
    pub source: ChunkSource,
    /// The time that the draw may take.
    pub timeout: Span,
}

/// Why a draw ended without a chunk.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PullError {
    /// The supplier does not hold the chunk.
    Absent,
    /// The supplier takes the draw after this time.
    Later(Span),
    /// The supplier gave no answer in time.
    Silent,
}

/// What became of a chunk that arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkOutcome {
    /// The chunk is kept.
    Accepted,
    /// All chunks are held now.
    Complete,
    /// The chunk has another digest and was dropped.
    Corrupt,
    /// The chunk is not wanted.
    Unwanted,
}

/// What a transfer may use of its VM.
#[derive(Clone, Copy, Debug)]
pub struct TransferLimits {
    /// The rate at which the VM draws.
    pub rate: ByteRate,
    /// The chunks that are drawn at the same time.
    pub max_pulls: u32,
    /// The time in which the whole version is wanted, if there is one: waits are a part of it.
    pub time_limit: Option<Span>,
}

/// Parts of the wanted time in which others wait for a VM that is due to draw a chunk.
const STALL_DIVISOR: u64 = 10;
/// Parts of the wanted time of which a draw's timeout is at least one.
const MIN_TIMEOUT_DIVISOR: u64 = 8;

impl TransferLimits {
    /// Returns the most draws from outside the zone at the same time.
    pub(super) fn max_window(&self) -> usize {
        (self.max_pulls as usize / 2).max(1)
    }

    /// Returns the shortest timeout of a draw, `least` where no time is wanted.
    pub(super) fn min_timeout(&self, default: Span) -> Span {
        self.time_limit.map_or(default, |limit| Span(limit.0 / MIN_TIMEOUT_DIVISOR).min(default))
    }

    /// Returns the time without progress after which others step in, `usual` where no time is wanted.
    pub(super) fn stall_timeout(&self, default: Span) -> Span {
        self.time_limit.map_or(default, |limit| Span(limit.0 / STALL_DIVISOR).min(default))
    }

    /// Returns the time that a draw may take, over a region's link of this rate if over one.
    pub(super) fn initial_timeout(&self, chunk: Bytes, link: Option<ByteRate>) -> Span {
        let concurrency = u64::from(self.max_pulls) + PEER_UPLOADS;
        let transmission = self.rate.time_of(chunk).0.saturating_mul(concurrency * TIMEOUT_FACTOR);
        let crossing = link.map_or(0, |link| link.time_of(chunk).0);
        Span(transmission.max(crossing.saturating_mul(concurrency * CROSS_REGION_FACTOR)))
    }
}
