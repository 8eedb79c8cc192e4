//! Eligibility and scoring of endpoints, and limits on queueing and retry delays.

use std::collections::BTreeSet;

use rand::Rng;

use super::{
    cells::{Assignment, Relation},
    endpoint_state::{EndpointState, InFlightLoad},
    engine_model,
    scheduler::{PlacementRequest, SchedulerConfig, ServiceSpec},
};
use crate::{ids::RegionId, time::Time, units::Span};

/// Score penalty for each step of distance to an endpoint, in ms.
const DISTANCE_PENALTY_MS: u32 = 15;
/// Score penalty for an endpoint whose primary is another gateway, in ms: the requests that the
/// primary sent most recently are not known here yet.
const SECONDARY_PENALTY_MS: u32 = 40;
/// Score penalty for an endpoint of another cell, in ms: its load is known with a longer delay.
const OUTSIDE_PENALTY_MS: u32 = 45;
/// Number of endpoints of other cells among which a request is placed. Few, picked at random for
/// each request, so that gateways which know the same old loads do not all pick the same endpoint.
const OUTSIDE_SAMPLES: usize = 12;
/// Fraction of the rate limit of a cold endpoint that is used; the rest covers requests that arrive
/// late.
const COLD_RATE_FRACTION: f64 = 0.9;
/// Shares of that rate for the rest of a primary's cell, and for all other gateways, which carry the
/// whole load of a zone whose own endpoints are gone. The primary has what they cannot use.
const COLD_RATE_SHARES: [f64; 2] = [0.2, 0.6];
/// The same shares where all gateways are in one cell.
const COLD_RATE_SHARES_ONE_CELL: [f64; 2] = [0.5, 0.0];
/// Delay that each request in progress adds to a new one, in ms.
const REQUEST_PENALTY_MS: u32 = 2;
/// Assumed duration of a request to a service that declares no engine, in ms.
const DEFAULT_REQUEST_MS: u32 = 30;
/// The estimated time to the first event may be this multiple of the time left until the objective:
/// a slightly late answer is worth more to the caller than none.
const FIRST_EVENT_TOLERANCE: f64 = 1.1;
/// Maximum prefill time at an engine, including the request's own, for a request that is already
/// late, in ms. Three prompts keep the engine busy and leave room for requests that can be on time.
const MAX_LATE_PREFILL_MS: u32 = 150;
/// Fraction of the time left until the objective that a request may be queued; the rest is for the
/// first event.
const QUEUE_FRACTION: f64 = 0.45;
/// Fraction of the time left until the deadline that an already late request may be queued.
const LATE_QUEUE_FRACTION: f64 = 0.25;
/// Minimum delay before a refused caller retries.
const MIN_RETRY_DELAY: Span = Span::millis(700);
/// Maximum delay before a refused caller retries.
const MAX_RETRY_DELAY: Span = Span::secs(2);

/// Returns whether an endpoint is of the requested service, in an allowed region, and holds the
/// requested model, if any, complete and intact at `min_version` or newer.
pub(super) fn can_serve(
    state: &EndpointState,
    request: &PlacementRequest,
    min_version: Option<u64>,
) -> bool {
    let entry = &state.endpoint.entry;
    let in_regions = |regions: &BTreeSet<RegionId>| {
        state.region.as_ref().is_some_and(|region| regions.contains(region))
    };
    let allowed = request.regions.as_ref().is_none_or(in_regions);
    let serves = match (&request.model, &entry.loaded) {
        (Some(model), Some(_)) => {
            let version = state.usable_version(model);
            version.is_some_and(|version| min_version.is_none_or(|min| version >= min))
        }
        (None, Some(_)) => !state.is_unproved(),
        (_, None) => true,
    };
    entry.service == request.service && allowed && serves
}

/// Returns the score of an endpoint, lower is better: its load plus penalties for distance and for
/// not being its primary. Ties are broken at random.
pub(super) fn score(state: &EndpointState, now: Time, rng: &mut impl Rng) -> u64 {
    let load = state.total_load(now);
    let secondary = match state.assignment.relation {
        Relation::Primary | Relation::Shared => 0,
        Relation::Cell => SECONDARY_PENALTY_MS,
        Relation::Outside => OUTSIDE_PENALTY_MS,
    };
    let work = load.prefill_ms
        + load.requests * REQUEST_PENALTY_MS
        + state.distance * DISTANCE_PENALTY_MS
        + secondary;
    (u64::from(work) << 16) | u64::from(rng.random::<u16>())
}

/// Returns the requests per second that this gateway may send to an endpoint.
///
/// All gateways together then stay within the rate of a cold endpoint, with limits below one a
/// second only on average. The limit is permanent, as a gateway may not know that an endpoint is
/// cold.
pub(super) fn max_send_rate(
    config: &SchedulerConfig,
    spec: &ServiceSpec,
    assignment: &Assignment,
    gateways: usize,
) -> f64 {
    let Some(rate) = spec.cold_rate else { return f64::MAX };
    let all = (rate * config.cold_factor + config.cold_extra) * COLD_RATE_FRACTION;
    let mates = assignment.cell_gateways.saturating_sub(1) as f64;
    let outsiders = gateways.saturating_sub(assignment.cell_gateways) as f64;
    let shares = if outsiders == 0.0 { COLD_RATE_SHARES_ONE_CELL } else { COLD_RATE_SHARES };
    let [mates_share, outsiders_share] = shares;
    let mate = whole_rate(all * mates_share / mates.max(1.0));
    let outsider = whole_rate(all * outsiders_share / outsiders.max(1.0));
    match assignment.relation {
        Relation::Shared => (all / gateways as f64).max(1.0),
        Relation::Primary => all - mate * mates - outsider * outsiders,
        Relation::Cell => mate,
        Relation::Outside => outsider,
    }
}

/// Returns the rate that a limit allows, which is a whole number of requests in one second, or one
/// request in a whole number of seconds.
fn whole_rate(limit: f64) -> f64 {
    if limit >= 1.0 { limit.floor() } else { 1.0 / (1.0 / limit).ceil() }
}

/// Returns whether a request may be placed at an endpoint, which is sampled if it is one of
/// `outside` endpoints of other cells; a rate limit below one a second selects few of them anyway.
pub(super) fn is_sampled(
    state: &EndpointState,
    send_limit: f64,
    outside: usize,
    rng: &mut impl Rng,
) -> bool {
    let outside = outside.max(1) as u32;
    state.assignment.relation != Relation::Outside
        || send_limit < 1.0
        || rng.random_ratio((OUTSIDE_SAMPLES as u32).min(outside), outside)
}

/// Returns the estimated prefill time of a prompt in ms, a fixed value where the service declares
/// no engine.
pub(super) fn prefill_ms(spec: &ServiceSpec, prompt: u32) -> u32 {
    spec.engine.as_ref().map_or(DEFAULT_REQUEST_MS, |spec| engine_model::prefill_ms(spec, prompt))
}

/// Returns the estimated time to the first event at an endpoint with this load, in ms; 0 where the
/// service declares no engine.
pub(super) fn first_event_ms(spec: &ServiceSpec, load: InFlightLoad, prefill_ms: u32) -> u32 {
    spec.engine.as_ref().map_or(0, |spec| engine_model::first_event_ms(spec, load, prefill_ms))
}

/// Returns whether the first event is expected in time or, for an already late request, whether the
/// endpoint's prefill stays within [`MAX_LATE_PREFILL_MS`].
///
/// Always true where no other prompt is in prefill, as queueing would gain nothing.
pub(super) fn meets_objective(
    now: Time,
    request: &PlacementRequest,
    load: InFlightLoad,
    prefill_ms: u32,
    first_ms: u32,
) -> bool {
    if first_ms == 0 || load.prefill_ms == 0 {
        return true;
    }
    if request.objective <= now {
        return load.prefill_ms + prefill_ms <= MAX_LATE_PREFILL_MS;
    }
    let left = (request.objective - now).0 as f64 / 1_000.0;
    f64::from(first_ms) <= left * FIRST_EVENT_TOLERANCE
}

/// Returns the time until which a request may be queued.
pub(super) fn queue_deadline(now: Time, request: &PlacementRequest) -> Time {
    if request.objective <= now {
        return now + Span(((request.deadline - now).0 as f64 * LATE_QUEUE_FRACTION) as u64);
    }
    let until = now + Span(((request.objective - now).0 as f64 * QUEUE_FRACTION) as u64);
    until.min(request.deadline)
}

/// Returns the maximum retry delay: at most a third of the time that is left to the caller.
pub(super) fn max_retry_delay(now: Time, request: &PlacementRequest) -> Span {
    Span((request.deadline - now).0 / 3).min(MAX_RETRY_DELAY)
}

/// Returns the delay before a refused caller retries; successive refusals are spread over the range
/// between the minimum and maximum delay.
pub(super) fn retry_delay(now: Time, request: &PlacementRequest, refused: u64) -> Span {
    const STEPS: u64 = 8;
    let max_delay = max_retry_delay(now, request);
    let min_delay = MIN_RETRY_DELAY.min(max_delay);
    Span(min_delay.0 + (max_delay.0 - min_delay.0) * (refused % STEPS) / STEPS)
}
