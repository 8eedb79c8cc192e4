//! Loads that nobody has proved and that gateways or a started loader take for proved.

use std::time::Duration;

use sequoiahold_standins::hosted::{LoaderFleet, Step};

/// Time within which a rollout of 6 s and the loads after it must have ended.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(25);
/// Time for which an engine answers no call, longer than a chunk may have been bad.
const HANG_TIME: Duration = Duration::from_secs(4);
/// Time for which a loader stands still that wakes after its engine has loaded.
const STANDSTILL: Duration = Duration::from_secs(12);
/// Time for which requests are sent.
const CALL_TIME: Duration = Duration::from_millis(500);
/// Time from a call of the loader until its answer has arrived.
const ANSWER_TIME: Duration = Duration::from_millis(6);
/// Time for which requests are sent after the restart of a process.
const RESTART_TIME: Duration = Duration::from_secs(5);

async fn start() -> LoaderFleet {
    let fleet = LoaderFleet::start(1).await.expect("a fleet");
    assert!(fleet.call_for(CALL_TIME).await > 0, "version 1 is not served");
    fleet
}

// Guards against a gateway that starts taking a zone whose only loader stands still for one that
// has none.
#[actix_rt::test]
async fn gateway_that_starts_while_the_only_loader_stands_still_uses_no_unproved_load() {
    let fleet = start().await;
    let (engine, loader) = (fleet.engines[0].clone(), fleet.loaders[0].clone());
    fleet.engines[0].on_step(Step::Order, move || {
        engine.spoil(&[2, 3, 5, 7, 11]);
        engine.hang(HANG_TIME);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(ANSWER_TIME).await;
            loader.freeze(STANDSTILL);
        });
    });
    fleet.publish_version(2);
    assert!(fleet.wait_version(0, 2, ROLLOUT_TIMEOUT).await, "version 2 is not loaded");
    fleet.restart_gateway().expect("a gateway");
    fleet.call_for(RESTART_TIME).await;
    assert!(!fleet.engines[0].loads().iter().all(|load| load.bad.is_empty()), "no bad load");
    assert_eq!(fleet.bad_runs(), []);
}

// Guards against chunks that an earlier process has staged again since a load being taken for those
// that were loaded.
#[actix_rt::test]
async fn load_is_not_proved_by_chunks_that_a_killed_loader_has_staged_again() {
    let fleet = start().await;
    let engine = fleet.engines[0].clone();
    fleet.engines[0].on_step(Step::Order, move || {
        engine.spoil(&[3, 11]);
        engine.hang(HANG_TIME);
    });
    fleet.publish_version(2);
    let log = || fleet.loaders[0].log().unwrap_or_default();
    let has_bad_load = || fleet.engines[0].loads().iter().any(|load| !load.bad.is_empty());
    let is_staged_again = || has_bad_load() && log().contains("chunks staged anew");
    assert!(fleet.wait_until(ROLLOUT_TIMEOUT, is_staged_again).await, "no chunk is staged again");
    fleet.loaders[0].start().expect("a loader");
    assert!(fleet.wait_version(0, 2, ROLLOUT_TIMEOUT).await, "version 2 is not loaded");
    fleet.call_for(RESTART_TIME).await;
    assert_eq!(fleet.bad_runs(), []);
}

// Guards against a sound engine being lost for good after a restart of all processes, as a staged
// chunk has turned bad long after the load and there is no earlier version to load in between.
#[actix_rt::test]
#[ignore = "known red: a first version whose load cannot be proved any more is never loaded again"]
async fn engine_with_the_first_version_is_used_after_a_restart_of_all_processes() {
    let fleet = start().await;
    fleet.engines[0].lose_power("i-1");
    assert!(fleet.wait_version(0, 1, ROLLOUT_TIMEOUT).await, "version 1 is not loaded");
    assert!(fleet.call_for(RESTART_TIME).await > 0, "version 1 is not served");
    fleet.engines[0].spoil(&[3]);
    fleet.loaders[0].start().expect("a loader");
    fleet.restart_gateway().expect("a gateway");
    fleet.wait_ready().await.expect("a ready gateway");
    let answered = fleet.call_for(ROLLOUT_TIMEOUT).await;
    assert_eq!(fleet.bad_runs(), []);
    let log = fleet.loaders[0].log().unwrap_or_default();
    assert!(answered > 0, "the engine is lost: {}", log.lines().last().unwrap_or_default());
}
