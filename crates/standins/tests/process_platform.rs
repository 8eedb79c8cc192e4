//! A platform that fails or serves old configurations while real processes run.

use std::time::{Duration, Instant};

use rstest::rstest;
use sequoiahold_core::{declare::PublishedSet, ids::Generation};
use sequoiahold_standins::{
    callers::Outcome,
    deployment::{Deployment, Setup},
    fixture::{
        SETTLE_TIME, WAIT_TIMEOUT, assert_consistent, count, count_lost, sleep, start,
        start_with_orders,
    },
    load::{Load, LoadSpec},
    platform::Fault,
};

/// Returns the lowest generation that any running process reports within `time`.
async fn lowest_generation(deployment: &Deployment, time: Duration) -> Generation {
    let mut lowest = Generation(u64::MAX);
    let end = Instant::now() + time;
    while Instant::now() < end {
        for vm in deployment.processes.keys() {
            if let Ok(status) = deployment.status(vm).await {
                lowest = lowest.min(status.generation);
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
    lowest
}

#[rstest]
#[actix_rt::test]
async fn rolled_back_platform_reverts_nothing() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let plan = deployment.plan.clone();
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    let took = deployment.wait_in_force(SETTLE_TIME).await.unwrap();
    assert!(took <= SETTLE_TIME);
    deployment.platform.set_fault(Fault::RolledBack);
    assert!(
        lowest_generation(&deployment, Duration::from_secs(3)).await >= deployment.generation()
    );
    deployment.platform.set_fault(Fault::None);
    let zone = plan.first_zone();
    deployment.publish(|declared| plan.set_zone_out(declared, &zone, true)).unwrap();
    deployment.wait_in_force(SETTLE_TIME).await.unwrap();
}

#[rstest]
#[case::down(Fault::Down)]
#[case::stale(Fault::Stale)]
#[actix_rt::test]
async fn service_goes_on_without_the_platform(#[case] fault: Fault) {
    let mut deployment = start_with_orders(Setup::for_test()).await.unwrap();
    let plan = deployment.plan.clone();
    deployment.platform.set_fault(fault);
    let load = Load::start(&deployment, LoadSpec::default());
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    sleep(SETTLE_TIME).await;
    deployment.platform.set_fault(Fault::None);
    deployment.wait_in_force(SETTLE_TIME).await.unwrap();
    deployment.wait_ready(&plan.version(2), WAIT_TIMEOUT).await.unwrap();
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
    assert_eq!(count_lost(&calls), 0);
    assert!(count(&calls, Outcome::Answered) > calls.len() / 2);
}

#[rstest]
#[actix_rt::test]
async fn restarted_processes_take_no_old_set_from_a_rolled_back_platform() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let plan = deployment.plan.clone();
    let zone = plan.first_zone();
    deployment.publish(|declared| plan.set_zone_out(declared, &zone, true)).unwrap();
    deployment.wait_in_force(SETTLE_TIME).await.unwrap();
    let out = Instant::now();
    let load = Load::start(&deployment, LoadSpec::default());
    deployment.platform.set_fault(Fault::RolledBack);
    let (entry, endpoint) = (plan.entry_vms().remove(0), plan.model_vms().remove(0));
    for vm in [&entry, &endpoint] {
        deployment.kill_process(vm).await;
        deployment.start_process(vm).unwrap();
    }
    sleep(SETTLE_TIME).await;
    let lowest = lowest_generation(&deployment, Duration::from_secs(1)).await;
    let late = deployment.records().count_started_in_zone(&zone, out + SETTLE_TIME, Instant::now());
    let calls = load.stop().await;
    assert_eq!(
        lowest,
        deployment.generation(),
        "a restarted process adopted the old set of the platform"
    );
    assert_eq!(late, 0, "requests started in a zone that is out");
    assert_consistent(&deployment, &calls);
}

#[rstest]
#[actix_rt::test]
async fn conflicting_sets_of_one_generation_are_replaced_by_the_next() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let plan = deployment.plan.clone();
    let load = Load::start(&deployment, LoadSpec::default());
    sleep(Duration::from_secs(1)).await;
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    sleep(Duration::from_millis(30)).await;
    let mut other = deployment.declared().to_vec();
    plan.set_version(&mut other, 1);
    deployment.platform.publish(PublishedSet::render(&other, deployment.generation()).unwrap());
    sleep(Duration::from_secs(2)).await;
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    deployment.wait_in_force(SETTLE_TIME).await.unwrap();
    deployment.wait_ready(&plan.version(2), WAIT_TIMEOUT).await.unwrap();
    deployment.wait_open(WAIT_TIMEOUT).await.unwrap();
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
}

#[rstest]
#[actix_rt::test]
async fn version_reverted_while_engines_load_becomes_ready_again() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let plan = deployment.plan.clone();
    let load = Load::start(&deployment, LoadSpec::default());
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    deployment.wait_in_force(SETTLE_TIME).await.unwrap();
    sleep(Duration::from_millis(300)).await;
    deployment.publish(|declared| plan.set_version(declared, 1)).unwrap();
    deployment.wait_in_force(SETTLE_TIME).await.unwrap();
    sleep(Duration::from_secs(3)).await;
    deployment.wait_ready(&plan.version(1), WAIT_TIMEOUT).await.unwrap();
    deployment.wait_open(WAIT_TIMEOUT).await.unwrap();
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
}
