//! Engines that are used, or kept from use, by what was known of calls and processes before.

use std::time::Duration;

use sequoiahold_standins::hosted::{LoaderFleet, Step};

/// Time within which a rollout of 6 s and the loads after it must have ended.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(25);
/// Time for which an engine answers no call, longer than a chunk may have been bad.
const HANG_TIME: Duration = Duration::from_secs(4);
/// Time for which a loader stands still that wakes after the test.
const STANDSTILL: Duration = Duration::from_secs(60);
/// Time for which requests are sent.
const CALL_TIME: Duration = Duration::from_millis(500);
/// Time from a call of the loader until its answer has arrived.
const ANSWER_TIME: Duration = Duration::from_millis(6);
/// Time for which a gateway that starts has no store, longer than it waits for other processes.
const OUTAGE: Duration = Duration::from_secs(2);
/// Number of restarts of the gateway.
const RESTARTS: usize = 6;
/// Time that a slow engine takes to read a chunk.
const READ_TIME: Duration = Duration::from_millis(650);
/// Time to read a chunk with which a check of all takes almost as long as a chunk may have been bad.
const LONG_READ_TIME: Duration = Duration::from_millis(1_400);
/// Time after which an engine answers an order, with which its load is judged later than that.
const ANSWER_DELAY: Duration = Duration::from_millis(600);
/// Time after which an engine accepts an order, longer than the test waits.
const ORDER_DELAY: Duration = Duration::from_secs(60);

async fn start() -> LoaderFleet {
    let fleet = LoaderFleet::start(1).await.expect("a fleet");
    assert!(fleet.call_for(CALL_TIME).await > 0, "version 1 is not served");
    fleet
}

/// Sends requests until one runs on a version; returns whether it does in time.
async fn is_served(fleet: &LoaderFleet, version: u64) -> bool {
    let runs = || fleet.engines.iter().flat_map(|engine| engine.runs());
    let served = fleet.wait_until(ROLLOUT_TIMEOUT, || runs().any(|run| run.version == version));
    let (served, _) = futures_util::future::join(served, fleet.call_for(ROLLOUT_TIMEOUT)).await;
    served
}

// Guards against what a gateway knows before it has read the configuration, that no weights come
// from an origin, counting for a moment after it.
#[actix_rt::test]
async fn gateway_that_starts_without_the_store_uses_no_unproved_load() {
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
    // The configuration must arrive shortly after a look at the members.
    for _ in 0..RESTARTS {
        fleet.store.set_down(true);
        fleet.restart_gateway().expect("a gateway");
        fleet.call_for(OUTAGE).await;
        fleet.store.set_down(false);
        fleet.call_for(OUTAGE).await;
    }
    assert!(!fleet.engines[0].loads().iter().all(|load| load.bad.is_empty()), "no bad load");
    assert_eq!(fleet.bad_runs(), []);
}

// Guards against an engine being lost where a check of all chunks takes long.
#[actix_rt::test]
async fn engine_with_slow_reads_is_used_with_a_new_version() {
    let fleet = start().await;
    fleet.engines[0].set_read_time(READ_TIME);
    fleet.publish_version(2);
    let is_served = is_served(&fleet, 2).await;
    let versions: Vec<u64> = fleet.engines[0].loads().iter().map(|load| load.version).collect();
    assert_eq!(fleet.bad_runs(), []);
    assert!(is_served, "version 2 is not served; loaded {versions:?}");
}

// Guards against a sound load being repeated, as its loader judges it later than a chunk may have been
// bad, while calls of an earlier process never count as over.
#[actix_rt::test]
async fn load_that_is_judged_late_is_used_where_no_earlier_loader_had_its_version() {
    let fleet = start().await;
    fleet.engines[0].set_read_time(LONG_READ_TIME);
    fleet.engines[0].delay_order(ANSWER_DELAY);
    fleet.publish_version(2);
    let is_served = is_served(&fleet, 2).await;
    let versions: Vec<u64> = fleet.engines[0].loads().iter().map(|load| load.version).collect();
    let log = fleet.loaders[0].log().unwrap_or_default();
    let check_age = |line: &str| {
        let entry: serde_json::Value = serde_json::from_str(line).ok()?;
        entry["check_age_ms"].as_u64()
    };
    assert!(log.lines().filter_map(check_age).any(|age_ms| age_ms > 3_000), "not judged late");
    assert_eq!(fleet.bad_runs(), []);
    assert!(is_served, "version 2 is not served");
    assert_eq!(versions, [2], "the engine loaded again");
}

// Guards against a sound engine of a started VM being lost, as a chunk turns corrupt beside its
// first order.
#[actix_rt::test]
async fn engine_of_a_started_vm_is_used_though_a_chunk_turns_corrupt_at_its_order() {
    let fleet = start().await;
    fleet.loaders[0].kill();
    fleet.engines[0].lose_power("i-1");
    let engine = fleet.engines[0].clone();
    fleet.engines[0].on_step(Step::Order, move || engine.spoil(&[3]));
    fleet.loaders[0].start().expect("a loader");
    assert!(fleet.wait_version(0, 1, ROLLOUT_TIMEOUT).await, "version 1 is not loaded");
    assert!(fleet.engines[0].loads().iter().all(|load| load.bad.is_empty()), "a bad load");
    let answered = fleet.call_for(ROLLOUT_TIMEOUT).await;
    assert!(answered > 0, "version 1 is not served: {:?}", fleet.engines[0].loads());
}

// Guards against an engine that has lost power with an order being ordered to load what it has lost.
#[actix_rt::test]
async fn engine_that_loses_power_with_its_order_is_not_ordered_to_load_missing_chunks() {
    let fleet = start().await;
    let engine = fleet.engines[0].clone();
    engine.lose_power("i-1");
    fleet.engines[0].on_step(Step::Order, move || {
        engine.lose_power("i-2");
        engine.delay_order(ORDER_DELAY);
    });
    let has_loaded = || !fleet.engines[0].loads().is_empty();
    assert!(fleet.wait_until(ROLLOUT_TIMEOUT, has_loaded).await, "version 1 is not loaded");
    let answered = fleet.call_for(ROLLOUT_TIMEOUT).await;
    assert_eq!(fleet.bad_runs(), []);
    assert!(answered > 0, "version 1 is not served: {:?}", fleet.engines[0].loads());
}
