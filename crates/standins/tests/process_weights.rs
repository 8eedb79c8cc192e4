//! Weights that arrive corrupted, stall or change while real processes draw them.

use std::time::Duration;

use rstest::rstest;
use sequoiahold_standins::{
    callers::Received,
    deployment::Setup,
    engine::Behaviour,
    fixture::{PATIENCE, assert_sound, count, pass, start},
    load::{Load, Shape},
};

#[rstest]
#[actix_rt::test]
async fn corrupted_chunks_reach_no_engine() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let plan = deployment.plan.clone();
    let load = Load::start(&deployment, Shape::default());
    deployment.origin.state.borrow_mut().corrupt = 300;
    for vm in plan.model_vms() {
        deployment.kill(&vm).await;
        deployment.start_process(&vm).unwrap();
    }
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    deployment.wait_ready(&plan.version(2), PATIENCE).await.unwrap();
    deployment.wait_open(PATIENCE).await.unwrap();
    pass(Duration::from_secs(1)).await;
    assert!(deployment.origin.state.borrow().spoiled > 0, "the origin gave corrupted chunks");
    let calls = load.stop().await;
    assert_sound(&deployment, &calls);
    assert!(count(&calls, Received::Answered) > 0);
}

#[rstest]
#[actix_rt::test]
async fn version_changes_while_a_transfer_is_under_way() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let plan = deployment.plan.clone();
    let load = Load::start(&deployment, Shape::default());
    deployment.origin.state.borrow_mut().stalled = true;
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    pass(Duration::from_secs(1)).await;
    deployment.publish(|declared| plan.set_version(declared, 1)).unwrap();
    deployment.wait_in_force(PATIENCE).await.unwrap();
    deployment.origin.state.borrow_mut().stalled = false;
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    pass(Duration::from_millis(300)).await;
    deployment.publish(|declared| plan.set_version(declared, 1)).unwrap();
    deployment.wait_in_force(PATIENCE).await.unwrap();
    pass(Duration::from_secs(3)).await;
    deployment.wait_ready(&plan.version(1), PATIENCE).await.unwrap();
    let calls = load.stop().await;
    assert_sound(&deployment, &calls);
}

#[rstest]
#[case::engines_that_fence(true)]
#[case::engines_that_ignore_fencing(false)]
#[actix_rt::test]
async fn endpoint_is_killed_while_it_loads(#[case] fences: bool) {
    let behaviour = Behaviour { checks_fence: fences, ..Behaviour::default() };
    let mut deployment = start(Setup { behaviour, ..Setup::for_test() }).await.unwrap();
    let plan = deployment.plan.clone();
    let load = Load::start(&deployment, Shape::default());
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    for vm in plan.model_vms() {
        pass(Duration::from_millis(200)).await;
        deployment.kill(&vm).await;
        deployment.start_process(&vm).unwrap();
    }
    deployment.wait_ready(&plan.version(2), PATIENCE).await.unwrap();
    deployment.wait_open(PATIENCE).await.unwrap();
    pass(Duration::from_secs(1)).await;
    let calls = load.stop().await;
    assert_sound(&deployment, &calls);
    assert!(count(&calls, Received::Answered) > 0);
}
