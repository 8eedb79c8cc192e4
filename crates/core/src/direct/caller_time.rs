//! Time that callers have already spent on earlier attempts.
//!
//! Load pattern: callers that were refused return together, while new ones arrive. A request is on
//! time only if it is answered within its objective counted from the caller's first attempt; one
//! that returns later is served where that delays no request that can still be on time.

use std::collections::BTreeMap;

use crate::{time::Time, units::Span};

/// Time for which the longest timeout of a route is remembered, at least.
const MEMORY: Span = Span::secs(10);
/// Difference to the longest timeout below which a request counts as a first attempt.
const MIN_ELAPSED: Span = Span::millis(100);
/// Number of routes above which all are forgotten.
const MAX_ROUTES: usize = 8_192;

/// The longest timeouts that callers sent, by route.
#[derive(Clone, Debug, Default)]
pub struct CallerTime {
    longest: BTreeMap<String, Longest>,
}

#[derive(Clone, Copy, Debug)]
struct Longest {
    since: Time,
    current: Span,
    previous: Span,
}

impl CallerTime {
    /// Returns how long a caller has waited since its first attempt, given the timeout that it
    /// sends with this one.
    ///
    /// Callers of a route have the same total time, so that what a timeout lacks to the longest one
    /// has passed.
    pub fn elapsed(&mut self, now: Time, route: &str, timeout: Span) -> Span {
        if self.longest.len() > MAX_ROUTES {
            self.longest.clear();
        }
        let Some(longest) = self.longest.get_mut(route) else {
            let longest = Longest { since: now, current: timeout, previous: Span(0) };
            self.longest.insert(route.to_owned(), longest);
            return Span(0);
        };
        if now >= longest.since + MEMORY {
            (longest.since, longest.previous) = (now, longest.current);
            longest.current = Span(0);
        }
        longest.current = longest.current.max(timeout);
        let total = longest.current.max(longest.previous);
        let elapsed = Span(total.0.saturating_sub(timeout.0));
        if elapsed < MIN_ELAPSED { Span(0) } else { elapsed }
    }
}
