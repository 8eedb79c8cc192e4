//! The configuration service in virtual time: watches, a rate, faults.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use sequoiahold_core::{
    config::PlatformError,
    declare::{Head, PublishedSet, SetId},
    ids::Digest,
    time::Time,
    units::Span,
};

/// Calls a second that the service answers across all readers.
const CALL_RATE_LIMIT: u64 = 2_000;
/// Time that a watch may wait.
pub const WATCH_TIMEOUT: Span = Span::secs(2);

/// A process, by its place and start, that waits for another head.
pub type Watcher = (usize, u64);

/// The configuration service.
#[derive(Debug, Default)]
pub struct Platform {
    /// Whether it answers at all.
    pub down: bool,
    published: Option<Arc<PublishedSet>>,
    parts: BTreeMap<Digest, Bytes>,
    /// The calls of each second, refused ones included.
    pub calls: BTreeMap<u64, u64>,
    /// The processes that wait for another head.
    watches: Vec<Watcher>,
}

impl Platform {
    /// Shows a set; returns the processes whose watch ends.
    pub fn publish(&mut self, set: Arc<PublishedSet>) -> Vec<Watcher> {
        self.parts.extend(set.parts.iter().map(|(digest, part)| (*digest, part.clone())));
        self.published = Some(set);
        std::mem::take(&mut self.watches)
    }

    /// Returns the head that is shown.
    pub fn head(&self) -> Result<Head, PlatformError> {
        match &self.published {
            _ if self.down => Err(PlatformError::Unavailable),
            Some(published) => Ok(published.head.clone()),
            None => Err(PlatformError::NotFound),
        }
    }

    /// Takes a call for the head; `None` where it waits, at most for `WATCH`.
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

    /// Ends the watch of a process; returns whether it still waited.
    pub fn end_watch(&mut self, reader: Watcher) -> bool {
        let before = self.watches.len();
        self.watches.retain(|waiting| *waiting != reader);
        self.watches.len() < before
    }

    /// Takes a call for a part.
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
