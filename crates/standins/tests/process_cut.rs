//! Processes that are cut off, paused or behind connections that went silent.

use std::time::{Duration, Instant};

use rstest::rstest;
use sequoiahold_standins::{
    callers::Received,
    deployment::Setup,
    fixture::{FEW_SECONDS, PATIENCE, assert_sound, count, lost, lost_questions, pass, start},
    load::{Load, Shape},
    processes::Signal,
};

fn behind_relays() -> Setup {
    Setup { relays: true, ..Setup::for_test() }
}

#[rstest]
#[actix_rt::test]
async fn cut_between_entry_and_endpoint() {
    let deployment = start(behind_relays()).await.unwrap();
    let load = Load::start(&deployment, Shape::default());
    pass(Duration::from_secs(2)).await;
    let entry = deployment.plan.entry_vms().remove(0);
    let own = deployment.plan.fleet.vms[&entry].addr.ip();
    let relay = &deployment.relays[&deployment.plan.model_vms()[0]];
    relay.filter.cut_from([own]);
    pass(FEW_SECONDS).await;
    let known = deployment.status(&entry).await.unwrap().endpoints;
    let vm = &deployment.plan.model_vms()[0];
    assert!(known.get(vm).is_none_or(|known| !known.open), "the entry counts on no lost endpoint");
    let cut = Instant::now();
    pass(Duration::from_secs(1)).await;
    relay.filter.cut_from([]);
    deployment.wait_open(PATIENCE).await.unwrap();
    let calls = load.stop().await;
    assert_sound(&deployment, &calls);
    let late = calls.iter().filter(|call| call.at > cut);
    let late: Vec<_> = late.cloned().collect();
    assert_eq!(lost_questions(&late), 0);
}

#[rstest]
#[actix_rt::test]
async fn silent_connection_is_replaced() {
    let deployment = start(behind_relays()).await.unwrap();
    let load = Load::start(&deployment, Shape::default());
    pass(Duration::from_secs(2)).await;
    let vm = deployment.plan.model_vms().remove(0);
    let before = Instant::now();
    deployment.relays[&vm].filter.silence_flows();
    pass(FEW_SECONDS).await;
    deployment.wait_open(PATIENCE).await.unwrap();
    let again = Instant::now();
    pass(Duration::from_secs(2)).await;
    let calls = load.stop().await;
    assert_sound(&deployment, &calls);
    assert!(deployment.records().began(&vm, again, Instant::now()) > 0, "work comes again");
    let lost = lost(&calls);
    let since = calls.iter().filter(|call| call.at >= before).count();
    assert!(lost < since / 2, "{lost} of {since} lost");
}

#[rstest]
#[actix_rt::test]
async fn silent_connections_to_engines_are_replaced() {
    let deployment = start(behind_relays()).await.unwrap();
    let load = Load::start(&deployment, Shape::default());
    pass(Duration::from_secs(2)).await;
    for relay in deployment.engine_relays.values() {
        relay.filter.silence_flows();
    }
    pass(FEW_SECONDS).await;
    deployment.wait_open(PATIENCE).await.unwrap();
    let again = Instant::now();
    pass(Duration::from_secs(3)).await;
    let calls = load.stop().await;
    assert_sound(&deployment, &calls);
    let late: Vec<_> = calls.iter().filter(|call| call.at > again).cloned().collect();
    let answered = count(&late, Received::Answered);
    assert!(answered > late.len() / 2, "{answered} of {} answered", late.len());
}

#[rstest]
#[actix_rt::test]
async fn paused_endpoint_wakes_after_its_zone_went_out() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let load = Load::start(&deployment, Shape::default());
    pass(Duration::from_secs(2)).await;
    let plan = deployment.plan.clone();
    let (zone, vm) = (plan.first_zone(), plan.model_vms().remove(0));
    deployment.signal(&vm, Signal::Stop);
    pass(Duration::from_millis(200)).await;
    deployment.publish(|declared| plan.set_out(declared, &zone, true)).unwrap();
    let out = Instant::now();
    pass(FEW_SECONDS + Duration::from_secs(1)).await;
    deployment.signal(&vm, Signal::Continue);
    pass(Duration::from_secs(3)).await;
    let late = deployment.records().late_in_zone(&zone, out + FEW_SECONDS);
    let calls = load.stop().await;
    assert_eq!(late, [], "no work begins in a zone that is out");
    assert_sound(&deployment, &calls);
}

#[rstest]
#[actix_rt::test]
async fn paused_entry_wakes_after_a_version_and_a_zone_changed() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let load = Load::start(&deployment, Shape::default());
    pass(Duration::from_secs(2)).await;
    let plan = deployment.plan.clone();
    let (zone, entry) = (plan.first_zone(), plan.entry_vms().remove(1));
    deployment.signal(&entry, Signal::Stop);
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    deployment.wait_ready(&plan.version(2), PATIENCE).await.unwrap();
    deployment.publish(|declared| plan.set_out(declared, &zone, true)).unwrap();
    let out = Instant::now();
    pass(FEW_SECONDS).await;
    deployment.signal(&entry, Signal::Continue);
    pass(Duration::from_secs(3)).await;
    let late = deployment.records().late_in_zone(&zone, out + FEW_SECONDS);
    let calls = load.stop().await;
    assert_eq!(late, [], "no work begins in a zone that is out");
    assert_sound(&deployment, &calls);
}
