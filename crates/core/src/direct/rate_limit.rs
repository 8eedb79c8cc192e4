//! The rate that an endpoint advertises for all gateways together, and the part of one gateway.
//!
//! Load pattern: an endpoint in need limits the requests of all gateways together, which place
//! requests without agreement. A few gateways, which all derive alike from the live ones, send it
//! an equal part each; the others leave it out. Gateways report what they hear to each other, as
//! only those that send learn of a change from the answers.

use serde::{Deserialize, Serialize};

use crate::{
    ids::InstanceId,
    time::Time,
    units::{RequestRate, Span},
};

/// Lowest enforced rate, in requests per second: only an answer tells that the limit is lifted.
const MIN_RATE: f64 = 0.1;
/// Number of gateways that share the lowest limits. In any span, each may send up to one request
/// more than its part, so their number bounds what exceeds the limit.
const MIN_SHARERS: usize = 4;
/// Further gateways that share a limit, for each request per second.
const SHARERS_PER_RATE: f64 = 2.0;
/// Age from which on what an endpoint advertised is disregarded.
const MAX_AGE: Span = Span::secs(60);
/// Reports that are newer by less are disregarded, as the time of their sending is an estimate.
const MIN_REPORT_GAIN: Span = Span::millis(50);

/// What an endpoint advertised, as exchanged between gateways.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateLimitReport {
    /// The instance of the endpoint.
    pub instance: InstanceId,
    /// The rate limit, `None` if it is lifted.
    pub rate: Option<RequestRate>,
    /// The time since the answer with the rate limit.
    pub age: Span,
}

/// How an answer or a report changed what is known of a rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateChange {
    /// Not at all.
    None,
    /// There was no limit before.
    Begun,
    /// The limit is another one.
    Adjusted,
    /// There is no limit any more.
    Lifted,
}

/// The rate limit of an endpoint, as known to one gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    rate: Option<RequestRate>,
    /// When the last answer that the rate is known from arrived, `None` before any limit.
    heard_at: Option<Time>,
    /// When this gateway may send its first request since the limit began.
    first_turn: Time,
}

impl RateLimit {
    /// Returns the rate limit in force, `None` without any.
    pub fn rate(&self, now: Time) -> Option<RequestRate> {
        self.rate.filter(|_| self.heard_at.is_some_and(|at| at + MAX_AGE > now))
    }

    /// Records the rate that an answer at `heard_at` advertised.
    ///
    /// The turns of the gateways that share a new limit are spread by their `rank`.
    pub fn record(&mut self, heard_at: Time, rate: Option<RequestRate>, rank: usize) -> RateChange {
        let known = self.rate(heard_at);
        if let (None, Some(rate)) = (known, rate) {
            self.first_turn = heard_at + interval(rate, rank + 1);
        }
        if rate.is_some() || self.heard_at.is_some() {
            self.heard_at = Some(heard_at);
        }
        self.rate = rate;
        match (known, rate) {
            (None, Some(_)) => RateChange::Begun,
            (Some(_), None) => RateChange::Lifted,
            (known, rate) if known != rate => RateChange::Adjusted,
            _ => RateChange::None,
        }
    }

    /// Merges the report that another gateway sent at `sent`.
    pub fn merge(&mut self, sent: Time, report: &RateLimitReport, rank: usize) -> RateChange {
        let heard_at = Time(sent.0.saturating_sub(report.age.0));
        let is_newer = self.heard_at.is_none_or(|known| known + MIN_REPORT_GAIN < heard_at);
        if !is_newer {
            return RateChange::None;
        }
        let change = self.record(heard_at, report.rate, rank);
        // The end of a limit may be reported before its start.
        self.heard_at = Some(heard_at);
        change
    }

    /// Returns the report for other gateways, `None` if there is nothing to tell.
    pub fn report(&self, now: Time, instance: &InstanceId) -> Option<RateLimitReport> {
        let age = now - self.heard_at?;
        let instance = instance.clone();
        (age < MAX_AGE).then_some(RateLimitReport { instance, rate: self.rate, age })
    }

    /// Returns from when on this gateway may send a request, with the interval to the next one;
    /// `None` if it has no part of the limit.
    ///
    /// `rank` is the place of this gateway among `gateways` gateways, `last_send` the time of its
    /// last request.
    pub fn next_turn(
        &self,
        now: Time,
        rank: usize,
        gateways: usize,
        last_send: Option<Time>,
    ) -> Option<(Time, Span)> {
        let Some(rate) = self.rate(now) else { return Some((now, Span(0))) };
        let sharers = sharers(rate).min(gateways);
        let interval = interval(rate, sharers);
        let paced = last_send.map_or(self.first_turn, |at| self.first_turn.max(at + interval));
        (rank < sharers).then_some((paced.max(now), interval))
    }
}

/// Returns the maximum number of gateways that share a limit.
fn sharers(rate: RequestRate) -> usize {
    MIN_SHARERS + (rate.per_second() * SHARERS_PER_RATE) as usize
}

/// Returns the time that `requests` take at a rate.
fn interval(rate: RequestRate, requests: usize) -> Span {
    Span((requests as f64 * 1e6 / rate.per_second().max(MIN_RATE)).max(1.0) as u64)
}
