//! Processes that are killed under load.

use std::time::Duration;

use rstest::rstest;
use sequoiahold_standins::{
    callers::Received,
    deployment::Setup,
    fixture::{PATIENCE, assert_sound, count, pass, start},
    load::{Load, Shape},
};

#[rstest]
#[actix_rt::test]
async fn endpoint_is_killed_and_comes_back() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let load = Load::start(&deployment, Shape::default());
    pass(Duration::from_secs(2)).await;
    let vm = deployment.plan.model_vms().remove(0);
    let running = deployment.engines[&vm].state.borrow().running.len();
    deployment.kill(&vm).await;
    pass(Duration::from_secs(2)).await;
    deployment.start_process(&vm).unwrap();
    deployment.wait_open(PATIENCE).await.unwrap();
    pass(Duration::from_secs(1)).await;
    let calls = load.stop().await;
    assert_sound(&deployment, &calls);
    let lost = count(&calls, Received::Broken) + count(&calls, Received::Unknown);
    assert!(lost <= running + 40, "{lost} answers lost with {running} in progress at the kill");
    assert!(count(&calls, Received::Answered) > calls.len() / 2);
}

#[rstest]
#[actix_rt::test]
async fn entry_is_killed() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let load = Load::start(&deployment, Shape::default());
    pass(Duration::from_secs(2)).await;
    let vm = deployment.plan.entry_vms().remove(0);
    deployment.kill(&vm).await;
    load.avoid(deployment.entry(&vm));
    pass(Duration::from_secs(2)).await;
    let calls = load.stop().await;
    assert_sound(&deployment, &calls);
    let left: usize = deployment.engines.values().map(|e| e.state.borrow().running.len()).sum();
    assert_eq!(left, 0, "the engines run nothing for callers that have gone");
    assert!(count(&calls, Received::Answered) > calls.len() / 2);
}
