//! A cache of prompt prefixes in limited memory.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use sequoiahold_core::ids::Digest;
use serde::Serialize;

/// Time by which events are published late.
const LATE: Duration = Duration::from_millis(500);
/// Every how many events one is never published.
const GAP: u64 = 7;

/// A cached prefix.
#[derive(Clone, Debug)]
struct Entry {
    digest: Digest,
    text: String,
}

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// It was added.
    Added,
    /// It was dropped for lack of memory.
    Dropped,
}

/// An event of the cache.
#[derive(Clone, Debug, Serialize)]
pub struct CacheEvent {
    /// The number of the event; numbers that are missing were never published.
    pub number: u64,
    /// The digest of the prefix.
    pub prefix: Digest,
    /// What happened.
    pub change: Change,
    #[serde(skip)]
    at: Instant,
}

/// Cached prefixes, the one that was used last at the end.
#[derive(Debug)]
pub struct Cache {
    memory: usize,
    entries: VecDeque<Entry>,
    events: Vec<CacheEvent>,
}

impl Cache {
    /// Returns an empty cache.
    pub fn new(memory: usize) -> Self {
        Self { memory, entries: VecDeque::new(), events: vec![] }
    }

    /// Returns whether a prefix is cached, and caches it as the one used last.
    pub fn touch(&mut self, text: &str) -> bool {
        let digest = Digest::of(text.as_bytes());
        let known = self.entries.iter().position(|entry| entry.digest == digest);
        match known.and_then(|i| self.entries.remove(i)) {
            Some(entry) => self.entries.push_back(entry),
            None => self.add(digest, text),
        }
        known.is_some()
    }

    /// Returns the text of a cached prefix.
    pub fn get(&self, digest: &Digest) -> Option<&str> {
        let entry = self.entries.iter().find(|entry| entry.digest == *digest);
        entry.map(|entry| entry.text.as_str())
    }

    /// Returns the events that are published by now, from a number on.
    pub fn events(&self, from: u64) -> impl Iterator<Item = &CacheEvent> {
        let now = Instant::now();
        let published =
            move |event: &&CacheEvent| now - event.at >= LATE && !event.number.is_multiple_of(GAP);
        self.events.iter().filter(move |event| event.number >= from).filter(published)
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    fn add(&mut self, digest: Digest, text: &str) {
        if text.len() > self.memory {
            return;
        }
        while self.used() + text.len() > self.memory {
            let Some(dropped) = self.entries.pop_front() else { break };
            self.record(dropped.digest, Change::Dropped);
        }
        self.entries.push_back(Entry { digest, text: text.to_owned() });
        self.record(digest, Change::Added);
    }

    fn used(&self) -> usize {
        self.entries.iter().map(|entry| entry.text.len()).sum()
    }

    fn record(&mut self, prefix: Digest, change: Change) {
        let number = self.events.len() as u64 + 1;
        self.events.push(CacheEvent { number, prefix, change, at: Instant::now() });
    }
}
