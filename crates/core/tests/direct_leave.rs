//! Endpoints that ask for a pause or leave, and the requests that they could have served.

mod fleet;

use std::{
    collections::BTreeSet,
    time::{Duration, SystemTime},
};

use rand::{SeedableRng as _, rngs::SmallRng};
use rstest::rstest;
use sequoiahold_core::{
    direct::{
        catalog::EndpointEntry,
        endpoint_state::AttemptOutcome,
        pause::PauseRequest,
        scheduler::{Decision, Grant, Scheduler},
        view::View,
    },
    time::Time,
    units::Span,
};

use self::fleet::{entry, ms, name, publish, request, schedulers, view};

/// Returns a scheduler with one endpoint, the published state and a grant there.
fn granted() -> (Scheduler, View, Grant) {
    let view = view(1, None);
    let mut scheduler = schedulers(1, &view).remove(0);
    let grant = submit(&mut scheduler, ms(0)).expect("a free endpoint");
    (scheduler, view, grant)
}

fn submit(scheduler: &mut Scheduler, now: Time) -> Option<Grant> {
    let mut rng = SmallRng::seed_from_u64(3);
    match scheduler.submit(now, request(now), &mut rng) {
        Decision::Dispatch(grant) => Some(grant),
        _ => None,
    }
}

/// Returns how many queued and new requests are placed.
fn place(scheduler: &mut Scheduler, now: Time) -> usize {
    let queued = scheduler.dispatch_queued(now, &mut SmallRng::seed_from_u64(3));
    let placed = queued.iter().filter(|(_, _, result)| result.is_ok()).count();
    placed + usize::from(submit(scheduler, now).is_some())
}

#[test]
fn second_answer_does_not_shorten_a_pause() {
    let (mut scheduler, _, mut grant) = granted();
    assert!(scheduler.record_pause(ms(100), &grant, Span::secs(5)));
    assert!(!scheduler.record_pause(ms(200), &grant, Span::secs(1)));
    scheduler.release(ms(200), &mut grant, AttemptOutcome::Full);
    let times = (200..6_000).step_by(10);
    let placed = times.map(ms).find(|now| place(&mut scheduler, *now) > 0);
    let placed = placed.expect("a request after the pause");
    assert!((ms(5_100)..=ms(5_400)).contains(&placed), "{placed}");
}

/// The list of endpoints may lack an endpoint for a while, or the time of its start.
#[test]
fn pause_outlasts_the_removal_of_the_endpoint_from_the_list() {
    let (mut scheduler, mut listed, grant) = granted();
    scheduler.record_pause(ms(100), &grant, Span::secs(5));
    scheduler.update(&view(0, None));
    scheduler.update(&listed);
    assert!(submit(&mut scheduler, ms(1_000)).is_none(), "listed again");
    publish(&mut listed, EndpointEntry { started_ms: None, ..entry(0, 1_000) });
    scheduler.update(&listed);
    assert!(submit(&mut scheduler, ms(1_010)).is_none(), "listed without a start");
}

#[test]
fn pause_ends_with_another_start_of_the_instance() {
    let (mut scheduler, mut view, grant) = granted();
    scheduler.record_pause(ms(100), &grant, Span::secs(5));
    publish(&mut view, entry(0, 2_000));
    scheduler.update(&view);
    assert!(submit(&mut scheduler, ms(200)).is_some());
    assert!(scheduler.withheld(ms(200), &grant).is_some(), "a request for the start before");
}

/// The list of endpoints may come back from a copy that was made before the last start.
#[rstest]
#[case::asked_before_the_restore(true)]
#[case::asked_while_the_copy_is_in_force(false)]
fn restored_list_with_an_earlier_start_ends_neither_pause_nor_leaving(#[case] asks_first: bool) {
    for leaves in [false, true] {
        let (mut scheduler, mut listed, _) = granted();
        let mut list = |scheduler: &mut Scheduler, started_ms| {
            publish(&mut listed, entry(0, started_ms));
            scheduler.update(&listed);
        };
        let tell = |scheduler: &mut Scheduler| {
            let grant = submit(scheduler, ms(100)).expect("a free endpoint");
            let told = match leaves {
                true => scheduler.record_leaving(ms(100), ms(100), &grant, true).is_some(),
                false => scheduler.record_pause(ms(100), &grant, Span::secs(5)),
            };
            assert!(told, "nothing new, leaves: {leaves}");
        };
        list(&mut scheduler, 2_000);
        if asks_first {
            tell(&mut scheduler);
        }
        list(&mut scheduler, 1_000);
        if !asks_first {
            tell(&mut scheduler);
        }
        assert!(submit(&mut scheduler, ms(200)).is_none(), "with the copy, leaves: {leaves}");
        list(&mut scheduler, 2_000);
        assert!(submit(&mut scheduler, ms(300)).is_none(), "listed as before, leaves: {leaves}");
        list(&mut scheduler, 3_000);
        assert!(submit(&mut scheduler, ms(400)).is_some(), "started again, leaves: {leaves}");
    }
}

/// Load pattern: callers wait for the end of a pause, and all gateways know it.
#[test]
fn gateway_returns_after_a_pause_with_few_requests() {
    let (mut scheduler, _, mut grant) = granted();
    scheduler.record_pause(ms(100), &grant, Span::secs(2));
    scheduler.release(ms(100), &mut grant, AttemptOutcome::Full);
    let times = (2_100..2_500).step_by(10);
    let placed = times.map(ms).find(|now| place(&mut scheduler, *now) > 0);
    let placed = placed.expect("a request after the pause");
    assert_eq!(place(&mut scheduler, placed + Span::millis(10)), 0, "a second one");
    let more: usize = (0..8).map(|_| place(&mut scheduler, placed + Span::millis(700))).sum();
    assert_eq!(more, 7, "the normal share");
}

#[test]
fn request_that_only_paused_endpoints_could_serve_is_refused_at_once() {
    let (mut scheduler, _, grant) = granted();
    let mut rng = SmallRng::seed_from_u64(3);
    scheduler.record_pause(ms(100), &grant, Span::millis(500));
    let delays: Vec<u64> = (0..8)
        .map(|_| match scheduler.submit(ms(200), request(ms(200)), &mut rng) {
            Decision::Refuse(refusal) => refusal.retry.expect("a retry delay").0 / 1_000,
            other => panic!("not refused: {other:?}"),
        })
        .collect();
    // The pause ends after 0.4 s; gateways return within 0.3 s, and callers within 1 s.
    assert!(delays.iter().all(|delay| (400..=1_700).contains(delay)), "{delays:?}");
    let distinct: BTreeSet<&u64> = delays.iter().collect();
    assert_eq!(distinct.len(), 8, "{delays:?}");
}

/// A request waits for a slot when the endpoint asks for a pause.
#[test]
fn queued_request_is_refused_once_all_its_endpoints_pause() {
    let (mut scheduler, _, grant) = granted();
    let mut rng = SmallRng::seed_from_u64(3);
    let taken = (0..8).filter(|_| submit(&mut scheduler, ms(0)).is_some()).count();
    assert_eq!((taken, scheduler.queued_requests()), (7, 1));
    scheduler.record_pause(ms(20), &grant, Span::secs(5));
    assert!(matches!(scheduler.dispatch_queued(ms(25), &mut rng).as_slice(), [(_, _, Err(_))]));
    assert_eq!(scheduler.queued_requests(), 0);
}

/// A connection may be opened while the answer to another request arrives.
#[test]
fn placed_request_is_withheld_once_the_endpoint_pauses() {
    let (mut scheduler, _, grant) = granted();
    assert!(scheduler.withheld(ms(50), &grant).is_none());
    scheduler.record_pause(ms(100), &grant, Span::secs(1));
    assert!(scheduler.withheld(ms(150), &grant).is_some());
    assert!(scheduler.withheld(ms(1_150), &grant).is_none());
}

#[rstest]
#[case::whole("5", PauseRequest::For(Span::secs(5)))]
#[case::decimal(" 0.25 ", PauseRequest::For(Span::millis(250)))]
#[case::none("0", PauseRequest::For(Span(0)))]
#[case::date("Sun, 06 Nov 1994 08:49:37 GMT", PauseRequest::For(Span::secs(7)))]
#[case::past("Sun, 06 Nov 1994 08:49:20 GMT", PauseRequest::For(Span(0)))]
#[case::far_date("Sat, 06 Nov 2094 08:49:37 GMT", PauseRequest::TooLong)]
#[case::day("86400", PauseRequest::TooLong)]
#[case::huge("1e300", PauseRequest::TooLong)]
#[case::infinite("inf", PauseRequest::TooLong)]
#[case::negative("-3", PauseRequest::Unreadable)]
#[case::not_a_number("NaN", PauseRequest::Unreadable)]
#[case::word("soon", PauseRequest::Unreadable)]
#[case::empty("", PauseRequest::Unreadable)]
fn retry_after_asks_for_a_bounded_pause(#[case] text: &str, #[case] expected: PauseRequest) {
    let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_770);
    let pause = PauseRequest::decode(text, wall);
    assert_eq!(pause, expected);
    assert!(pause.span() <= Span::secs(3_600), "{pause:?}");
}

/// The store may list an endpoint that leaves as live, lose it and bring it back.
#[test]
fn endpoint_that_leaves_gets_nothing_whatever_the_list_says() {
    let (mut scheduler, mut listed, grant) = granted();
    assert!(scheduler.record_leaving(ms(100), ms(0), &grant, true).is_some());
    assert!(scheduler.withheld(ms(100), &grant).is_some(), "a connection being opened");
    for step in 1..200 {
        scheduler.update(&if step % 3 == 0 { view(0, None) } else { view(1, None) });
        assert!(submit(&mut scheduler, ms(step * 1_000)).is_none(), "after {step} s");
    }
    publish(&mut listed, entry(0, 2_000));
    scheduler.update(&listed);
    assert!(submit(&mut scheduler, ms(200_000)).is_some(), "another start");
}

/// The head of a stream may be older than the answer that arrived before it.
#[test]
fn only_an_answer_to_a_later_request_ends_leaving() {
    let (mut scheduler, _, grant) = granted();
    scheduler.record_leaving(ms(100), ms(0), &grant, true);
    assert!(scheduler.record_leaving(ms(200), ms(90), &grant, false).is_none());
    assert!(submit(&mut scheduler, ms(210)).is_none());
    assert!(scheduler.record_leaving(ms(300), ms(150), &grant, false).is_some());
    assert!(submit(&mut scheduler, ms(310)).is_some());
}

#[test]
fn requests_are_refused_at_once_where_all_endpoints_leave() {
    let (mut scheduler, _, grant) = granted();
    let mut rng = SmallRng::seed_from_u64(3);
    let taken = (0..8).filter(|_| submit(&mut scheduler, ms(0)).is_some()).count();
    assert_eq!((taken, scheduler.queued_requests()), (7, 1));
    scheduler.record_leaving(ms(10), ms(0), &grant, true);
    assert!(matches!(scheduler.dispatch_queued(ms(15), &mut rng).as_slice(), [(_, _, Err(_))]));
    let Decision::Refuse(refusal) = scheduler.submit(ms(20), request(ms(20)), &mut rng) else {
        panic!("placed or queued")
    };
    assert!(refusal.retry.is_some_and(|retry| retry <= Span::secs(2)), "{refusal:?}");
}

/// A gateway may have had no answer of the endpoint, or may not list it yet.
#[test]
fn gateway_learns_from_reports_that_an_endpoint_leaves_and_stays() {
    let (mut sender, listed, grant) = granted();
    let mut listener = schedulers(1, &view(0, None)).remove(0);
    sender.record_leaving(ms(100), ms(0), &grant, true);
    // The clock of the other process is another one.
    let reports = sender.leaving_reports(ms(200));
    assert_eq!(listener.merge_leaving(ms(9_200), ms(9_200), reports).len(), 1);
    // One that has just started is told also where the first one is gone.
    let mut started = schedulers(1, &listed).remove(0);
    started.merge_leaving(ms(500), ms(500), listener.leaving_reports(ms(9_250)));
    assert!(submit(&mut started, ms(600)).is_none());
    listener.update(&listed);
    assert!(submit(&mut listener, ms(9_300)).is_none());
    sender.record_leaving(ms(1_300), ms(1_200), &grant, false);
    let reports = sender.leaving_reports(ms(1_400));
    assert_eq!(listener.merge_leaving(ms(10_400), ms(10_400), reports).len(), 1);
    assert!(submit(&mut listener, ms(10_500)).is_some());
}

/// A report may wait in the socket of a process that stands still.
#[test]
fn report_that_was_held_up_marks_no_endpoint_for_good() {
    let (mut sender, listed, grant) = granted();
    let [mut listener, mut unaware] = schedulers(2, &listed).try_into().expect("two schedulers");
    sender.record_leaving(ms(1_000), ms(0), &grant, true);
    let held_up = sender.leaving_reports(ms(1_100));
    sender.record_leaving(ms(3_100), ms(3_000), &grant, false);
    listener.merge_leaving(ms(3_200), ms(3_200), sender.leaving_reports(ms(3_200)));
    let sent = ms(1_100);
    assert!(listener.merge_leaving(ms(4_000), sent, held_up.clone()).is_empty());
    assert!(submit(&mut listener, ms(4_010)).is_some());
    // The time for which it was held up may not be known.
    unaware.merge_leaving(ms(4_000), ms(4_000), held_up);
    assert!(submit(&mut unaware, ms(4_010)).is_none());
    assert!(submit(&mut unaware, ms(64_100)).is_some());
}

/// Gateways pass on what they were told, each time later by the way of the report.
#[test]
fn word_that_no_answer_confirms_is_forgotten_while_it_is_passed_on() {
    let (mut sender, listed, grant) = granted();
    let [mut left, mut right] = schedulers(2, &listed).try_into().expect("two schedulers");
    sender.record_leaving(ms(1_000), ms(0), &grant, true);
    left.merge_leaving(ms(1_000), ms(1_000), sender.leaving_reports(ms(1_000)));
    for step in 0..200 {
        let now = 1_000 + step * 1_000;
        let (reports, later) = (left.leaving_reports(ms(now)), ms(now + 500));
        right.merge_leaving(later, later, reports);
        let (reports, later) = (right.leaving_reports(ms(now + 500)), ms(now + 1_000));
        left.merge_leaving(later, later, reports);
    }
    assert!(submit(&mut left, ms(202_000)).is_some());
    assert!(submit(&mut right, ms(202_000)).is_some());
}

#[test]
fn report_on_an_earlier_start_changes_nothing() {
    let (mut sender, mut listed, grant) = granted();
    sender.record_leaving(ms(100), ms(0), &grant, true);
    let reports = sender.leaving_reports(ms(200));
    publish(&mut listed, entry(0, 2_000));
    let mut listener = schedulers(1, &listed).remove(0);
    listener.merge_leaving(ms(200), ms(200), reports.clone());
    let second = submit(&mut listener, ms(300)).expect("the start that is listed");
    listener.record_leaving(ms(400), ms(300), &second, true);
    assert!(listener.merge_leaving(ms(500), ms(500), reports).is_empty());
    assert!(submit(&mut listener, ms(600)).is_none());
}

#[test]
fn memory_of_endpoints_is_bounded() {
    let (mut scheduler, _, grant) = granted();
    for index in 0..5_000 {
        let instance = name(&format!("i-{index}"));
        let grant = Grant { instance, ..grant.clone() };
        scheduler.record_leaving(ms(index), ms(0), &grant, true);
    }
    assert_eq!(scheduler.leaving_reports(ms(5_000)).len(), 4_096);
}
