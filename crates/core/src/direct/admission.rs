//! Room that requests leave for more urgent ones at busy endpoints.
//!
//! Load pattern: callers of several priorities ask for more than the endpoints of a service can
//! process, through many gateways. Each gateway sees a sample of the demand; what a less urgent
//! request takes at one of them is missing for a more urgent request at another.

use std::collections::BTreeMap;

use super::endpoint_state::InFlightLoad;
use crate::{time::Time, units::Span};

/// Time in which the weight of a counted request halves.
const HALF_LIFE: Span = Span::secs(2);
/// Share of an endpoint that stays free if nearly all recent demand is more urgent and placed.
const MIN_RESERVED: f64 = 1.0 / 6.0;
/// Maximum share of an endpoint that stays free.
const MAX_RESERVED: f64 = 0.75;
/// Factor on the share of the more urgent demand that finds no place.
const SHORTAGE_GAIN: f64 = 2.0;
/// Share of the time until a first event that prompts in prefill may take; the rest is for the
/// decode steps between their pieces.
const PREFILL_SHARE: f64 = 0.5;
/// Requests leave no room if they are placed less often than this multiple of what all are.
const MIN_PLACED: f64 = 0.5;

/// The priority of a request: its account's first, then its route's; 0 is the highest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Priority {
    /// The priority of the client account, that of the route where the account has none.
    pub account: u8,
    /// The priority of the route.
    pub route: u8,
}

impl From<u8> for Priority {
    /// Returns the priority on a route where the account has none.
    fn from(route: u8) -> Self {
        Self { account: route, route }
    }
}

/// How urgent a request is; lower values go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Urgency {
    /// Whether its objective has passed.
    pub late: bool,
    /// The priority of its account and route.
    pub priority: Priority,
}

/// Recent requests of one urgency, each with a weight that falls with its age.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    submitted: f64,
    placed: f64,
    /// The total time that the submitted requests had until their objectives, in ms.
    allowed_ms: f64,
    updated: Time,
}

impl Demand {
    /// Returns the demand with the weights of a later time.
    fn at(self, now: Time) -> Self {
        let halves = (now - self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(halves);
        Self {
            submitted: self.submitted * factor,
            placed: self.placed * factor,
            allowed_ms: self.allowed_ms * factor,
            updated: now,
        }
    }

    fn add(self, other: Self) -> Self {
        Self {
            submitted: self.submitted + other.submitted,
            placed: self.placed + other.placed,
            allowed_ms: self.allowed_ms + other.allowed_ms,
            updated: other.updated,
        }
    }

    fn placed_share(self) -> f64 {
        self.placed / self.submitted.max(f64::MIN_POSITIVE)
    }
}

/// The room that a request leaves at each endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reserve {
    /// Share of an endpoint that stays free.
    share: f64,
    /// Mean time that the more urgent requests have until their objectives, in ms.
    allowed_ms: f64,
}

impl Reserve {
    /// Returns whether an endpoint with this load and `capacity` slots has room for the request;
    /// the time of its prefill counts where `has_engine`.
    pub fn admits(&self, load: InFlightLoad, capacity: u32, has_engine: bool) -> bool {
        if self.share == 0.0 || load.requests == 0 {
            return true;
        }
        let kept = (f64::from(capacity) * self.share).round() as u32;
        let prefill_limit = self.allowed_ms * PREFILL_SHARE * (1.0 - self.share);
        load.requests + kept < capacity
            && (!has_engine || f64::from(load.prefill_ms) <= prefill_limit)
    }
}

/// The recent demand for a service at one gateway, by urgency.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    demands: BTreeMap<Urgency, Demand>,
}

impl Admission {
    /// Counts a new request that has `allowed` until its objective.
    pub fn record_submit(&mut self, now: Time, urgency: Urgency, allowed: Span) {
        let demand = self.demands.entry(urgency).or_default();
        *demand = demand.at(now);
        demand.submitted += 1.0;
        demand.allowed_ms += allowed.0 as f64 / 1e3;
    }

    /// Counts a request that was placed.
    pub fn record_placed(&mut self, now: Time, urgency: Urgency) {
        let demand = self.demands.entry(urgency).or_default();
        *demand = demand.at(now);
        demand.placed += 1.0;
    }

    /// Returns the room that a request of this urgency leaves for more urgent ones: none where there
    /// are no others, or where its kind is served too seldom.
    pub fn reserve(&self, now: Time, urgency: Urgency) -> Reserve {
        let all = total(now, self.demands.values());
        let above = total(now, self.demands.range(..urgency).map(|(_, demand)| demand));
        let own = self.demands.get(&urgency).map_or_else(Demand::default, |own| own.at(now));
        if above.submitted <= 0.0 || own.placed_share() < MIN_PLACED * all.placed_share() {
            return Reserve::default();
        }
        let part = above.submitted / all.submitted;
        let shortage = (1.0 - above.placed_share()).max(0.0);
        Reserve {
            share: (part * (MIN_RESERVED + SHORTAGE_GAIN * shortage)).min(MAX_RESERVED),
            allowed_ms: above.allowed_ms / above.submitted,
        }
    }
}

fn total<'a>(now: Time, demands: impl Iterator<Item = &'a Demand>) -> Demand {
    demands.fold(Demand::default(), |sum, demand| sum.add(demand.at(now)))
}
