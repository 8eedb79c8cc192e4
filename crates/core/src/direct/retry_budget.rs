//! Budget of the retries that one gateway may send to a service.
//!
//! In each window, the retries of all gateways must stay below a ratio of the requests plus a
//! constant. Each gateway stays below the ratio of its own requests plus its share of the constant,
//! so that no coordination is needed. A gateway that has been restarted has its share one window
//! after its start, as an earlier process on its VM may have used it up until then.
//!
//! The retries of a window are those that reach endpoints in it. A retry counts from its charge for
//! as long as it, or an earlier attempt without an answer, may arrive, and for a window afterwards.

use std::collections::{BTreeMap, VecDeque};

use crate::{ids::ServiceId, time::Time, units::Span};

/// Fraction of the ratio that is used; the rest allows for requests added by the callers' retries.
const RATIO_FRACTION: f64 = 0.8;
/// Fraction of the constant that is divided among the gateways; the rest covers those that know
/// only the gateways on their side of a network partition.
const EXTRA_FRACTION: f64 = 0.5;

/// Time for which links and suspended endpoints may hold back an attempt without an answer.
const MAX_HOLD: Span = Span::secs(10);

/// Time for which gateways count after they were last known, as they may be cut off and not gone.
const MEMORY_TIME: Span = Span::secs(3_600);

/// Bounds on the retries of all gateways to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries in each window.
    pub extra: f64,
    /// The length of the window.
    pub window: Span,
}

/// What a gateway counts for a service, and how many retries that allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Requests that count.
    pub requests: usize,
    /// Retries that count, with those in progress.
    pub retries: usize,
    /// Gateways that the constant is divided by.
    pub gateways: usize,
    /// Share of the constant, in retries.
    pub share: f64,
    /// Retries allowed by the requests and the share.
    pub allowed: f64,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: VecDeque<Time>,
    /// Retries in progress.
    pending: usize,
    /// When retries were settled that have arrived.
    arrived: VecDeque<Time>,
    /// When retries were settled of which an attempt may still arrive.
    held: VecDeque<Time>,
}

/// Retry budgets by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    /// When the share of the constant becomes available.
    share_start: Time,
    /// The most gateways that were known at once, and when last.
    most_known: (usize, Time),
    counts: BTreeMap<ServiceId, Counts>,
}

impl RetryBudget {
    /// Returns empty budgets with these bounds, for a gateway that runs for the first time.
    pub fn new(bounds: RetryBounds) -> Self {
        let most_known = (0, Time::default());
        Self { bounds, share_start: Time::default(), most_known, counts: BTreeMap::new() }
    }

    /// Returns empty budgets with these bounds, for a gateway that is restarted at `now`.
    pub fn restarted(bounds: RetryBounds, now: Time) -> Self {
        Self { share_start: now + bounds.window, ..Self::new(bounds) }
    }

    /// Records the number of gateways that are known, which for an hour share the constant.
    pub fn record_gateways(&mut self, now: Time, gateways: usize) {
        let (most, at) = self.most_known;
        if gateways >= most || at + MEMORY_TIME <= now {
            self.most_known = (gateways, now);
        }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Time, service: &ServiceId) {
        let counts = self.counts.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        expire(&mut counts.requests, now, self.bounds.window);
    }

    /// Spends one retry and returns true, or false if the budget is used up; `gateways` share the
    /// constant. The retry counts until it is settled or released, and from then on as that says.
    pub fn try_spend(&mut self, now: Time, service: &ServiceId, gateways: usize) -> bool {
        let usage = self.usage(now, service, gateways);
        let allowed = (usage.retries + 1) as f64 <= usage.allowed;
        if allowed {
            self.counts.entry(service.clone()).or_default().pending += 1;
        }
        allowed
    }

    /// Ends a retry that has been sent; `held` tells whether an attempt of its request has got no
    /// answer and may still arrive.
    pub fn settle(&mut self, now: Time, service: &ServiceId, held: bool) {
        let counts = self.counts.entry(service.clone()).or_default();
        counts.pending = counts.pending.saturating_sub(1);
        let settled = if held { &mut counts.held } else { &mut counts.arrived };
        settled.push_back(now);
    }

    /// Gives back a retry that was not sent.
    pub fn release(&mut self, service: &ServiceId) {
        let counts = self.counts.entry(service.clone()).or_default();
        counts.pending = counts.pending.saturating_sub(1);
    }

    /// Returns what counts for a service now; `gateways` share the constant.
    pub fn usage(&mut self, now: Time, service: &ServiceId, gateways: usize) -> RetryUsage {
        let bounds = self.bounds;
        let counts = self.counts.entry(service.clone()).or_default();
        expire(&mut counts.requests, now, bounds.window);
        expire(&mut counts.arrived, now, bounds.window);
        expire(&mut counts.held, now, Span(bounds.window.0 + MAX_HOLD.0));
        let requests = counts.requests.len();
        let retries = counts.pending + counts.arrived.len() + counts.held.len();
        let has_share = now >= self.share_start;
        let extra = if has_share { bounds.extra } else { 0.0 };
        let gateways = gateways.max(self.most_known.0).max(1);
        let share = extra * EXTRA_FRACTION / gateways as f64;
        let allowed = requests as f64 * bounds.ratio * RATIO_FRACTION + share;
        RetryUsage { requests, retries, gateways, share, allowed }
    }
}

fn expire(times: &mut VecDeque<Time>, now: Time, window: Span) {
    while times.front().is_some_and(|at| *at + window <= now) {
        times.pop_front();
    }
}
