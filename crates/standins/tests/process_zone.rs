//! Availability zones and endpoints that leave and return under load.

use std::time::{Duration, Instant};

use rstest::rstest;
use sequoiahold_core::vm_state::VmState;
use sequoiahold_standins::{
    deployment::Setup,
    fixture::{
        SETTLE_TIME, WAIT_TIMEOUT, assert_consistent, count_lost, count_lost_chats, sleep, start,
        start_with_orders,
    },
    load::{Load, LoadSpec},
    platform::Fault,
};

#[rstest]
#[actix_rt::test]
async fn zone_gets_no_work_while_out_and_work_again_when_back() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let plan = deployment.plan.clone();
    let zone = plan.first_zone();
    let load = Load::start(&deployment, LoadSpec::default());
    sleep(Duration::from_secs(1)).await;
    deployment.publish(|declared| plan.set_zone_out(declared, &zone, true)).unwrap();
    let out = Instant::now();
    sleep(SETTLE_TIME + Duration::from_secs(2)).await;
    let back = Instant::now();
    deployment.publish(|declared| plan.set_zone_out(declared, &zone, false)).unwrap();
    sleep(Duration::from_secs(3)).await;
    let records = deployment.records();
    assert_eq!(
        records.count_started_in_zone(&zone, out + SETTLE_TIME, back),
        0,
        "requests started in a zone that is out"
    );
    assert!(
        records.count_started_in_zone(&zone, back, Instant::now()) > 0,
        "no request started after the zone came back"
    );
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
    assert_eq!(count_lost_chats(&calls), 0);
}

#[rstest]
#[case::prompt_list(Duration::ZERO)]
#[case::lagging_list(Duration::from_secs(2))]
#[actix_rt::test]
async fn leaving_endpoint_gets_no_new_work(#[case] lag: Duration) {
    let deployment = start_with_orders(Setup::for_test()).await.unwrap();
    deployment.platform.state.borrow_mut().list_lag = lag;
    let vm = deployment.plan.model_vms().remove(0);
    let load = Load::start(&deployment, LoadSpec::default());
    sleep(Duration::from_secs(1)).await;
    deployment.set_vm_state(&vm, VmState::Leaving);
    let listed = Instant::now() + lag;
    sleep(lag + SETTLE_TIME + Duration::from_secs(2)).await;
    let late = deployment.records().count_started(&vm, listed + SETTLE_TIME, Instant::now());
    assert_eq!(late, 0, "requests started after the settle time");
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
    assert_eq!(count_lost(&calls), 0);
}

#[rstest]
#[actix_rt::test]
async fn stopping_endpoint_gets_no_new_work_while_the_platform_is_down() {
    let mut deployment = start_with_orders(Setup::for_test()).await.unwrap();
    let vm = deployment.plan.model_vms().remove(0);
    let load = Load::start(&deployment, LoadSpec { tokens: 100, ..LoadSpec::default() });
    sleep(Duration::from_secs(1)).await;
    deployment.platform.set_fault(Fault::Down);
    let stop_sent = Instant::now();
    assert!(deployment.stop_process(&vm, WAIT_TIMEOUT).await, "the endpoint did not end");
    sleep(SETTLE_TIME).await;
    let late = deployment.records().count_started(&vm, stop_sent + SETTLE_TIME, Instant::now());
    assert_eq!(late, 0, "requests started after the settle time");
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
    assert_eq!(count_lost(&calls), 0);
}
