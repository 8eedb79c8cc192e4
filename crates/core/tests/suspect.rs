//! Crash suspects: which requests are blamed and refused, and when evidence expires.

use sequoiahold_core::{
    suspect::{Crash, CrashReport, Fingerprint, Suspects, Suspicion},
    time::Time,
    units::Span,
};

fn crash(vm: &str, engine: u64, fingerprints: &[u64]) -> Crash {
    let fingerprints = fingerprints.iter().map(|value| Fingerprint(*value)).collect();
    Crash { vm: vm.parse().expect("valid name"), incarnation: engine, fingerprints }
}

#[test]
fn sole_suspect_of_two_crashes_is_refused() {
    let (mut suspects, now) = (Suspects::default(), Time::default());
    suspects.record_crash(now, crash("a", 1, &[7]));
    assert_eq!(suspects.suspicion(Fingerprint(7)), Suspicion::Suspect);
    suspects.record_crash(now, crash("b", 1, &[7, 8]));
    assert_eq!(suspects.suspicion(Fingerprint(7)), Suspicion::Blocked);
    assert_eq!(suspects.suspicion(Fingerprint(8)), Suspicion::Clear);
}

#[test]
fn crash_reported_twice_counts_once() {
    let (mut suspects, now) = (Suspects::default(), Time::default());
    suspects.add_suspect(now, Fingerprint(7), true);
    assert!(suspects.is_sole_suspect(Fingerprint(7)));
    suspects.record_crash(now, crash("a", 1, &[7]));
    suspects.record_crash(now, crash("a", 1, &[7]));
    assert_eq!(suspects.suspicion(Fingerprint(7)), Suspicion::Suspect);
}

#[test]
fn early_suspicion_does_not_make_a_request_the_sole_suspect() {
    let (mut suspects, now) = (Suspects::default(), Time::default());
    suspects.add_suspect(now, Fingerprint(1), false);
    suspects.record_crash(now, crash("a", 1, &[1, 2, 3]));
    assert!(!suspects.is_sole_suspect(Fingerprint(1)));
    suspects.clear(Fingerprint(1));
    assert_eq!(suspects.suspicion(Fingerprint(1)), Suspicion::Clear);
    assert_eq!(suspects.suspicion(Fingerprint(2)), Suspicion::Suspect);
}

#[test]
fn reported_crashes_are_bounded_and_evidence_expires() {
    let (mut suspects, now) = (Suspects::default(), Time::default());
    for engine in 0..100 {
        suspects.record_crash(now, crash("a", engine, &[engine, 1_000 + engine]));
    }
    assert_eq!(suspects.recent_crashes().len(), 8);
    suspects.expire(now + Span::secs(11));
    assert!(suspects.recent_crashes().is_empty());
    assert_eq!(suspects.suspicion(Fingerprint(50)), Suspicion::Suspect);
    suspects.expire(now + Span::secs(601));
    assert_eq!(suspects.suspicion(Fingerprint(50)), Suspicion::Clear);
}

/// Returns the suspects of a gateway that saw two crashes, 100 s and 200 s after its start, for which
/// a request is blocked.
fn blocked() -> Suspects {
    let mut suspects = Suspects::default();
    suspects.record_crash(at(100), crash("a", 1, &[7]));
    suspects.record_crash(at(200), crash("b", 1, &[7, 8]));
    suspects
}

fn at(secs: u64) -> Time {
    Time::default() + Span::secs(secs)
}

/// Tells crashes again at `now`; returns the number of those that count.
fn tell(now: Time, reports: &[CrashReport], to: &mut Suspects) -> usize {
    reports.iter().filter(|report| to.record_report(now, (*report).clone())).count()
}

#[test]
fn request_blocked_at_one_gateway_is_blocked_at_one_that_is_told_later() {
    let (mut suspects, mut started) = (blocked(), Suspects::default());
    let reports = suspects.next_reports(at(300));
    assert_eq!(reports.iter().map(|told| told.age).collect::<Vec<_>>(), [200, 100].map(Span::secs));
    assert_eq!(tell(at(5), &reports, &mut started), 2);
    assert_eq!(started.suspicion(Fingerprint(7)), Suspicion::Blocked);
    assert_eq!(started.suspicion(Fingerprint(8)), Suspicion::Clear);
}

#[test]
fn crash_that_is_told_again_counts_once() {
    let mut suspects = Suspects::default();
    suspects.record_crash(at(100), crash("a", 1, &[7]));
    let report = CrashReport { crash: crash("a", 1, &[7]), age: Span::secs(10) };
    assert_eq!(tell(at(110), &[report.clone(), report], &mut suspects), 0);
    assert_eq!(suspects.suspicion(Fingerprint(7)), Suspicion::Suspect);
}

#[test]
fn crash_before_a_completed_answer_is_not_counted_when_told_again() {
    let (reports, mut started) = (blocked().next_reports(at(300)), Suspects::default());
    started.complete(at(290), Fingerprint(7));
    assert_eq!(tell(at(300), &reports, &mut started), 0);
    assert_eq!(started.suspicion(Fingerprint(7)), Suspicion::Clear);
    let later = CrashReport { crash: crash("c", 1, &[7]), age: Span::secs(5) };
    assert_eq!(tell(at(300), &[later], &mut started), 1);
    assert_eq!(started.suspicion(Fingerprint(7)), Suspicion::Suspect);
}

/// Gateways that tell each other what they were told must not keep it for ever.
#[test]
fn crash_expires_as_long_after_it_happened_where_it_was_told() {
    let (mut suspects, mut started) = (blocked(), Suspects::default());
    tell(at(5), &suspects.next_reports(at(690)), &mut started);
    started.expire(at(114));
    assert_eq!(started.suspicion(Fingerprint(7)), Suspicion::Blocked);
    assert_eq!(started.next_reports(at(16)).len(), 1);
    started.expire(at(115));
    assert_eq!(started.suspicion(Fingerprint(7)), Suspicion::Clear);
    assert_eq!(tell(at(801), &suspects.next_reports(at(801)), &mut started), 0);
}

#[test]
fn crashes_of_all_blocked_requests_are_told_in_turn_and_few_at_a_time() {
    let (mut suspects, mut started) = (Suspects::default(), Suspects::default());
    let name = "x".repeat(60);
    for request in 0..50 {
        suspects.record_crash(at(1), crash(&name, 2 * request, &[request]));
        suspects.record_crash(at(1), crash(&name, 2 * request + 1, &[request]));
    }
    for _ in 0..10 {
        let reports = suspects.next_reports(at(2));
        assert!(!reports.is_empty() && postcard::to_stdvec(&reports).expect("bytes").len() < 1_300);
        tell(at(2), &reports, &mut started);
    }
    let is_blocked = |request: &u64| started.suspicion(Fingerprint(*request)) == Suspicion::Blocked;
    assert_eq!((0..50).filter(is_blocked).count(), 50);
}
