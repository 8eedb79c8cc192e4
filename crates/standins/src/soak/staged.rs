//! Chunks staged at an engine of a soak, which can turn corrupt.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;

use super::origin::{self, CHUNKS};

/// Time for which a chunk may have been corrupt when it is loaded.
const CORRUPTION_GRACE: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct Chunk {
    /// What was staged.
    data: Bytes,
    corrupt_since: Option<Instant>,
}

/// The staged chunks of an engine.
#[derive(Clone, Debug, Default)]
pub struct StagedChunks(BTreeMap<u64, Chunk>);

impl StagedChunks {
    /// Returns all chunks of a version.
    pub fn complete(version: u64) -> Self {
        let mut staged = Self::default();
        (0..CHUNKS).for_each(|number| staged.stage(number, origin::chunk(version, number)));
        staged
    }

    /// Stages a chunk, which is intact from then on.
    pub fn stage(&mut self, number: u64, data: Bytes) {
        self.0.insert(number, Chunk { data, corrupt_since: None });
    }

    /// Removes all chunks.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Turns a chunk corrupt if it is staged and intact.
    pub fn corrupt(&mut self, now: Instant, number: u64) {
        if let Some(chunk) = self.0.get_mut(&number) {
            chunk.corrupt_since.get_or_insert(now);
        }
    }

    /// Returns what a read of a chunk yields, `None` if it is missing.
    pub fn read(&self, number: u64) -> Option<Bytes> {
        let chunk = self.0.get(&number)?;
        let is_corrupt = chunk.corrupt_since.is_some();
        Some(if is_corrupt { Bytes::from_static(b"corrupt") } else { chunk.data.clone() })
    }

    /// Returns the first chunk that is missing or was staged for another version.
    pub fn find_mismatch(&self, version: u64) -> Option<u64> {
        (0..CHUNKS).find(|number| !self.matches(version, *number))
    }

    /// Returns the chunks that are missing, of another version, or corrupt for longer than allowed.
    pub fn unusable(&self, now: Instant, version: u64) -> Vec<u64> {
        let is_expired = |number: &u64| {
            let since = self.0.get(number).and_then(|chunk| chunk.corrupt_since);
            since.is_some_and(|since| now.saturating_duration_since(since) > CORRUPTION_GRACE)
        };
        let is_unusable = |number: &u64| !self.matches(version, *number) || is_expired(number);
        (0..CHUNKS).filter(is_unusable).collect()
    }

    fn matches(&self, version: u64, number: u64) -> bool {
        let chunk = self.0.get(&number);
        chunk.is_some_and(|chunk| chunk.data == origin::chunk(version, number))
    }
}
