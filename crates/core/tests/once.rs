//! Idempotency keys and tickets of one endpoint: when calls run, and how repeated calls end.

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
    name.parse().expect("valid name")
}

fn client() -> ClientId {
    vm("c1").as_str().parse().expect("valid name")
}

fn key(text: &str) -> CallKey {
    text.parse().expect("valid key")
}

fn call<'a>(client: &'a ClientId, key: &'a CallKey) -> KeyedCall<'a> {
    KeyedCall { client, key, fingerprint: Fingerprint(1) }
}

/// Returns the registry of an endpoint that has been the only one in its pool since time 0.
fn sole_endpoint() -> CallRegistry {
    let mut registry = CallRegistry::new(vm("a"), Incarnation(1), Time::default());
    registry.adopt(Time::default(), Generation(1), vec![vm("a")], &[vm("a")]);
    registry
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
fn new_owner_waits_for_the_key_lifetime(#[case] age: Span, #[case] runs: bool) {
    let verdict = sole_endpoint().decide(Time::default() + age, call(&client(), &key("order-1")));
    assert_eq!(verdict == Verdict::Run, runs);
}

/// A UUID of version 7 holds its creation time; within the clock skew after the start, it may have
/// been created before the start.
#[rstest]
#[case::created_before_the_start(Span::secs(1), false)]
#[case::created_after_the_skew(Span(MAX_CLOCK_SKEW.0 + 1_000), true)]
#[case::created_in_the_future(Span::secs(100), false)]
fn timestamped_key_needs_no_wait(#[case] created: Span, #[case] runs: bool) {
    let millis = format!("{:012x}", created.0 / 1_000);
    let text = format!("{}-{}-7abc-8def-0123456789ab", &millis[..8], &millis[8..]);
    let now = Time::default() + MAX_CLOCK_SKEW + Span::secs(1);
    let verdict = sole_endpoint().decide(now, call(&client(), &key(&text)));
    assert_eq!(verdict == Verdict::Run, runs);
}

#[test]
fn key_from_the_future_is_refused() {
    let now = Time::default() + KEY_LIFETIME;
    let created = now + MAX_CLOCK_SKEW + Span::millis(1);
    let millis = format!("{:012x}", created.0 / 1_000);
    let key = key(&format!("{}-{}-7abc-8def-0123456789ab", &millis[..8], &millis[8..]));
    let mut registry = sole_endpoint();
    assert!(registry.is_settled(now));
    assert_eq!(reason(registry.decide(now, call(&client(), &key))), Some(Reason::Key));
    assert_eq!(registry.decide(now + Span::secs(1), call(&client(), &key)), Verdict::Run);
}

#[test]
fn repeated_call_gets_the_stored_answer() {
    let (mut registry, now) = (sole_endpoint(), Time::default() + KEY_LIFETIME);
    registry.begin(now, call(&client(), &key("order-1")));
    let running = registry.decide(now, call(&client(), &key("order-1")));
    assert_eq!(reason(running), Some(Reason::Running));
    registry.end(now, call(&client(), &key("order-1")), CallOutcome::Answered(answer(3)));
    assert_eq!(registry.decide(now, call(&client(), &key("order-1"))), Verdict::Replay(answer(3)));
    let other: ClientId = "c2".parse().expect("valid name");
    assert_eq!(registry.decide(now, call(&other, &key("order-1"))), Verdict::Run);
}

#[rstest]
#[case::unknown(CallOutcome::Unknown, Verdict::Fail(Failure::Unknown))]
#[case::not_run(CallOutcome::NotRun, Verdict::Run)]
fn repeated_call_gets_the_outcome_of_the_first(
    #[case] outcome: CallOutcome,
    #[case] expected: Verdict,
) {
    let (mut registry, now) = (sole_endpoint(), Time::default() + KEY_LIFETIME);
    registry.begin(now, call(&client(), &key("order-1")));
    registry.end(now, call(&client(), &key("order-1")), outcome);
    assert_eq!(registry.decide(now, call(&client(), &key("order-1"))), expected);
}

#[test]
fn call_with_an_oversized_answer_is_not_run_again() {
    let (mut registry, now) = (sole_endpoint(), Time::default() + KEY_LIFETIME);
    registry.begin(now, call(&client(), &key("order-1")));
    registry.end(
        now,
        call(&client(), &key("order-1")),
        CallOutcome::Answered(answer(MAX_ANSWER_BYTES + 1)),
    );
    assert_eq!(reason(registry.decide(now, call(&client(), &key("order-1")))), Some(Reason::Ran));
}

#[test]
fn expired_or_foreign_ticket_is_unknown() {
    let (mut registry, now) = (sole_endpoint(), Time::default());
    let ticket = CallKey::Ticket(registry.issue_ticket(now, &client()).expect("room for a ticket"));
    assert_eq!(registry.decide(now, call(&client(), &ticket)), Verdict::Run);
    let mut later = CallRegistry::new(vm("a"), Incarnation(2), Time::default());
    assert_eq!(later.decide(now, call(&client(), &ticket)), Verdict::Fail(Failure::Unknown));
    let late = now + KEY_LIFETIME + Span(1);
    assert_eq!(registry.decide(late, call(&client(), &ticket)), Verdict::Fail(Failure::Unknown));
    assert_eq!(registry.record_count(), 0);
}

#[test]
fn withdrawn_vm_counts_as_stopped_from_its_withdrawal() {
    let members = [vm("a"), vm("b")];
    let foreign_key = (0..).map(|n| format!("order-{n}")).find(|text| {
        let candidate = text.parse().expect("valid key");
        key_owner(&members, &candidate) == Some(&vm("b"))
    });
    let foreign_key = key(&foreign_key.expect("a key owned by b"));
    let mut registry = CallRegistry::new(vm("a"), Incarnation(1), Time::default());
    registry.adopt(Time::default(), Generation(1), members.to_vec(), &members);
    let settled = Time::default() + KEY_LIFETIME;
    let mut other = CallRegistry::new(vm("b"), Incarnation(1), Time::default());
    other.adopt(Time::default(), Generation(1), members.to_vec(), &members);
    let handover = other.handover_for(settled, &vm("a"), &members, Generation(1));
    registry.import_handover(settled, &vm("b"), handover);
    assert!(registry.is_settled(settled));
    registry.adopt(settled, Generation(2), vec![vm("a")], &[vm("a")]);
    assert_eq!(reason(registry.decide(settled, call(&client(), &foreign_key))), Some(Reason::Key));
    assert_eq!(
        registry.decide(settled + KEY_LIFETIME, call(&client(), &foreign_key)),
        Verdict::Run
    );
}

#[test]
fn endpoint_below_the_requested_generation_hands_over_its_keys() {
    let members = [vm("a"), vm("b")];
    let mut registry = CallRegistry::new(vm("b"), Incarnation(1), Time::default());
    registry.adopt(Time::default(), Generation(2), vec![vm("b")], &members);
    registry.begin(Time::default(), call(&client(), &key("order-1")));
    let handover = registry.handover_for(Time::default(), &vm("a"), &[vm("a")], Generation(3));
    assert_eq!(handover.records.len(), 1);
}

#[test]
fn key_reused_for_another_request_is_refused() {
    let (mut registry, now) = (sole_endpoint(), Time::default() + KEY_LIFETIME);
    let (client, key) = (client(), key("order-1"));
    registry.begin(now, call(&client, &key));
    registry.end(now, call(&client, &key), CallOutcome::Answered(answer(3)));
    let other = KeyedCall { fingerprint: Fingerprint(2), ..call(&client, &key) };
    assert_eq!(reason(registry.decide(now, other)), Some(Reason::KeyReused));
}

#[test]
fn handover_fits_into_one_message() {
    let (mut registry, now) = (sole_endpoint(), Time::default() + KEY_LIFETIME);
    let client = client();
    for number in 0..40 {
        let key = key(&format!("order-{number}"));
        registry.begin(now, call(&client, &key));
        registry.end(now, call(&client, &key), CallOutcome::Answered(answer(MAX_ANSWER_BYTES)));
    }
    let handover = registry.handover_for(now, &vm("a"), &[vm("a")], Generation(1));
    assert_eq!(handover.records.len(), 40);
    assert!(encode(&handover).len() < MAX_MESSAGE_BYTES / 2);
}
