//! Callers that disconnect, and the time to the first token.

use std::time::Duration;

use rstest::rstest;
use sequoiahold_standins::{
    callers::{ChatRequest, Outcome},
    deployment::Setup,
    fixture::{sleep, start},
};

#[rstest]
#[actix_rt::test]
async fn disconnected_caller_releases_its_engine_slot() {
    let deployment = start(Setup::for_test()).await.unwrap();
    let (service, entry) = (deployment.plan.model_service(), deployment.entries()[0]);
    for number in 0..5 {
        let (caller, prompt) = (deployment.caller(), format!("left-{number}"));
        let request = ChatRequest { service: &service, prompt: &prompt, tokens: 2_000 };
        assert!(caller.chat_and_disconnect(entry, &request).await, "no part of the answer arrived");
    }
    sleep(Duration::from_secs(3)).await;
    let running: u32 = deployment.engines.values().map(|e| e.state.borrow().active()).sum();
    assert_eq!(running, 0, "an engine still runs requests of disconnected callers");
    assert_eq!(deployment.status(&deployment.plan.entry_vms()[0]).await.unwrap().running, 0);
}

#[rstest]
#[actix_rt::test]
async fn first_token_comes_long_before_the_last() {
    let deployment = start(Setup::for_test()).await.unwrap();
    let (caller, service) = (deployment.caller(), deployment.plan.model_service());
    let request = ChatRequest { service: &service, prompt: "first", tokens: 200 };
    let call = caller.chat(deployment.entries()[0], &request, &deployment.fingerprints).await;
    assert_eq!(call.outcome, Outcome::Answered);
    let first = call.first_token.expect("a first token");
    assert!(first < call.took / 2, "{first:?} of {:?}", call.took);
}
