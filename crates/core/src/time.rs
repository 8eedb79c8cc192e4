//! Points in time as values, and a timer queue.

use std::{
    collections::BTreeMap,
    fmt,
    ops::{Add, Sub},
};

use serde::{Deserialize, Serialize};

use crate::units::Span;

/// A point in time, in microseconds since the start of the process or of a simulated scenario.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Time(pub u64);

impl Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub for Time {
    type Output = Span;

    fn sub(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", Span(self.0))
    }
}

/// The identifier of a scheduled timer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TimerId(Time, u64);

/// A queue of timers, each with a key that is returned when the timer is due.
#[derive(Clone, Debug)]
pub struct Timers<K> {
    queue: BTreeMap<TimerId, K>,
    count: u64,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Self { queue: BTreeMap::new(), count: 0 }
    }
}

impl<K> Timers<K> {
    /// Schedules a timer with `key` for the time `at`.
    pub fn schedule(&mut self, at: Time, key: K) -> TimerId {
        self.count += 1;
        let id = TimerId(at, self.count);
        self.queue.insert(id, key);
        id
    }

    /// Cancels a timer and returns its key, or `None` if it has fired or was cancelled before.
    pub fn cancel(&mut self, id: TimerId) -> Option<K> {
        self.queue.remove(&id)
    }

    /// Returns the time of the earliest timer.
    pub fn next_due(&self) -> Option<Time> {
        self.queue.keys().next().map(|id| id.0)
    }

    /// Removes the earliest timer that is due at `now` and returns its key.
    pub fn pop_due(&mut self, now: Time) -> Option<K> {
        let id = *self.queue.keys().next().filter(|id| id.0 <= now)?;
        self.queue.remove(&id)
    }
}
