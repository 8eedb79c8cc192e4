//! Weights that real loaders bring while the origin sends wrong chunk lists.

use std::time::Duration;

use rstest::rstest;
use sequoiahold_standins::hosted::{CHUNKS, ListFault, LoaderFleet};

/// Number of loaders.
const LOADERS: usize = 3;
/// Time for which the origin sends wrong chunk lists.
const FAULT_TIME: Duration = Duration::from_secs(3);
/// Time after which weights must be in use again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time for which requests are sent.
const CALL_TIME: Duration = Duration::from_millis(500);
/// Calls for chunks beyond one for each chunk, for each loader.
const EXTRA_CALLS: u32 = 60;

/// Starts a fleet and has all engines and loaders lose power while the chunk lists are wrong.
async fn lose_power(fault: ListFault) -> LoaderFleet {
    let fleet = LoaderFleet::start(LOADERS).await.expect("a fleet");
    assert!(fleet.call_for(CALL_TIME).await > 0, "version 1 is not served");
    fleet.loaders.iter().for_each(|loader| loader.kill());
    fleet.origin.set_fault(Some(fault));
    for (number, engine) in fleet.engines.iter().enumerate() {
        engine.lose_power(&format!("i-{number}-again"));
    }
    fleet.loaders.iter().for_each(|loader| loader.start().expect("a loader"));
    fleet
}

// Guards against a wrong chunk list keeping all engines from any weights for good, or having them
// load a part of the weights.
#[rstest]
#[case::wrong_digest(ListFault::WrongDigest)]
#[case::truncated(ListFault::Truncated)]
#[case::extended(ListFault::Extended)]
#[case::wrong_size(ListFault::WrongSize)]
#[actix_rt::test]
async fn weights_are_whole_again_after_wrong_chunk_lists(#[case] fault: ListFault) {
    let fleet = lose_power(fault).await;
    actix_rt::time::sleep(FAULT_TIME).await;
    fleet.origin.set_fault(None);
    let are_loaded = || fleet.engines.iter().all(|engine| engine.version() == Some(1));
    assert!(fleet.wait_until(RECOVERY_TIME, are_loaded).await, "an engine holds no weights");
    let bad = fleet.engines.iter().flat_map(|engine| engine.loads());
    assert_eq!(bad.into_iter().find(|load| !load.bad.is_empty()), None, "not all was loaded");
    assert!(fleet.call_for(CALL_TIME).await > 0, "the weights are not served");
}

// Guards against pulls without a pause of a chunk that no source can match.
#[actix_rt::test]
async fn calls_at_the_origin_are_bounded_while_chunk_lists_are_wrong() {
    let fleet = lose_power(ListFault::WrongDigest).await;
    actix_rt::time::sleep(RECOVERY_TIME / 2).await;
    let calls = fleet.origin.calls();
    let loaders = LOADERS as u32;
    assert!(calls.chunks <= loaders * (CHUNKS as u32 + EXTRA_CALLS), "{calls:?}");
    assert!(calls.lists <= loaders * EXTRA_CALLS, "{calls:?}");
}
