//! Callers that go away, and the time of the first token.

use std::time::Duration;

use rstest::rstest;
use sequoiahold_standins::{
    callers::{Question, Received},
    deployment::Setup,
    fixture::{pass, start},
};

#[rstest]
#[actix_rt::test]
async fn caller_that_leaves_frees_its_place() {
    let deployment = start(Setup::for_test()).await.unwrap();
    let (service, entry) = (deployment.plan.model(), deployment.entries()[0]);
    for number in 0..5 {
        let (caller, prompt) = (deployment.caller(), format!("left-{number}"));
        let question = Question { service: &service, prompt: &prompt, tokens: 2_000 };
        assert!(caller.ask_and_leave(entry, &question).await, "the answer has begun");
    }
    pass(Duration::from_secs(3)).await;
    let running: u32 = deployment.engines.values().map(|e| e.state.borrow().active()).sum();
    assert_eq!(running, 0, "no engine goes on for a caller that has gone");
    assert_eq!(deployment.status(&deployment.plan.entry_vms()[0]).await.unwrap().running, 0);
}

#[rstest]
#[actix_rt::test]
async fn first_token_comes_long_before_the_last() {
    let deployment = start(Setup::for_test()).await.unwrap();
    let (caller, service) = (deployment.caller(), deployment.plan.model());
    let question = Question { service: &service, prompt: "first", tokens: 200 };
    let call = caller.ask(deployment.entries()[0], &question, &deployment.whole).await;
    assert_eq!(call.received, Received::Answered);
    let first = call.first.expect("a first token");
    assert!(first < call.took / 2, "{first:?} of {:?}", call.took);
}
