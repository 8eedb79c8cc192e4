//! Causes for which an endpoint gets no requests, each with its end.

use crate::time::Time;

/// End of a cause that lasts until something else is known of the endpoint.
const UNKNOWN_END: Time = Time(u64::MAX);

/// Why an endpoint gets no requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// Its last attempts failed.
    Failing,
    /// It refused a request because it was full.
    Full,
    /// It said that it leaves.
    Leaving,
    /// Its engine loads weights.
    Loading,
    /// Its address serves another instance, or it holds other weights.
    Misdirected,
    /// It asked for a pause.
    Pause,
    /// The rate limit that it advertises leaves this gateway no turn.
    RateLimit,
    /// Its engine is not known to have loaded intact weights.
    Unproved,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 8] = [
        Self::Failing,
        Self::Full,
        Self::Leaving,
        Self::Loading,
        Self::Misdirected,
        Self::Pause,
        Self::RateLimit,
        Self::Unproved,
    ];

    /// Returns the name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Failing => "failing",
            Self::Full => "full",
            Self::Leaving => "leaving",
            Self::Loading => "loading",
            Self::Misdirected => "misdirected",
            Self::Pause => "pause",
            Self::RateLimit => "rate_limit",
            Self::Unproved => "unproved",
        }
    }
}

/// The causes in force at an endpoint, apart from a rate limit, whose end follows from the requests
/// sent, and an unproved load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    /// The end of each cause, in the past where it is not in force.
    ends: [Time; Cause::ALL.len()],
}

impl Availability {
    /// Returns whether no cause is in force.
    pub fn is_available(&self, now: Time) -> bool {
        self.ends.iter().all(|end| *end <= now)
    }

    /// Returns the causes in force with their ends, `None` where an end is not known.
    pub fn causes(&self, now: Time) -> impl Iterator<Item = (Cause, Option<Time>)> {
        let ends = Cause::ALL.into_iter().zip(self.ends);
        let in_force = ends.filter(move |(_, end)| *end > now);
        in_force.map(|(cause, end)| (cause, Some(end).filter(|end| *end != UNKNOWN_END)))
    }

    /// Returns when a cause ends or has ended, `None` if it was not in force.
    pub fn end(&self, cause: Cause) -> Option<Time> {
        Some(self.ends[cause as usize]).filter(|end| *end > Time::default())
    }

    /// Puts a cause in force until the given time, `None` until something else is known.
    pub fn set(&mut self, cause: Cause, end: Option<Time>) {
        self.ends[cause as usize] = end.unwrap_or(UNKNOWN_END);
    }

    /// Puts a cause in force until the given time, or later if it was in force for longer.
    pub fn extend(&mut self, cause: Cause, end: Time) {
        let known = &mut self.ends[cause as usize];
        *known = end.max(*known);
    }

    /// Ends a cause.
    pub fn clear(&mut self, cause: Cause) {
        self.set(cause, Some(Time::default()));
    }
}
