//! Simulated configuration service with watches, a rate limit and outages.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use sequoiahold_core::{
    config::PlatformError,
    declare::{Head, PublishedSet, SetId},
    ids::Digest,
    time::Time,
    units::Span,
};

/// Maximum calls per second across all readers; more are refused as rate-limited.
const CALL_RATE_LIMIT: u64 = 2_000;
/// Maximum time that a watch waits for a new head.
pub const WATCH_TIMEOUT: Span = Span::secs(2);

/// A process that waits for a new head: its index and its epoch.
pub type Watcher = (usize, u64);

/// A simulated configuration service.
#[derive(Debug, Default)]
pub struct Platform {
    /// Whether the service fails all calls.
    pub down: bool,
    published: Option<Arc<PublishedSet>>,
    parts: BTreeMap<Digest, Bytes>,
    /// Calls by second of virtual time, including refused ones.
    pub calls: BTreeMap<u64, u64>,
    /// Processes that wait for a new head.
    watches: Vec<Watcher>,
}

impl Platform {
    /// Publishes a set; returns the waiting processes, whose watches end.
    pub fn publish(&mut self, set: Arc<PublishedSet>) -> Vec<Watcher> {
        self.parts.extend(set.parts.iter().map(|(digest, part)| (*digest, part.clone())));
        self.published = Some(set);
        std::mem::take(&mut self.watches)
    }

    /// Returns the published head; fails if the service is down or nothing is published.
    pub fn head(&self) -> Result<Head, PlatformError> {
        match &self.published {
            _ if self.down => Err(PlatformError::Unavailable),
            Some(published) => Ok(published.head.clone()),
            None => Err(PlatformError::NotFound),
        }
    }

    /// Handles a watch call; returns `None` if it must wait, for at most [`WATCH_TIMEOUT`].
    pub fn watch(
        &mut self,
        now: Time,
        reader: Watcher,
        seen: Option<SetId>,
    ) -> Option<Result<Head, PlatformError>> {
        if let Err(error) = self.admit_call(now) {
            return Some(Err(error));
        }
        let head = self.head();
        let same =
            matches!(&head, Ok(head) if seen.is_some_and(|s| s.generation == head.generation));
        if same {
            self.watches.push(reader);
            return None;
        }
        Some(head)
    }

    /// Ends the watch of a process; returns whether it was still waiting.
    pub fn end_watch(&mut self, reader: Watcher) -> bool {
        let before = self.watches.len();
        self.watches.retain(|waiting| *waiting != reader);
        self.watches.len() < before
    }

    /// Handles a call for a part; fails if the call is refused or the part is unknown.
    pub fn part(&mut self, now: Time, digest: &Digest) -> Result<Bytes, PlatformError> {
        self.admit_call(now)?;
        self.parts.get(digest).cloned().ok_or(PlatformError::NotFound)
    }

    fn admit_call(&mut self, now: Time) -> Result<(), PlatformError> {
        let calls = self.calls.entry(now.0 / 1_000_000).or_default();
        *calls += 1;
        match (*calls > CALL_RATE_LIMIT, self.down) {
            (true, _) => Err(PlatformError::RateLimited),
            (_, true) => Err(PlatformError::Unavailable),
            _ => Ok(()),
        }
    }
}
