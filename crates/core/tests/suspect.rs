//! Crash suspects: which requests are blamed and refused, and when evidence expires.

use sequoiahold_core::{
    suspect::{Crash, Print, Standing, Suspects},
    time::Time,
    units::Span,
};

fn crash(vm: &str, engine: u64, prints: &[u64]) -> Crash {
    let prints = prints.iter().map(|print| Print(*print)).collect();
    Crash { vm: vm.parse().expect("valid name"), engine, prints }
}

#[test]
fn sole_suspect_of_two_crashes_is_refused() {
    let (mut suspects, now) = (Suspects::default(), Time::default());
    suspects.record_crash(now, crash("a", 1, &[7]));
    assert_eq!(suspects.standing(Print(7)), Standing::Suspect);
    suspects.record_crash(now, crash("b", 1, &[7, 8]));
    assert_eq!(suspects.standing(Print(7)), Standing::Condemned);
    assert_eq!(suspects.standing(Print(8)), Standing::Clear);
}

#[test]
fn crash_reported_twice_counts_once() {
    let (mut suspects, now) = (Suspects::default(), Time::default());
    suspects.suspect(now, Print(7), true);
    assert!(suspects.is_sole(Print(7)));
    suspects.record_crash(now, crash("a", 1, &[7]));
    suspects.record_crash(now, crash("a", 1, &[7]));
    assert_eq!(suspects.standing(Print(7)), Standing::Suspect);
}

#[test]
fn early_suspicion_does_not_make_a_request_the_sole_suspect() {
    let (mut suspects, now) = (Suspects::default(), Time::default());
    suspects.suspect(now, Print(1), false);
    suspects.record_crash(now, crash("a", 1, &[1, 2, 3]));
    assert!(!suspects.is_sole(Print(1)));
    suspects.clear(Print(1));
    assert_eq!(suspects.standing(Print(1)), Standing::Clear);
    assert_eq!(suspects.standing(Print(2)), Standing::Suspect);
}

#[test]
fn reported_crashes_are_bounded_and_evidence_expires() {
    let (mut suspects, now) = (Suspects::default(), Time::default());
    for engine in 0..100 {
        suspects.record_crash(now, crash("a", engine, &[engine, 1_000 + engine]));
    }
    assert_eq!(suspects.told().len(), 8);
    suspects.expire(now + Span::secs(11));
    assert!(suspects.told().is_empty());
    assert_eq!(suspects.standing(Print(50)), Standing::Suspect);
    suspects.expire(now + Span::secs(601));
    assert_eq!(suspects.standing(Print(50)), Standing::Clear);
}
