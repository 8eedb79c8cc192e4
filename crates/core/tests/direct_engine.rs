//! Latency model of a model engine: how its batch and its queued prompts delay the first event.

use rstest::rstest;
use sequoiahold_core::{
    direct::{
        catalog::EngineSpec,
        engine::{first_event, reading},
        seat::SeatLoad,
    },
    units::Span,
};

fn spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        step: 10.0,
        per_request: 0.02,
        per_context: 0.03,
        read_rate: 20_000.0,
        per_pairs: 1.0,
        chunk: 2_000,
        stride: 5,
        memory: 300_000,
        usual_prompt: 1_000,
        usual_answer: 100,
        models: vec![],
        load: Span::millis(300),
    }
}

#[test]
fn prompt_time_has_linear_and_quadratic_parts() {
    assert_eq!(reading(&spec(), 1_000), 51);
    assert_eq!(reading(&spec(), 4_000), 208);
}

/// With ten requests that generate, a pass takes 52.6 ms of token steps and up to 100 ms of prompt
/// reading; the network adds 15 ms.
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
    let load = SeatLoad { count, reading: queued };
    let found = first_event(&spec(), load, own);
    assert!(found.abs_diff(expected) <= 2, "{found} ms instead of {expected} ms");
}

#[test]
fn each_further_request_delays_the_first_event() {
    let at = |count| first_event(&spec(), SeatLoad { count, reading: 100 }, 50);
    assert!((1..16).all(|count| at(count) <= at(count + 1)));
}
