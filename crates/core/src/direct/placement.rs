//! What a request needs of an endpoint, how good an endpoint is for it, and how long it may wait.

use std::collections::BTreeSet;

use rand::Rng;

use super::{
    endpoint_state::{EndpointState, InFlightLoad},
    engine_model,
    scheduler::{PlacementRequest, ServiceSpec},
};
use crate::{ids::RegionId, time::Time, units::Span};

/// Time by which a farther endpoint must be sooner, for each step of distance, in ms.
const DISTANCE_PENALTY_MS: u32 = 15;
/// Time by which an endpoint must be sooner that another gateway sends to first, in ms: what that
/// one has sent of late is not known here yet.
const SECONDARY_PENALTY_MS: u32 = 40;
/// Time by which each request in progress puts a new one off, in ms.
const REQUEST_PENALTY_MS: u32 = 2;
/// Time that a request to a plain service takes, in ms, where the service tells no figures.
const DEFAULT_REQUEST_MS: u32 = 30;
/// Part of the time left to the objective that the first event may take by the engine's figures; a
/// tenth over, as an answer that is a little late is worth more to its caller than none.
const FIRST_EVENT_TOLERANCE: f64 = 1.1;
/// Time that an engine may read before the first event of a request that is late anyway, in ms:
/// three prompts, so that the engine never idles and those that can be on time find room.
const MAX_LATE_PREFILL_MS: u32 = 150;
/// Part of the objective that a request may wait for a place; the rest is for the first event.
const QUEUE_FRACTION: f64 = 0.45;
/// Part of the time left that a request which is late anyway may wait.
const LATE_QUEUE_FRACTION: f64 = 0.25;
/// Shortest time after which a refused caller may come back.
const MIN_RETRY_DELAY: Span = Span::millis(700);
/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_DELAY: Span = Span::secs(2);

/// Returns whether an endpoint may serve a request, with weights that are not too old.
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
            let version = state.endpoint.loaded_model(model).map(|loaded| loaded.version);
            version.is_some_and(|version| min_version.is_none_or(|min| version >= min))
        }
        _ => true,
    };
    entry.service == request.service && allowed && serves
}

/// Returns the load of an endpoint, with a disadvantage for its distance; ties are broken at random.
pub(super) fn score(state: &EndpointState, now: Time, rng: &mut impl Rng) -> u64 {
    let load = state.total_load(now);
    let secondary = if state.primary { 0 } else { SECONDARY_PENALTY_MS };
    let work = load.prefill_ms
        + load.requests * REQUEST_PENALTY_MS
        + state.distance * DISTANCE_PENALTY_MS
        + secondary;
    (u64::from(work) << 16) | u64::from(rng.random::<u16>())
}

/// Returns the time that an endpoint takes to read a prompt, in ms.
pub(super) fn prefill_ms(spec: &ServiceSpec, prompt: u32) -> u32 {
    spec.engine.as_ref().map_or(DEFAULT_REQUEST_MS, |spec| engine_model::prefill_ms(spec, prompt))
}

/// Returns the time to the first event at an endpoint with this load, in ms; 0 where the service
/// tells no figures.
pub(super) fn first_event_ms(spec: &ServiceSpec, load: InFlightLoad, prefill_ms: u32) -> u32 {
    spec.engine.as_ref().map_or(0, |spec| engine_model::first_event_ms(spec, load, prefill_ms))
}

/// Returns whether the first event comes in time, or as soon as it can: where no other prompt is
/// read, waiting gains nothing.
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

/// Returns until when a request may wait for a place.
pub(super) fn queue_deadline(now: Time, request: &PlacementRequest) -> Time {
    if request.objective <= now {
        return now + Span(((request.deadline - now).0 as f64 * LATE_QUEUE_FRACTION) as u64);
    }
    let until = now + Span(((request.objective - now).0 as f64 * QUEUE_FRACTION) as u64);
    until.min(request.deadline)
}

/// Returns the longest time that a refused caller waits: callers give up a third of what is left.
pub(super) fn max_retry_delay(now: Time, request: &PlacementRequest) -> Span {
    Span((request.deadline - now).0 / 3).min(MAX_RETRY_DELAY)
}

/// Returns when a refused caller may come back; callers are spread over the allowed time.
pub(super) fn retry_delay(now: Time, request: &PlacementRequest, refused: u64) -> Span {
    const STEPS: u64 = 8;
    let max_delay = max_retry_delay(now, request);
    let min_delay = MIN_RETRY_DELAY.min(max_delay);
    Span(min_delay.0 + (max_delay.0 - min_delay.0) * (refused % STEPS) / STEPS)
}
