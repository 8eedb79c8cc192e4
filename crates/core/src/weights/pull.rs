//! Chunk pulls: their sources, timeouts and outcomes.

use crate::{
    ids::{Digest, VmId},
    units::{ByteRate, Bytes, Span},
};

/// Assumed number of pulls that a peer serves concurrently.
const PEER_UPLOADS: u64 = 4;
/// Factor by which a pull may exceed its expected duration before it times out.
const TIMEOUT_FACTOR: u64 = 2;
/// Like `TIMEOUT_FACTOR`, for pulls over a region's link.
const CROSS_REGION_FACTOR: u64 = 4;

/// The source that a chunk is pulled from.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ChunkSource {
    /// The origin server that stores the weights.
    Origin,
    /// Another VM.
    Peer(VmId),
}

/// A request to pull one chunk from one source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pull {
    /// The digest of the chunk.
    pub digest: Digest,
    /// The source to pull from.
    pub source: ChunkSource,
    /// The time after which the pull fails as unanswered.
    pub timeout: Span,
}

/// The reason why a pull failed; the loader logs the variant names.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PullError {
    /// The source does not hold the chunk.
    Absent,
    /// The source is busy and accepts the pull after this delay.
    Later(Span),
    /// The source could not be reached or gave no usable answer in time.
    Silent,
}

/// The result of processing a received chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkOutcome {
    /// The chunk was valid and other chunks are still missing.
    Accepted,
    /// The chunk was valid and was the last missing one.
    Complete,
    /// The data does not match the digest and was dropped.
    Corrupt,
    /// The chunk is not part of the manifest or is already held.
    Unwanted,
}

/// Resource limits of a transfer on one VM.
#[derive(Clone, Copy, Debug)]
pub struct TransferLimits {
    /// The download rate that the VM may use, in bytes per second.
    pub rate: ByteRate,
    /// The maximum number of concurrent pulls.
    pub max_pulls: u32,
    /// The time within which the transfer should complete; shortens stall and minimum timeouts.
    pub time_limit: Option<Span>,
}

/// The stall timeout is at most the time limit divided by this.
const STALL_DIVISOR: u64 = 10;
/// The minimum pull timeout is at most the time limit divided by this.
const MIN_TIMEOUT_DIVISOR: u64 = 8;

impl TransferLimits {
    /// Returns the maximum number of concurrent pulls from outside the zone.
    pub(super) fn max_window(&self) -> usize {
        (self.max_pulls as usize / 2).max(1)
    }

    /// Returns the minimum pull timeout: `default`, or less under a short time limit.
    pub(super) fn min_timeout(&self, default: Span) -> Span {
        self.time_limit.map_or(default, |limit| Span(limit.0 / MIN_TIMEOUT_DIVISOR).min(default))
    }

    /// Returns the time without progress after which other VMs take over.
    ///
    /// This is `default`, or less under a short time limit.
    pub(super) fn stall_timeout(&self, default: Span) -> Span {
        self.time_limit.map_or(default, |limit| Span(limit.0 / STALL_DIVISOR).min(default))
    }

    /// Returns the pull timeout before any duration was measured.
    ///
    /// `link` is the rate of the region's link if the pull crosses it.
    pub(super) fn initial_timeout(&self, chunk: Bytes, link: Option<ByteRate>) -> Span {
        let concurrency = u64::from(self.max_pulls) + PEER_UPLOADS;
        let transmission =
            self.rate.transfer_time(chunk).0.saturating_mul(concurrency * TIMEOUT_FACTOR);
        let crossing = link.map_or(0, |link| link.transfer_time(chunk).0);
        Span(transmission.max(crossing.saturating_mul(concurrency * CROSS_REGION_FACTOR)))
    }
}
