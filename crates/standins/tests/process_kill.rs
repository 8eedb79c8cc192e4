//! Processes that are killed under load.

use std::time::{Duration, Instant};

use rstest::rstest;
use sequoiahold_standins::{
    callers::Outcome,
    deployment::Setup,
    fixture::{WAIT_TIMEOUT, assert_consistent, count, count_lost, count_lost_chats, sleep, start},
    load::{Load, LoadSpec},
};

#[rstest]
#[actix_rt::test]
async fn endpoint_is_killed_and_comes_back() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let load = Load::start(&deployment, LoadSpec::default());
    sleep(Duration::from_secs(2)).await;
    let vm = deployment.plan.model_vms().remove(0);
    let running = deployment.engines[&vm].state.borrow().running.len();
    deployment.kill_process(&vm).await;
    sleep(Duration::from_secs(2)).await;
    deployment.start_process(&vm).unwrap();
    deployment.wait_open(WAIT_TIMEOUT).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
    let lost = count_lost(&calls);
    assert!(lost <= running + 40, "{lost} answers lost with {running} in progress at the kill");
    assert!(count(&calls, Outcome::Answered) > calls.len() / 2);
}

#[rstest]
#[actix_rt::test]
async fn entry_is_killed() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let load = Load::start(&deployment, LoadSpec::default());
    sleep(Duration::from_secs(2)).await;
    let vm = deployment.plan.entry_vms().remove(0);
    deployment.kill_process(&vm).await;
    load.remove_entry(deployment.entry(&vm));
    let killed = Instant::now();
    sleep(Duration::from_secs(2)).await;
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
    let left: usize = deployment.engines.values().map(|e| e.state.borrow().running.len()).sum();
    assert_eq!(left, 0, "engines still run requests of disconnected callers");
    let after: Vec<_> = calls.iter().filter(|call| call.at > killed).cloned().collect();
    assert!(count(&after, Outcome::Answered) > 0, "the other entry answered no request");
    assert_eq!(count_lost_chats(&after), 0, "chat requests were lost after the entry was removed");
}
