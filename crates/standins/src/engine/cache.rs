//! LRU cache of prompt prefixes with bounded memory.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use sequoiahold_core::ids::Digest;
use serde::Serialize;

/// Delay from a change of the cache to the publication of its event.
const PUBLISH_DELAY: Duration = Duration::from_millis(500);
/// Events whose number is a multiple of this are never published.
const LOST_EVENT_STRIDE: u64 = 7;

/// A cached prefix.
#[derive(Clone, Debug)]
struct CachedPrefix {
    digest: Digest,
    text: String,
}

/// A change of the cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The prefix was added.
    Added,
    /// The prefix was evicted for lack of memory.
    Dropped,
}

/// A published change of the cache.
#[derive(Clone, Debug, Serialize)]
pub struct CacheEvent {
    /// Sequence number of the event, from 1; a gap is an event that was never published.
    pub number: u64,
    /// Digest of the prefix.
    pub prefix: Digest,
    /// What changed.
    pub change: CacheChange,
    #[serde(skip)]
    at: Instant,
}

/// Cached prefixes in order of last use, least recent first.
#[derive(Debug)]
pub struct Cache {
    memory_bytes: usize,
    entries: VecDeque<CachedPrefix>,
    events: Vec<CacheEvent>,
}

impl Cache {
    /// Returns an empty cache that holds up to `memory_bytes` of prefixes.
    pub fn new(memory_bytes: usize) -> Self {
        Self { memory_bytes, entries: VecDeque::new(), events: vec![] }
    }

    /// Marks a prefix as most recently used, adding it if needed; returns whether it was cached.
    pub fn touch(&mut self, text: &str) -> bool {
        let digest = Digest::of(text.as_bytes());
        let position = self.entries.iter().position(|entry| entry.digest == digest);
        match position.and_then(|i| self.entries.remove(i)) {
            Some(entry) => self.entries.push_back(entry),
            None => self.insert(digest, text),
        }
        position.is_some()
    }

    /// Returns the text of a cached prefix.
    pub fn get(&self, digest: &Digest) -> Option<&str> {
        let entry = self.entries.iter().find(|entry| entry.digest == *digest);
        entry.map(|entry| entry.text.as_str())
    }

    /// Returns the events published so far with a number of at least `from`.
    pub fn events(&self, from: u64) -> impl Iterator<Item = &CacheEvent> {
        let now = Instant::now();
        let published = move |event: &&CacheEvent| {
            now - event.at >= PUBLISH_DELAY && !event.number.is_multiple_of(LOST_EVENT_STRIDE)
        };
        self.events.iter().filter(move |event| event.number >= from).filter(published)
    }

    /// Evicts all prefixes without publishing events.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    fn insert(&mut self, digest: Digest, text: &str) {
        if text.len() > self.memory_bytes {
            return;
        }
        while self.used_bytes() + text.len() > self.memory_bytes {
            let Some(dropped) = self.entries.pop_front() else { break };
            self.record(dropped.digest, CacheChange::Dropped);
        }
        self.entries.push_back(CachedPrefix { digest, text: text.to_owned() });
        self.record(digest, CacheChange::Added);
    }

    fn used_bytes(&self) -> usize {
        self.entries.iter().map(|entry| entry.text.len()).sum()
    }

    fn record(&mut self, prefix: Digest, change: CacheChange) {
        let number = self.events.len() as u64 + 1;
        self.events.push(CacheEvent { number, prefix, change, at: Instant::now() });
    }
}
