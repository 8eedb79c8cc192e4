//! Weights that real loaders have engines load while chunks turn bad.

use std::{rc::Rc, time::Duration};

use sequoiahold_standins::hosted::{LoaderFleet, Step, WeightEngine};

/// Time within which a rollout of 6 s and the loads after it must have ended.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(25);
/// Time for which a loader stands still, longer than a chunk may have been bad.
const FREEZE_TIME: Duration = Duration::from_secs(4);
/// Time for which a loader stands still that wakes after its engine has loaded.
const STANDSTILL: Duration = Duration::from_secs(8);
/// Time after the order at which its chunks turn bad.
const SPOIL_DELAY: Duration = Duration::from_millis(300);
/// Time for which a loader stands still unless the test resumes it.
const LONG_STANDSTILL: Duration = Duration::from_secs(600);
/// Time after which loaders used to count as gone, and some more.
const LOADER_WAIT: Duration = Duration::from_secs(24);
/// Time within which a gateway must have asked an engine that no loader reports on.
const FIRST_WAIT: Duration = Duration::from_secs(12);
/// Time for which requests are sent.
const CALL_TIME: Duration = Duration::from_millis(500);
/// Time from a call of the loader until its answer has arrived.
const ANSWER_TIME: Duration = Duration::from_millis(6);
/// Time that a slow engine takes to read a chunk; all of them one by one take longer than a chunk
/// may have been bad.
const READ_TIME: Duration = Duration::from_millis(160);
/// Time after which an engine accepts an order, longer than the loader waits for the answer.
const ORDER_DELAY: Duration = Duration::from_secs(2);

async fn start(engines: usize) -> LoaderFleet {
    let fleet = LoaderFleet::start(engines).await.expect("a fleet");
    assert!(fleet.call_for(CALL_TIME).await > 0, "version 1 is not served");
    fleet
}

/// Turns chunks bad that have just been read, in the next `times` checks.
fn spoil_while_read(engine: &WeightEngine, times: u32) {
    let spoilt = engine.clone();
    engine.on_step(Step::Read(2), move || {
        spoilt.spoil(&[0, 1]);
        if times > 1 {
            spoil_while_read(&spoilt, times - 1);
        }
    });
}

// Guards against chunks checked before the loader stood still being taken for whole afterwards.
#[actix_rt::test]
async fn loader_that_stood_still_before_its_order_checks_the_chunks_again() {
    let fleet = start(1).await;
    let (engine, loader) = (fleet.engines[0].clone(), fleet.loaders[0].clone());
    fleet.engines[0].on_step(Step::ReportAfterCheck, move || {
        engine.spoil(&[3, 11]);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(ANSWER_TIME).await;
            loader.freeze(FREEZE_TIME);
        });
    });
    fleet.publish_version(2);
    assert!(fleet.wait_version(0, 2, ROLLOUT_TIMEOUT).await, "version 2 is not loaded");
    let bad = fleet.engines[0].loads().into_iter().find(|load| !load.bad.is_empty());
    assert_eq!(bad, None, "chunks that had been bad for over 3 s were loaded");
    assert!(fleet.call_for(CALL_TIME).await > 0, "version 2 is not served");
    assert_eq!(fleet.bad_runs(), []);
}

// Guards against the age of a check being counted from its end where reads are slow.
#[actix_rt::test]
async fn chunks_that_turn_bad_within_a_slow_check_are_not_used() {
    let fleet = start(1).await;
    fleet.engines[0].set_read_time(READ_TIME);
    spoil_while_read(&fleet.engines[0], 2);
    fleet.publish_version(2);
    assert!(fleet.wait_version(0, 2, ROLLOUT_TIMEOUT).await, "version 2 is not loaded");
    assert!(fleet.call_for(CALL_TIME).await > 0, "version 2 is not served");
    assert_eq!(fleet.bad_runs(), []);
}

// Guards against an order that timed out being accepted later, from chunks that turned bad.
#[actix_rt::test]
async fn engine_that_accepts_an_order_late_is_not_used_until_its_weights_are_whole() {
    let fleet = start(1).await;
    let engine = fleet.engines[0].clone();
    fleet.engines[0].on_step(Step::Order, move || {
        engine.spoil(&[3, 11]);
        engine.hang(FREEZE_TIME);
    });
    fleet.publish_version(2);
    let is_whole = || {
        let loads = fleet.engines[0].loads();
        fleet.engines[0].version() == Some(2)
            && loads.last().is_some_and(|load| load.bad.is_empty())
    };
    let waited = fleet.wait_until(ROLLOUT_TIMEOUT, is_whole);
    let (loaded, _) = futures_util::future::join(waited, fleet.call_for(ROLLOUT_TIMEOUT / 2)).await;
    assert!(loaded, "version 2 is not loaded whole: {:?}", fleet.engines[0].loads());
    assert!(fleet.call_for(CALL_TIME).await > 0, "version 2 is not served");
    assert_eq!(fleet.bad_runs(), []);
}

// Guards against chunks of a newer version being staged while an older order is on its way.
#[actix_rt::test]
async fn order_on_its_way_does_not_load_the_chunks_of_a_newer_version() {
    let fleet = start(1).await;
    let fleet = Rc::new(fleet);
    fleet.engines[0].delay_order(ORDER_DELAY);
    let publisher = fleet.clone();
    fleet.engines[0].on_step(Step::Order, move || publisher.publish_version(3));
    fleet.publish_version(2);
    assert!(fleet.wait_version(0, 3, ROLLOUT_TIMEOUT).await, "version 3 is not loaded");
    let bad = fleet.engines[0].loads().into_iter().find(|load| !load.bad.is_empty());
    assert_eq!(bad, None, "an order loaded chunks of another version");
    assert_eq!(fleet.bad_runs(), []);
}

/// Has the engine hang with its next order while its chunks turn bad and the loader stands still.
fn hang_with_order(fleet: &LoaderFleet, standstill: Duration) {
    let (engine, loader) = (fleet.engines[0].clone(), fleet.loaders[0].clone());
    fleet.engines[0].on_step(Step::Order, move || {
        engine.hang(FREEZE_TIME);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(ANSWER_TIME).await;
            loader.freeze(standstill);
            actix_rt::time::sleep(SPOIL_DELAY).await;
            engine.spoil(&[2, 3, 5, 7, 11]);
        });
    });
}

// Guards against a hold that lapses as the loader that renews it stands still.
#[actix_rt::test]
async fn engine_whose_loader_stands_still_is_not_used_on_an_unproved_load() {
    let fleet = start(1).await;
    hang_with_order(&fleet, STANDSTILL);
    fleet.publish_version(2);
    let loaded = fleet.wait_version(0, 2, ROLLOUT_TIMEOUT);
    let (loaded, _) = futures_util::future::join(loaded, fleet.call_for(ROLLOUT_TIMEOUT)).await;
    assert!(loaded, "version 2 is not loaded");
    assert!(!fleet.engines[0].loads().iter().all(|load| load.bad.is_empty()), "no bad load");
    assert_eq!(fleet.bad_runs(), []);
    assert!(fleet.call_for(CALL_TIME).await > 0, "version 2 is not served whole in the end");
}

// Guards against a gateway that starts taking what is published for proved.
#[actix_rt::test]
async fn gateway_that_starts_does_not_use_an_unproved_load() {
    let fleet = start(2).await;
    hang_with_order(&fleet, STANDSTILL);
    fleet.publish_version(2);
    assert!(fleet.wait_version(0, 2, ROLLOUT_TIMEOUT).await, "version 2 is not loaded");
    fleet.restart_gateway().expect("a gateway");
    fleet.wait_ready().await.expect("a ready gateway");
    assert!(fleet.call_for(CALL_TIME).await > 0, "the other engine is not used");
    assert_eq!(fleet.bad_runs(), []);
}

// Guards against a proved load being forgotten with the loader that proved it.
#[actix_rt::test]
async fn engine_with_a_proved_load_is_used_without_its_loader() {
    let fleet = start(1).await;
    fleet.publish_version(2);
    assert!(fleet.wait_version(0, 2, ROLLOUT_TIMEOUT).await, "version 2 is not loaded");
    assert!(fleet.call_for(CALL_TIME).await > 0, "version 2 is not served");
    fleet.loaders[0].kill();
    assert!(fleet.call_for(FREEZE_TIME).await > 0, "version 2 is not served without the loader");
    assert!(fleet.call_for(CALL_TIME).await > 0, "version 2 is no longer served");
}

// Guards against engines that nobody reports on being lost where no loader lives.
#[actix_rt::test]
async fn gateway_that_starts_where_no_loader_lives_uses_the_first_version() {
    let fleet = start(1).await;
    fleet.loaders[0].kill();
    fleet.restart_gateway().expect("a gateway");
    fleet.wait_ready().await.expect("a ready gateway");
    assert!(fleet.call_for(FIRST_WAIT).await > 0, "version 1 is not served");
    assert!(fleet.call_for(CALL_TIME).await > 0, "version 1 is no longer served");
}

// Guards against the silence of loaders being taken for the proof of a version that was ordered.
#[actix_rt::test]
async fn gateway_that_starts_where_no_loader_lives_uses_an_ordered_version_once_it_is_proved() {
    let fleet = start(1).await;
    fleet.publish_version(2);
    assert!(fleet.wait_version(0, 2, ROLLOUT_TIMEOUT).await, "version 2 is not loaded");
    fleet.loaders[0].kill();
    fleet.restart_gateway().expect("a gateway");
    fleet.wait_ready().await.expect("a ready gateway");
    assert_eq!(fleet.call_for(LOADER_WAIT).await, 0, "a load that nobody has proved is used");
    fleet.loaders[0].start().expect("a loader");
    assert!(fleet.call_for(FREEZE_TIME).await > 0, "version 2 is not served");
    assert_eq!(fleet.engines[0].loads().len(), 1, "the engine loaded again");
}

// Guards against a long standstill of the only loader being taken for its absence, and that for the
// proof of a load.
#[actix_rt::test]
async fn gateway_that_starts_during_a_long_standstill_uses_no_unproved_load() {
    let fleet = start(1).await;
    hang_with_order(&fleet, LONG_STANDSTILL);
    fleet.publish_version(2);
    assert!(fleet.wait_version(0, 2, ROLLOUT_TIMEOUT).await, "version 2 is not loaded");
    fleet.restart_gateway().expect("a gateway");
    fleet.wait_ready().await.expect("a ready gateway");
    assert_eq!(fleet.call_for(LOADER_WAIT).await, 0, "a load that nobody has proved is used");
    assert!(!fleet.engines[0].loads().iter().all(|load| load.bad.is_empty()), "no bad load");
    fleet.loaders[0].resume();
    assert!(fleet.call_for(ROLLOUT_TIMEOUT).await > 0, "version 2 is not served whole in the end");
    assert_eq!(fleet.bad_runs(), []);
}

// Guards against a restarted loader keeping a sound engine from use.
#[actix_rt::test]
async fn sound_engine_is_used_after_the_restart_of_its_loader_and_the_gateway() {
    let fleet = start(1).await;
    fleet.publish_version(2);
    assert!(fleet.wait_version(0, 2, ROLLOUT_TIMEOUT).await, "version 2 is not loaded");
    fleet.loaders[0].start().expect("a loader");
    fleet.restart_gateway().expect("a gateway");
    fleet.wait_ready().await.expect("a ready gateway");
    assert!(fleet.call_for(FREEZE_TIME).await > 0, "version 2 is not served");
    assert_eq!(fleet.engines[0].loads().len(), 1, "the engine loaded again");
}

// Guards against a started loader taking a version for intact that an earlier process ordered.
#[actix_rt::test]
async fn order_of_a_loader_that_was_killed_is_not_trusted_after_its_restart() {
    let fleet = start(1).await;
    let (engine, loader) = (fleet.engines[0].clone(), fleet.loaders[0].clone());
    fleet.engines[0].on_step(Step::Order, move || {
        engine.spoil(&[3, 11]);
        engine.hang(FREEZE_TIME);
        loader.start().expect("a loader");
    });
    fleet.publish_version(2);
    assert!(fleet.wait_version(0, 2, ROLLOUT_TIMEOUT).await, "version 2 is not loaded");
    fleet.call_for(CALL_TIME).await;
    assert_eq!(fleet.bad_runs(), []);
}
