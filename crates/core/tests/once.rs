//! Keys and tickets of one endpoint: when they run, and what a repeat is told.

use rstest::rstest;
use sequoiahold_core::{
    ids::{ClientId, Generation, Incarnation, VmId},
    once::{
        Answer, CallKey, CallOutcome, CallRegistry, KEY_LIFETIME, KeyedCall, MAX_ANSWER_BYTES,
        MAX_CLOCK_SKEW, Verdict, key_owner,
    },
    proto::{MAX_MESSAGE_BYTES, encode},
    refusal::{Failure, Reason},
    suspect::Fingerprint,
    time::Time,
    units::Span,
};

fn vm(name: &str) -> VmId {
    name.parse().expect("a name")
}

fn client() -> ClientId {
    vm("c1").as_str().parse().expect("a name")
}

fn key(text: &str) -> CallKey {
    text.parse().expect("a key")
}

fn call<'a>(client: &'a ClientId, key: &'a CallKey) -> KeyedCall<'a> {
    KeyedCall { client, key, fingerprint: Fingerprint(1) }
}

/// Returns an endpoint that has been alone in its pool since time 0.
fn alone() -> CallRegistry {
    let mut once = CallRegistry::new(vm("a"), Incarnation(1), Time::default());
    once.adopt(Time::default(), Generation(1), vec![vm("a")], &[vm("a")]);
    once
}

fn answer(length: usize) -> Answer {
    Answer { status: 200, content: "text/plain".to_owned(), body: Some(vec![1; length].into()) }
}

fn reason(verdict: Verdict) -> Option<Reason> {
    match verdict {
        Verdict::Refuse(refusal) => Some(refusal.reason),
        _ => None,
    }
}

#[rstest]
#[case::at_start(Span::default(), false)]
#[case::before_the_end(Span(KEY_LIFETIME.0 - 1), false)]
#[case::at_the_end(KEY_LIFETIME, true)]
fn a_fresh_owner_waits_for_the_life_of_a_key(#[case] age: Span, #[case] runs: bool) {
    let verdict = alone().decide(Time::default() + age, call(&client(), &key("order-1")));
    assert_eq!(verdict == Verdict::Run, runs);
}

#[rstest]
#[case::made_before_the_start(Span::secs(1), false)]
#[case::made_after_the_skew(Span(MAX_CLOCK_SKEW.0 + 1_000), true)]
#[case::made_in_the_future(Span::secs(100), false)]
fn a_key_with_a_time_needs_no_wait(#[case] made: Span, #[case] runs: bool) {
    let millis = format!("{:012x}", made.0 / 1_000);
    let text = format!("{}-{}-7abc-8def-0123456789ab", &millis[..8], &millis[8..]);
    let now = Time::default() + MAX_CLOCK_SKEW + Span::secs(1);
    let verdict = alone().decide(now, call(&client(), &key(&text)));
    assert_eq!(verdict == Verdict::Run, runs);
}

#[test]
fn a_key_from_the_future_runs_nowhere() {
    let now = Time::default() + KEY_LIFETIME;
    let made = now + MAX_CLOCK_SKEW + Span::millis(1);
    let millis = format!("{:012x}", made.0 / 1_000);
    let key = key(&format!("{}-{}-7abc-8def-0123456789ab", &millis[..8], &millis[8..]));
    let mut once = alone();
    assert!(once.is_settled(now));
    assert_eq!(reason(once.decide(now, call(&client(), &key))), Some(Reason::Key));
    assert_eq!(once.decide(now + Span::secs(1), call(&client(), &key)), Verdict::Run);
}

#[test]
fn a_repeat_gets_the_same_answer() {
    let (mut once, now) = (alone(), Time::default() + KEY_LIFETIME);
    once.begin(now, call(&client(), &key("order-1")));
    let running = once.decide(now, call(&client(), &key("order-1")));
    assert_eq!(reason(running), Some(Reason::Running));
    once.end(now, call(&client(), &key("order-1")), CallOutcome::Answered(answer(3)));
    assert_eq!(once.decide(now, call(&client(), &key("order-1"))), Verdict::Replay(answer(3)));
    let other: ClientId = "c2".parse().expect("a name");
    assert_eq!(once.decide(now, call(&other, &key("order-1"))), Verdict::Run);
}

#[rstest]
#[case::unknown(CallOutcome::Unknown, Verdict::Fail(Failure::Unknown))]
#[case::not_run(CallOutcome::NotRun, Verdict::Run)]
fn a_repeat_is_told_how_the_first_ended(#[case] end: CallOutcome, #[case] expected: Verdict) {
    let (mut once, now) = (alone(), Time::default() + KEY_LIFETIME);
    once.begin(now, call(&client(), &key("order-1")));
    once.end(now, call(&client(), &key("order-1")), end);
    assert_eq!(once.decide(now, call(&client(), &key("order-1"))), expected);
}

#[test]
fn an_answer_too_long_to_keep_is_not_run_again() {
    let (mut once, now) = (alone(), Time::default() + KEY_LIFETIME);
    once.begin(now, call(&client(), &key("order-1")));
    once.end(
        now,
        call(&client(), &key("order-1")),
        CallOutcome::Answered(answer(MAX_ANSWER_BYTES + 1)),
    );
    assert_eq!(reason(once.decide(now, call(&client(), &key("order-1")))), Some(Reason::Ran));
}

#[test]
fn a_forgotten_or_foreign_ticket_is_unknown() {
    let (mut once, now) = (alone(), Time::default());
    let ticket = CallKey::Ticket(once.issue(now, &client()).expect("memory is free"));
    assert_eq!(once.decide(now, call(&client(), &ticket)), Verdict::Run);
    let mut later = CallRegistry::new(vm("a"), Incarnation(2), Time::default());
    assert_eq!(later.decide(now, call(&client(), &ticket)), Verdict::Fail(Failure::Unknown));
    let late = now + KEY_LIFETIME + Span(1);
    assert_eq!(once.decide(late, call(&client(), &ticket)), Verdict::Fail(Failure::Unknown));
    assert_eq!(once.record_count(), 0);
}

#[test]
fn a_withdrawn_vm_counts_as_stopped_only_from_then_on() {
    let both = [vm("a"), vm("b")];
    let foreign = (0..).map(|n| format!("order-{n}")).find(|text| {
        let chosen = text.parse().expect("a key");
        key_owner(&both, &chosen) == Some(&vm("b"))
    });
    let foreign = key(&foreign.expect("some key belongs to b"));
    let mut once = CallRegistry::new(vm("a"), Incarnation(1), Time::default());
    once.adopt(Time::default(), Generation(1), both.to_vec(), &both);
    let settled = Time::default() + KEY_LIFETIME;
    let mut other = CallRegistry::new(vm("b"), Incarnation(1), Time::default());
    other.adopt(Time::default(), Generation(1), both.to_vec(), &both);
    let given = other.handover_for(settled, &vm("a"), &both, Generation(1));
    once.import_handover(settled, &vm("b"), given);
    assert!(once.is_settled(settled));
    once.adopt(settled, Generation(2), vec![vm("a")], &[vm("a")]);
    assert_eq!(reason(once.decide(settled, call(&client(), &foreign))), Some(Reason::Key));
    assert_eq!(once.decide(settled + KEY_LIFETIME, call(&client(), &foreign)), Verdict::Run);
}

#[test]
fn an_endpoint_below_the_generation_of_the_question_hands_its_keys_over() {
    let both = [vm("a"), vm("b")];
    let mut once = CallRegistry::new(vm("b"), Incarnation(1), Time::default());
    once.adopt(Time::default(), Generation(2), vec![vm("b")], &both);
    once.begin(Time::default(), call(&client(), &key("order-1")));
    let given = once.handover_for(Time::default(), &vm("a"), &[vm("a")], Generation(3));
    assert_eq!(given.records.len(), 1);
}

#[test]
fn a_key_for_another_request_gets_no_answer_of_the_first() {
    let (mut once, now) = (alone(), Time::default() + KEY_LIFETIME);
    let (client, key) = (client(), key("order-1"));
    once.begin(now, call(&client, &key));
    once.end(now, call(&client, &key), CallOutcome::Answered(answer(3)));
    let other = KeyedCall { fingerprint: Fingerprint(2), ..call(&client, &key) };
    assert_eq!(reason(once.decide(now, other)), Some(Reason::KeyReused));
}

#[test]
fn a_hand_over_fits_into_one_message() {
    let (mut once, now) = (alone(), Time::default() + KEY_LIFETIME);
    let client = client();
    for number in 0..40 {
        let key = key(&format!("order-{number}"));
        once.begin(now, call(&client, &key));
        once.end(now, call(&client, &key), CallOutcome::Answered(answer(MAX_ANSWER_BYTES)));
    }
    let given = once.handover_for(now, &vm("a"), &[vm("a")], Generation(1));
    assert_eq!(given.records.len(), 40);
    assert!(encode(&given).len() < MAX_MESSAGE_BYTES / 2);
}
