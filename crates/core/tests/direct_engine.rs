//! The model of a model engine: how its batch and its queue of prompts put a first event off.

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
    }
}

#[test]
fn reading_takes_the_tokens_and_their_pairs() {
    assert_eq!(prefill_ms(&spec(), 1_000), 51);
    assert_eq!(prefill_ms(&spec(), 4_000), 208);
}

/// With ten that write, a pass takes 52.6 ms of steps and up to 100 ms of reading; the way takes 15 ms.
#[rstest]
#[case::idle(0, 0, 50, 75)]
#[case::writing(10, 0, 50, 142)]
#[case::one_prompt_ahead(10, 50, 50, 217)]
#[case::three_chunks_ahead(10, 300, 100, 701)]
fn the_first_event_waits_for_the_batch_and_the_prompts_ahead(
    #[case] count: u32,
    #[case] ahead: u32,
    #[case] own: u32,
    #[case] expected: u32,
) {
    let load = InFlightLoad { requests: count, prefill_ms: ahead };
    let found = first_event_ms(&spec(), load, own);
    assert!(found.abs_diff(expected) <= 2, "{found} ms, by hand {expected}");
}

#[test]
fn each_request_more_puts_the_first_event_off() {
    let at = |count| first_event_ms(&spec(), InFlightLoad { requests: count, prefill_ms: 100 }, 50);
    assert!((1..16).all(|count| at(count) <= at(count + 1)));
}
