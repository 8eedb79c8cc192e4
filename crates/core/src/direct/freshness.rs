//! Bounds the time at which changes of the published state can have been made.

use crate::{time::Time, units::Span};

/// Time within which a process that follows the platform notices that its connection is silent.
const MAX_SILENCE: Span = Span::secs(3);

/// The last time at which a process knew the published state to be current.
///
/// Whatever it lacked then was published later, however late the process hears of it: a connection
/// may have fallen silent, or the process may have stood still.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    current_at: Option<Time>,
    /// Since when the state was known to be current without a gap.
    followed_since: Option<Time>,
    /// The first and the last failed new connection since the last read.
    outage: Option<(Time, Time)>,
}

impl Freshness {
    /// Records a complete read that was started at `started`.
    pub fn record_read(&mut self, started: Time) {
        self.record_current(started);
        self.outage = None;
    }

    /// Records the state of a peer, which was current `age` before it was sent, at `sent` or later.
    pub fn record_peer(&mut self, sent: Time, age: Span) {
        if let Some(at) = time_before(sent, age) {
            self.record_current(at);
        }
    }

    /// Records that the platform restored its state from a copy, which may lack what was published.
    pub fn record_restore(&mut self, now: Time) {
        self.followed_since = Some(now);
    }

    /// Records that the platform could not be reached by a new connection at `started`; a rollout
    /// does not count the time of an outage.
    pub fn record_outage(&mut self, started: Time) {
        let first = self.outage.map_or(started, |(first, _)| first);
        self.outage = Some((first, started));
    }

    /// Returns when the state was last known to be current, `None` if it never was.
    pub fn current_at(&self) -> Option<Time> {
        self.current_at
    }

    /// Returns the earliest time at which a change that was not known so far counts as published,
    /// `None` if it is unknown.
    pub fn earliest_change(&self) -> Option<Time> {
        let current_at = self.current_at?;
        let Some((first, last)) = self.outage else { return Some(current_at) };
        // A process that did not follow the platform before has no newer knowledge of its own.
        let followed_at = Time(first.0.saturating_sub(MAX_SILENCE.0));
        Some(current_at.max(followed_at) + (last - first.max(current_at)))
    }

    /// Returns the same for a change that a peer sent at `sent` or later and that, by its knowledge,
    /// was not published more than `age` before.
    ///
    /// An outage of this process says nothing of a change that a peer knows the age of.
    pub fn earliest_sent_change(&self, sent: Time, age: Option<Span>) -> Option<Time> {
        match age {
            Some(age) => self.current_at.max(time_before(sent, age)),
            None => self.earliest_change(),
        }
    }

    /// Returns whether the state was known to be current without a gap or an outage for `span` before
    /// `at`: a version that was new after `at` was not announced before within that time.
    pub fn has_followed(&self, at: Time, span: Span) -> bool {
        let is_current = self.current_at.is_some_and(|current| at <= current + MAX_SILENCE);
        is_current
            && self.outage.is_none()
            && self.followed_since.is_some_and(|since| since + span <= at)
    }

    fn record_current(&mut self, at: Time) {
        if self.current_at.is_none_or(|current| current + MAX_SILENCE < at) {
            self.followed_since = self.followed_since.max(Some(at));
        }
        self.current_at = self.current_at.max(Some(at));
    }

    /// Returns the time since the state was known to be current.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.current_at.map(|at| now - at)
    }
}

/// Returns the time `age` before `sent`, `None` if that is before the start of the process.
fn time_before(sent: Time, age: Span) -> Option<Time> {
    sent.0.checked_sub(age.0).map(Time)
}
