//! Processes that are partitioned, paused or behind connections that stop carrying data.

use std::time::{Duration, Instant};

use rstest::rstest;
use sequoiahold_standins::{
    callers::Outcome,
    deployment::Setup,
    fixture::{
        SETTLE_TIME, WAIT_TIMEOUT, assert_consistent, count, count_lost, count_lost_chats, sleep,
        start,
    },
    load::{Load, LoadSpec},
    processes::Signal,
};

fn setup_with_relays() -> Setup {
    Setup { relays: true, ..Setup::for_test() }
}

#[rstest]
#[actix_rt::test]
async fn endpoint_cut_off_from_an_entry_is_used_again_after_the_cut() {
    let deployment = start(setup_with_relays()).await.unwrap();
    let load = Load::start(&deployment, LoadSpec::default());
    sleep(Duration::from_secs(2)).await;
    let entry = deployment.plan.entry_vms().remove(0);
    let own = deployment.plan.fleet.vms[&entry].addr.ip();
    let relay = &deployment.relays[&deployment.plan.model_vms()[0]];
    relay.filter.block_sources([own]);
    sleep(SETTLE_TIME).await;
    let known = deployment.status(&entry).await.unwrap().endpoints;
    let vm = &deployment.plan.model_vms()[0];
    assert!(
        known.get(vm).is_none_or(|known| !known.open),
        "the entry sees an unreachable endpoint as open"
    );
    let cut = Instant::now();
    sleep(Duration::from_secs(1)).await;
    relay.filter.block_sources([]);
    deployment.wait_open(WAIT_TIMEOUT).await.unwrap();
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
    let late = calls.iter().filter(|call| call.at > cut);
    let late: Vec<_> = late.cloned().collect();
    assert_eq!(count_lost_chats(&late), 0);
}

#[rstest]
#[actix_rt::test]
async fn silent_connection_is_replaced() {
    let deployment = start(setup_with_relays()).await.unwrap();
    let load = Load::start(&deployment, LoadSpec::default());
    sleep(Duration::from_secs(2)).await;
    let vm = deployment.plan.model_vms().remove(0);
    let before = Instant::now();
    deployment.relays[&vm].filter.silence_flows();
    sleep(SETTLE_TIME).await;
    deployment.wait_open(WAIT_TIMEOUT).await.unwrap();
    let reopened = Instant::now();
    sleep(Duration::from_secs(2)).await;
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
    assert!(
        deployment.records().count_started(&vm, reopened, Instant::now()) > 0,
        "no request started after the connection was replaced"
    );
    let lost = count_lost(&calls);
    let since = calls.iter().filter(|call| call.at >= before).count();
    assert!(lost < since / 2, "{lost} of {since} lost");
}

#[rstest]
#[actix_rt::test]
async fn silent_connections_to_engines_are_replaced() {
    let deployment = start(setup_with_relays()).await.unwrap();
    let load = Load::start(&deployment, LoadSpec::default());
    sleep(Duration::from_secs(2)).await;
    for relay in deployment.engine_relays.values() {
        relay.filter.silence_flows();
    }
    sleep(SETTLE_TIME).await;
    deployment.wait_open(WAIT_TIMEOUT).await.unwrap();
    let reopened = Instant::now();
    sleep(Duration::from_secs(3)).await;
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
    let late: Vec<_> = calls.iter().filter(|call| call.at > reopened).cloned().collect();
    let answered = count(&late, Outcome::Answered);
    assert!(answered > late.len() / 2, "{answered} of {} answered", late.len());
}

#[rstest]
#[actix_rt::test]
async fn endpoint_resumed_after_its_zone_went_out_starts_no_work() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let load = Load::start(&deployment, LoadSpec::default());
    sleep(Duration::from_secs(2)).await;
    let plan = deployment.plan.clone();
    let (zone, vm) = (plan.first_zone(), plan.model_vms().remove(0));
    deployment.signal(&vm, Signal::Stop);
    sleep(Duration::from_millis(200)).await;
    deployment.publish(|declared| plan.set_zone_out(declared, &zone, true)).unwrap();
    let out = Instant::now();
    sleep(SETTLE_TIME + Duration::from_secs(1)).await;
    deployment.signal(&vm, Signal::Continue);
    sleep(Duration::from_secs(3)).await;
    let late = deployment.records().started_in_zone_since(&zone, out + SETTLE_TIME);
    let calls = load.stop().await;
    assert_eq!(late, [], "requests started in a zone that is out");
    assert_consistent(&deployment, &calls);
}

#[rstest]
#[actix_rt::test]
async fn entry_resumed_after_a_version_and_a_zone_changed_sends_no_late_work() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let load = Load::start(&deployment, LoadSpec::default());
    sleep(Duration::from_secs(2)).await;
    let plan = deployment.plan.clone();
    let (zone, entry) = (plan.first_zone(), plan.entry_vms().remove(1));
    deployment.signal(&entry, Signal::Stop);
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    deployment.wait_ready(&plan.version(2), WAIT_TIMEOUT).await.unwrap();
    deployment.publish(|declared| plan.set_zone_out(declared, &zone, true)).unwrap();
    let out = Instant::now();
    sleep(SETTLE_TIME).await;
    deployment.signal(&entry, Signal::Continue);
    sleep(Duration::from_secs(3)).await;
    let late = deployment.records().started_in_zone_since(&zone, out + SETTLE_TIME);
    let calls = load.stop().await;
    assert_eq!(late, [], "requests started in a zone that is out");
    assert_consistent(&deployment, &calls);
}
