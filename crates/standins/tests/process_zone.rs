//! Availability zones and endpoints that leave and return under load.

use std::time::{Duration, Instant};

use rstest::rstest;
use sequoiahold_core::vm_state::VmState;
use sequoiahold_standins::{
    deployment::Setup,
    fixture::{FEW_SECONDS, PATIENCE, assert_sound, lost, lost_questions, pass, start, start_all},
    load::{Load, Shape},
    platform::Fault,
};

#[rstest]
#[actix_rt::test]
async fn zone_goes_out_and_comes_back() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let plan = deployment.plan.clone();
    let zone = plan.first_zone();
    let load = Load::start(&deployment, Shape::default());
    pass(Duration::from_secs(1)).await;
    deployment.publish(|declared| plan.set_out(declared, &zone, true)).unwrap();
    let out = Instant::now();
    pass(FEW_SECONDS + Duration::from_secs(2)).await;
    let back = Instant::now();
    deployment.publish(|declared| plan.set_out(declared, &zone, false)).unwrap();
    pass(Duration::from_secs(3)).await;
    let records = deployment.records();
    assert_eq!(records.began_in_zone(&zone, out + FEW_SECONDS, back), 0, "no late work");
    assert!(records.began_in_zone(&zone, back, Instant::now()) > 0, "work comes back");
    let calls = load.stop().await;
    assert_sound(&deployment, &calls);
    assert_eq!(lost_questions(&calls), 0);
}

#[rstest]
#[case::prompt_list(Duration::ZERO)]
#[case::lagging_list(Duration::from_secs(2))]
#[actix_rt::test]
async fn leaving_endpoint_gets_no_new_work(#[case] lag: Duration) {
    let deployment = start_all(Setup::for_test()).await.unwrap();
    deployment.platform.state.borrow_mut().lag = lag;
    let vm = deployment.plan.model_vms().remove(0);
    let load = Load::start(&deployment, Shape::default());
    pass(Duration::from_secs(1)).await;
    deployment.list(&vm, VmState::Leaving);
    let left = Instant::now() + lag;
    pass(lag + FEW_SECONDS + Duration::from_secs(2)).await;
    let late = deployment.records().began(&vm, left + FEW_SECONDS, Instant::now());
    assert_eq!(late, 0, "no new work after a few seconds");
    let calls = load.stop().await;
    assert_sound(&deployment, &calls);
    assert_eq!(lost(&calls), 0);
}

#[rstest]
#[actix_rt::test]
async fn stopping_endpoint_gets_no_new_work_while_the_platform_is_down() {
    let mut deployment = start_all(Setup::for_test()).await.unwrap();
    let vm = deployment.plan.model_vms().remove(0);
    let load = Load::start(&deployment, Shape { tokens: 100, ..Shape::default() });
    pass(Duration::from_secs(1)).await;
    deployment.platform.set_fault(Fault::Down);
    let told = Instant::now();
    assert!(deployment.stop_one(&vm, PATIENCE).await, "the endpoint ends");
    pass(FEW_SECONDS).await;
    let late = deployment.records().began(&vm, told + FEW_SECONDS, Instant::now());
    assert_eq!(late, 0, "no new work after a few seconds");
    let calls = load.stop().await;
    assert_sound(&deployment, &calls);
    assert_eq!(lost(&calls), 0);
}
