//! Latency model of a model engine: how its batch and its queued prompts delay the first event.

use rstest::rstest;
use sequoiahold_core::{
    direct::{
        catalog::EngineSpec,
        endpoint_state::InFlightLoad,
        engine_model::{first_event_ms, prefill_ms},
    },
    units::Span,
};

fn spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        step_ms: 10.0,
        request_ms: 0.02,
        context_ms: 0.03,
        prefill_rate: 20_000.0,
        pairs_ms: 1.0,
        chunk_tokens: 2_000,
        pass_steps: 5,
        cache_tokens: 300_000,
        mean_prompt: 1_000,
        mean_answer: 100,
        models: vec![],
        load_time: Span::millis(300),
        weights: None,
    }
}

#[test]
fn prefill_time_has_linear_and_quadratic_parts() {
    assert_eq!(prefill_ms(&spec(), 1_000), 51);
    assert_eq!(prefill_ms(&spec(), 4_000), 208);
}

/// With ten requests that decode, a pass takes 52.6 ms of decode steps and up to 100 ms of
/// prefill; the network adds 15 ms.
#[rstest]
#[case::idle(0, 0, 50, 75)]
#[case::generating(10, 0, 50, 142)]
#[case::one_prompt_ahead(10, 50, 50, 217)]
#[case::three_chunks_ahead(10, 300, 100, 701)]
fn first_event_is_delayed_by_batch_and_queued_prompts(
    #[case] count: u32,
    #[case] queued: u32,
    #[case] own: u32,
    #[case] expected: u32,
) {
    let load = InFlightLoad { requests: count, prefill_ms: queued };
    let found = first_event_ms(&spec(), load, own);
    assert!(found.abs_diff(expected) <= 2, "{found} ms instead of {expected} ms");
}

#[test]
fn each_further_request_delays_the_first_event() {
    let at = |count| first_event_ms(&spec(), InFlightLoad { requests: count, prefill_ms: 100 }, 50);
    assert!((1..16).all(|count| at(count) <= at(count + 1)));
}
