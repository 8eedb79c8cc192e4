//! Crash suspects: which requests are blamed and refused, and when evidence expires.

use sequoiahold_core::{
    suspect::{Crash, Fingerprint, Suspects, Suspicion},
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
