//! Weight transfers with corrupted chunks, stalls and changes of version, with real processes.

use std::time::Duration;

use rstest::rstest;
use sequoiahold_standins::{
    callers::Outcome,
    deployment::Setup,
    engine::Behaviour,
    fixture::{WAIT_TIMEOUT, assert_consistent, count, sleep, start},
    load::{Load, LoadSpec},
};

#[rstest]
#[actix_rt::test]
async fn corrupted_chunks_reach_no_engine() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let plan = deployment.plan.clone();
    let load = Load::start(&deployment, LoadSpec::default());
    deployment.origin.state.borrow_mut().corrupt_permille = 300;
    for vm in plan.model_vms() {
        deployment.kill_process(&vm).await;
        deployment.start_process(&vm).unwrap();
    }
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    deployment.wait_ready(&plan.version(2), WAIT_TIMEOUT).await.unwrap();
    deployment.wait_open(WAIT_TIMEOUT).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    assert!(deployment.origin.state.borrow().corrupted > 0, "the origin sent no corrupted chunk");
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
    assert!(count(&calls, Outcome::Answered) > 0);
}

#[rstest]
#[actix_rt::test]
async fn version_changed_during_a_transfer_is_loaded_completely() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let plan = deployment.plan.clone();
    let load = Load::start(&deployment, LoadSpec::default());
    deployment.origin.state.borrow_mut().stalled = true;
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    sleep(Duration::from_secs(1)).await;
    deployment.publish(|declared| plan.set_version(declared, 1)).unwrap();
    deployment.wait_in_force(WAIT_TIMEOUT).await.unwrap();
    deployment.origin.state.borrow_mut().stalled = false;
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    sleep(Duration::from_millis(300)).await;
    deployment.publish(|declared| plan.set_version(declared, 1)).unwrap();
    deployment.wait_in_force(WAIT_TIMEOUT).await.unwrap();
    sleep(Duration::from_secs(3)).await;
    deployment.wait_ready(&plan.version(1), WAIT_TIMEOUT).await.unwrap();
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
}

#[rstest]
#[case::engines_that_fence(true)]
#[case::engines_that_ignore_fencing(false)]
#[actix_rt::test]
async fn endpoint_killed_while_loading_loads_again(#[case] fences: bool) {
    let behaviour = Behaviour { checks_fence: fences, ..Behaviour::default() };
    let mut deployment = start(Setup { behaviour, ..Setup::for_test() }).await.unwrap();
    let plan = deployment.plan.clone();
    let load = Load::start(&deployment, LoadSpec::default());
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    for vm in plan.model_vms() {
        sleep(Duration::from_millis(200)).await;
        deployment.kill_process(&vm).await;
        deployment.start_process(&vm).unwrap();
    }
    deployment.wait_ready(&plan.version(2), WAIT_TIMEOUT).await.unwrap();
    deployment.wait_open(WAIT_TIMEOUT).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
    assert!(count(&calls, Outcome::Answered) > 0);
}
