//! Engines that crash while they run requests.

use std::time::Duration;

use rstest::rstest;
use sequoiahold_standins::{
    callers::{ChatRequest, Outcome},
    deployment::Setup,
    engine::POISON_WORD,
    fixture::{WAIT_TIMEOUT, assert_consistent, count, count_lost, sleep, start},
    load::{Load, LoadSpec},
};

#[rstest]
#[actix_rt::test]
async fn engine_crashes_under_load_and_comes_back() {
    let deployment = start(Setup::for_test()).await.unwrap();
    let pause = Duration::from_millis(40);
    let load = Load::start(&deployment, LoadSpec { tokens: 50, pause, ..LoadSpec::default() });
    sleep(Duration::from_secs(2)).await;
    let vm = deployment.plan.model_vms().remove(0);
    let engine = &deployment.engines[&vm];
    let running = engine.state.borrow().running.len();
    engine.crash();
    sleep(Duration::from_secs(2)).await;
    deployment.wait_ready(&deployment.plan.version(1), WAIT_TIMEOUT).await.unwrap();
    deployment.wait_open(WAIT_TIMEOUT).await.unwrap();
    let calls = load.stop().await;
    assert_consistent(&deployment, &calls);
    let lost = count_lost(&calls);
    assert!(lost <= running + 40, "{lost} lost with {running} in progress at the crash");
    assert!(count(&calls, Outcome::Answered) > calls.len() / 2);
}

#[rstest]
#[actix_rt::test]
async fn request_that_crashes_engines_takes_down_no_more_than_two() {
    let deployment = start(Setup::for_test()).await.unwrap();
    let (caller, service) = (deployment.caller(), deployment.plan.model_service());
    let request = ChatRequest { service: &service, prompt: POISON_WORD, tokens: 16 };
    for entry in deployment.entries().into_iter().cycle().take(8) {
        let call = caller.chat(entry, &request, &deployment.fingerprints).await;
        assert_ne!(call.outcome, Outcome::Answered, "a request that crashes engines was answered");
        sleep(Duration::from_millis(300)).await;
    }
    let crashes: u64 = deployment.engines.values().map(|e| e.state.borrow().crashes).sum();
    assert!(crashes <= 2, "{crashes} crashes by a request that its caller sent 8 times");
}
