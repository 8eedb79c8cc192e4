//! Chunk lists, any part of which can be wrong, and the evidence that corrects them.
//!
//! A digest is confirmed by a chunk that matches it. One that chunks keep failing to match is taken
//! from another copy of the list, provided that those chunks match it there.

use std::{collections::BTreeMap, fmt};

use crate::{direct::platform::ChunkList, ids::Digest, time::Time, units::Span};

/// Maximum size of a chunk in bytes.
const MAX_CHUNK_BYTES: u64 = 16_000_000;
/// Number of times that a position must arrive with the same unlisted digest before the list is
/// suspected; random corruption yields other digests each time.
const MAX_MISMATCHES: u32 = 2;
/// First and longest pause between two reads of a suspected list.
const MIN_READ_PAUSE: Span = Span::millis(250);
const MAX_READ_PAUSE: Span = Span::secs(4);

/// The published size of a model's weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WeightsSize {
    /// The number of chunks.
    pub chunks: usize,
    /// The size of a chunk in bytes.
    pub chunk_bytes: u64,
}

/// Why a chunk list cannot be one of the requested version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListError {
    /// It is the list of this version.
    OtherVersion(u64),
    /// It has this number of digests.
    OtherCount(usize),
    /// Its chunks have this number of bytes.
    OtherSize(u64),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OtherVersion(version) => write!(f, "the list is of version {version}"),
            Self::OtherCount(count) => write!(f, "the list has {count} digests"),
            Self::OtherSize(size) => write!(f, "the list has chunks of {size} bytes"),
        }
    }
}

impl std::error::Error for ListError {}

/// Checks what can be known of a chunk list before any chunk is; fails if it cannot be the list of
/// `version`.
pub fn check_list(
    list: &ChunkList,
    version: u64,
    published: Option<WeightsSize>,
) -> Result<(), ListError> {
    let (count, size) = (list.digests.len(), list.chunk_size);
    match published {
        _ if list.version != version => Err(ListError::OtherVersion(list.version)),
        Some(published) if published.chunks != count => Err(ListError::OtherCount(count)),
        Some(published) if published.chunk_bytes != size => Err(ListError::OtherSize(size)),
        _ if count == 0 => Err(ListError::OtherCount(count)),
        _ if size == 0 || size > MAX_CHUNK_BYTES => Err(ListError::OtherSize(size)),
        _ => Ok(()),
    }
}

/// The chunks received that the list does not name, and when to read the list again.
#[derive(Clone, Debug, Default)]
pub struct ListSuspicion {
    /// The digest last received for a position, and how many times in a row.
    mismatches: BTreeMap<usize, (Digest, u32)>,
    next_read: Time,
    reads: u32,
}

impl ListSuspicion {
    /// Records a chunk received for a position whose digest in the list differs from `actual`.
    pub fn record_mismatch(&mut self, position: usize, actual: Digest) {
        let (last, count) = self.mismatches.entry(position).or_insert((actual, 0));
        *count = if *last == actual { *count + 1 } else { 1 };
        *last = actual;
    }

    /// Returns whether the list is suspected and may be read again now, and if so begins the pause
    /// before the next read.
    pub fn start_read(&mut self, now: Time) -> bool {
        let is_suspected = self.mismatches.values().any(|(_, count)| *count >= MAX_MISMATCHES);
        if !is_suspected || now < self.next_read {
            return false;
        }
        let pause = MIN_READ_PAUSE.0.saturating_mul(1 << self.reads.min(6));
        (self.next_read, self.reads) = (now + Span(pause.min(MAX_READ_PAUSE.0)), self.reads + 1);
        true
    }

    /// Returns `list` with the digests of `other` at the positions where received chunks match
    /// them, `None` if there are none.
    pub fn correct(&self, list: &ChunkList, other: &ChunkList) -> Option<ChunkList> {
        let is_confirmed = |(position, (actual, _)): &(&usize, &(Digest, u32))| {
            other.digests.get(**position) == Some(actual)
                && list.digests.get(**position).is_some_and(|listed| listed != actual)
        };
        let confirmed: Vec<(usize, Digest)> = self
            .mismatches
            .iter()
            .filter(is_confirmed)
            .map(|(position, (actual, _))| (*position, *actual))
            .collect();
        let mut corrected = list.clone();
        confirmed.iter().for_each(|(position, digest)| corrected.digests[*position] = *digest);
        (!confirmed.is_empty()).then_some(corrected)
    }
}
