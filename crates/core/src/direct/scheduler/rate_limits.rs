//! Placement within the rate limits that endpoints advertise.

use super::{EndpointKey, PlacementRequest, Scheduler};
use crate::{
    direct::{
        cells::Cells,
        endpoint_state::EndpointState,
        placement::{can_serve, max_retry_delay, retry_delay},
        rate_limit::{RateChange, RateLimitReport},
    },
    ids::InstanceId,
    refusal::{Reason, Refusal},
    time::Time,
    units::{RequestRate, Span},
};

/// What the endpoints that may serve a request allow.
pub(super) enum Outlook {
    /// No endpoint may serve it, now or once its load has dropped.
    NoEndpoint,
    /// All that may serve it pause or load, the first until the given time.
    Unavailable(Time),
    /// Endpoints without a rate limit may serve it.
    Unlimited,
    /// All that may serve it have a rate limit.
    Limited(Allowance),
}

/// What rate limits allow one gateway.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Allowance {
    /// The number of requests in the given time.
    pub(super) requests: usize,
    /// The time until the first, `None` if this gateway has no part of any limit.
    first: Option<Span>,
    /// The requests per second.
    rate: f64,
}

impl Scheduler {
    /// Records the rate limit that an answer of an endpoint advertised, `None` if it advertised none.
    pub fn record_rate_limit(
        &mut self,
        now: Time,
        instance: &InstanceId,
        rate: Option<RequestRate>,
    ) -> RateChange {
        let Some(key) = self.by_instance.get(instance) else { return RateChange::None };
        let state = &mut self.endpoints[*key];
        rank_new_limit(&self.cells, now, state, rate);
        state.rate_limit.record(now, rate, state.limit_rank)
    }

    /// Merges the reports of another gateway and returns the endpoints with another limit than
    /// known, `None` where it is lifted.
    pub fn merge_rate_limits(
        &mut self,
        now: Time,
        reports: Vec<RateLimitReport>,
    ) -> Vec<(InstanceId, Option<RequestRate>)> {
        let changed = |report: &RateLimitReport| {
            let Some(key) = self.by_instance.get(&report.instance) else { return false };
            let state = &mut self.endpoints[*key];
            rank_new_limit(&self.cells, now, state, report.rate);
            state.rate_limit.merge(now, report, state.limit_rank) != RateChange::None
        };
        reports.into_iter().filter(changed).map(|report| (report.instance, report.rate)).collect()
    }

    /// Returns what is known of rate limits, for other gateways.
    pub fn rate_limit_reports(&self, now: Time) -> Vec<RateLimitReport> {
        let report =
            |state: &EndpointState| state.rate_limit.report(now, &state.endpoint.entry.instance);
        self.endpoints.values().filter_map(report).collect()
    }

    /// Returns the number of endpoints that advertise a rate limit.
    pub fn rate_limited_endpoints(&self, now: Time) -> usize {
        self.endpoints.values().filter(|state| state.rate_limit.rate(now).is_some()).count()
    }

    /// Sets the gateways that share the rate limits.
    pub(super) fn set_cells(&mut self, cells: &Cells) {
        if self.cells == *cells {
            return;
        }
        self.cells = cells.clone();
        let limited = |state: &&mut EndpointState| state.rate_limit != Default::default();
        for state in self.endpoints.values_mut().filter(limited) {
            state.limit_rank = cells.rank(&state.endpoint.entry.instance);
        }
    }

    /// Returns the refusal of a request that the rate limits of its endpoints leave no room for.
    ///
    /// Refused callers are told to return one after the other, as this gateway may send again.
    pub(super) fn limit_refusal(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        allowance: Allowance,
    ) -> Refusal {
        let ahead = self.queued_ahead(request, true) as u64;
        let queue = self.queues.entry(request.service.clone()).or_default();
        queue.refused += 1;
        let max_delay = max_retry_delay(now, request);
        let delay = match allowance.first {
            Some(first) => {
                let interval = Span((1e6 / allowance.rate) as u64);
                // The queued requests take the first turns.
                let first = now + first + Span(interval.0 * ahead);
                let turn = first.max(queue.last_return + interval);
                // Later turns are out of reach, so the next callers start over.
                let turn = if turn - now <= max_delay { turn } else { first };
                queue.last_return = turn;
                turn - now
            }
            None => retry_delay(now, request, queue.refused),
        };
        Refusal::retry_after(Reason::Overload, delay.min(max_delay))
    }

    /// Returns what the endpoints that may serve a request allow until a given time.
    pub(super) fn outlook(&self, now: Time, request: &PlacementRequest, until: Time) -> Outlook {
        let min_version = self.min_version(now, request);
        let eligible = |(key, state): &(EndpointKey, &EndpointState)| {
            can_serve(state, request, min_version)
                && !state.is_leaving(now)
                && !request.tried.contains(key)
        };
        let mut states = self.endpoints.iter().filter(eligible).map(|(_, state)| state).peekable();
        if states.peek().is_none() {
            return Outlook::NoEndpoint;
        }
        let mut allowance = Allowance::default();
        let (mut first_end, mut is_open) = (None, false);
        for state in states {
            let end = state.known_end();
            if end > until {
                first_end = Some(first_end.map_or(end, |first: Time| first.min(end)));
                continue;
            }
            is_open = true;
            if state.rate_limit.rate(now).is_none() {
                return Outlook::Unlimited;
            }
            let Some((turn, interval)) = state.next_turn(now, self.gateways) else { continue };
            let turn = turn.max(end);
            let first = allowance.first.unwrap_or(turn - now);
            allowance.first = Some(first.min(turn - now));
            allowance.rate += 1.0 / interval.as_secs_f64();
            if turn <= until {
                allowance.requests += 1 + ((until - turn).0 / interval.0) as usize;
            }
        }
        match first_end {
            Some(end) if !is_open => Outlook::Unavailable(end),
            _ => Outlook::Limited(allowance),
        }
    }
}

/// Determines the place of this gateway among those that share a limit if none was in force before;
/// [`Scheduler::set_cells`] keeps it current from then on.
fn rank_new_limit(cells: &Cells, now: Time, state: &mut EndpointState, rate: Option<RequestRate>) {
    if rate.is_some() && state.rate_limit.rate(now).is_none() {
        state.limit_rank = cells.rank(&state.endpoint.entry.instance);
    }
}
