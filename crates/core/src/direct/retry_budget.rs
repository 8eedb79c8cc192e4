//! The repeats that one gateway may send to a service.
//!
//! All gateways together keep below a share of the requests plus a constant in each window. Each
//! keeps below the share of its own requests plus its part of the constant, so they need not agree.

use std::collections::{BTreeMap, VecDeque};

use crate::{ids::ServiceId, time::Time, units::Span};

/// Part of the allowed share that is used; the rest covers requests that callers' retries add.
const RATIO_FRACTION: f64 = 0.8;
/// Part of the constant that is divided among the gateways; the rest covers gateways that started
/// anew and know nothing of the repeats before.
const EXTRA_FRACTION: f64 = 0.5;

/// The bounds on repeats to a service, over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that in each window.
    pub extra: f64,
    /// The window.
    pub window: Span,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// Counts requests and repeats by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    counts: BTreeMap<ServiceId, Counts>,
}

impl RetryBudget {
    /// Returns counts that keep the bounds.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, counts: BTreeMap::new() }
    }

    /// Takes note of a caller's request.
    pub fn record_request(&mut self, now: Time, service: &ServiceId) {
        let counts = self.counts.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        expire(&mut counts.requests, now, self.bounds.window);
    }

    /// Takes the right to one repeat where `gateways` share the constant, or returns false.
    pub fn try_spend(&mut self, now: Time, service: &ServiceId, gateways: usize) -> bool {
        let bounds = self.bounds;
        let counts = self.counts.entry(service.clone()).or_default();
        expire(&mut counts.requests, now, bounds.window);
        expire(&mut counts.retries, now, bounds.window);
        let earned = counts.requests.len() as f64 * bounds.ratio * RATIO_FRACTION;
        let extra = bounds.extra * EXTRA_FRACTION / gateways.max(1) as f64;
        let allowed = (counts.retries.len() + 1) as f64 <= earned + extra;
        if allowed {
            counts.retries.push_back(now);
        }
        allowed
    }
}

fn expire(times: &mut VecDeque<Time>, now: Time, window: Span) {
    while times.front().is_some_and(|at| *at + window <= now) {
        times.pop_front();
    }
}
