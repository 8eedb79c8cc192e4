//! Engines that crash while they answer.

use std::time::Duration;

use rstest::rstest;
use sequoiahold_standins::{
    callers::{Question, Received},
    deployment::Setup,
    engine::POISON_WORD,
    fixture::{PATIENCE, assert_sound, count, lost, pass, start},
    load::{Load, Shape},
};

#[rstest]
#[actix_rt::test]
async fn engine_crashes_under_load_and_comes_back() {
    let deployment = start(Setup::for_test()).await.unwrap();
    let pause = Duration::from_millis(40);
    let load = Load::start(&deployment, Shape { tokens: 50, pause, ..Shape::default() });
    pass(Duration::from_secs(2)).await;
    let vm = deployment.plan.model_vms().remove(0);
    let engine = &deployment.engines[&vm];
    let running = engine.state.borrow().running.len();
    engine.crash();
    pass(Duration::from_secs(2)).await;
    deployment.wait_ready(&deployment.plan.version(1), PATIENCE).await.unwrap();
    deployment.wait_open(PATIENCE).await.unwrap();
    let calls = load.stop().await;
    assert_sound(&deployment, &calls);
    let lost = lost(&calls);
    assert!(lost <= running + 40, "{lost} lost with {running} in progress at the crash");
    assert!(count(&calls, Received::Answered) > calls.len() / 2);
}

#[rstest]
#[actix_rt::test]
async fn request_that_crashes_engines_takes_down_no_more_than_two() {
    let deployment = start(Setup::for_test()).await.unwrap();
    let (caller, service) = (deployment.caller(), deployment.plan.model());
    let question = Question { service: &service, prompt: POISON_WORD, tokens: 16 };
    for entry in deployment.entries().into_iter().cycle().take(8) {
        let call = caller.ask(entry, &question, &deployment.whole).await;
        assert_ne!(call.received, Received::Answered, "no engine bears this request");
        pass(Duration::from_millis(300)).await;
    }
    let crashes: u64 = deployment.engines.values().map(|e| e.state.borrow().crashes).sum();
    assert!(crashes <= 2, "{crashes} crashes by one request that its caller sent 8 times");
}
