//! Graceful shutdown of real processes under load with long answers.

use std::time::Duration;

use rstest::rstest;
use sequoiahold_standins::{
    callers::Received,
    deployment::Setup,
    fixture::{PATIENCE, count, pass, start},
    load::{Load, Shape},
};

/// Long answers: each takes about two seconds.
const LONG: Shape =
    Shape { seed: 1, pause: Duration::from_millis(150), orders: 10, repeats: 0, tokens: 200 };

#[rstest]
#[actix_rt::test]
async fn endpoint_finishes_long_answers() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let load = Load::start(&deployment, LONG);
    pass(Duration::from_secs(2)).await;
    let vm = deployment.plan.model_vms().remove(0);
    let running = deployment.engines[&vm].state.borrow().running.len();
    assert!(running > 0, "the endpoint runs requests when it is told to stop");
    assert!(deployment.stop_one(&vm, PATIENCE).await, "the endpoint ends");
    pass(Duration::from_secs(1)).await;
    let calls = load.stop().await;
    assert_eq!(count(&calls, Received::Broken), 0, "no answer is cut");
    assert_eq!(count(&calls, Received::Unknown), 0, "no outcome is unknown");
    assert!(count(&calls, Received::Answered) > 10);
}

#[rstest]
#[actix_rt::test]
async fn entry_finishes_long_answers() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let load = Load::start(&deployment, LONG);
    pass(Duration::from_secs(2)).await;
    let vm = deployment.plan.entry_vms().remove(0);
    load.avoid(deployment.entry(&vm));
    let running = deployment.status(&vm).await.unwrap().running;
    assert!(running > 0, "the entry has requests in progress when it is told to stop");
    assert!(deployment.stop_one(&vm, PATIENCE).await, "the entry ends");
    pass(Duration::from_secs(1)).await;
    let calls = load.stop().await;
    assert_eq!(count(&calls, Received::Broken), 0, "no answer is cut");
    assert_eq!(count(&calls, Received::Unknown), 0, "no outcome is unknown");
    assert!(count(&calls, Received::Answered) > 10);
}
