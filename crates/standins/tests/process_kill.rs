//! Processes that are killed under load.

use std::time::{Duration, Instant};

use rstest::rstest;
use sequoiahold_standins::{
    callers::Received,
    deployment::Setup,
    fixture::{PATIENCE, assert_sound, count, lost, lost_questions, pass, start},
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
    let lost = lost(&calls);
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
    let killed = Instant::now();
    pass(Duration::from_secs(2)).await;
    let calls = load.stop().await;
    assert_sound(&deployment, &calls);
    let left: usize = deployment.engines.values().map(|e| e.state.borrow().running.len()).sum();
    assert_eq!(left, 0, "the engines run nothing for callers that have gone");
    let after: Vec<_> = calls.iter().filter(|call| call.at > killed).cloned().collect();
    assert!(count(&after, Received::Answered) > 0, "the other entry goes on");
    assert_eq!(lost_questions(&after), 0, "no question is lost once the entry is avoided");
}
