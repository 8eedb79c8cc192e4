//! The version that an engine without weights gets while operators have announced none.

use rstest::rstest;
use sequoiahold_core::direct::version_choice::{Candidate, VersionChoice};

/// Maximum number of attempts and questions until a version that a source has is chosen.
const MAX_STEPS: usize = 20;

/// Returns the version that is loaded at last, `None` if none is within [`MAX_STEPS`].
fn load(claims: &[u64], peers: &[u64], origin: Option<u64>) -> Option<u64> {
    let mut choice = VersionChoice::default();
    for _ in 0..MAX_STEPS {
        match choice.next(claims.iter().copied()) {
            Candidate::AskOrigin => choice.record_answer(origin),
            Candidate::Claimed(version) | Candidate::Named(version) => {
                if peers.contains(&version) || origin == Some(version) {
                    return Some(version);
                }
                choice.record_failure(version);
            }
        }
    }
    None
}

// Guards against a claim that no source can meet keeping an engine empty.
#[rstest]
#[case::no_claim(&[], &[], Some(1), Some(1))]
#[case::false_claim(&[9], &[], Some(1), Some(1))]
#[case::false_claims_above_a_true_one(&[9, 7, 1], &[1], Some(1), Some(1))]
#[case::many_false_claims(&[9, 8, 7, 6, 5, 4, 3, 2], &[], Some(1), Some(1))]
#[case::origin_is_ahead_of_a_withdrawn_claim(&[1], &[], Some(3), Some(3))]
#[case::true_claim_needs_no_origin(&[2], &[2], None, Some(2))]
#[case::false_claim_while_the_origin_is_silent(&[9, 1], &[1], None, Some(1))]
#[case::nobody_has_any(&[9], &[], None, None)]
fn engine_gets_a_version_that_a_source_has(
    #[case] claims: &[u64],
    #[case] peers: &[u64],
    #[case] origin: Option<u64>,
    #[case] expected: Option<u64>,
) {
    assert_eq!(load(claims, peers, origin), expected);
}

#[test]
fn origin_is_asked_again_after_its_version_failed() {
    let mut choice = VersionChoice::default();
    assert_eq!(choice.next([]), Candidate::AskOrigin);
    choice.record_answer(Some(7));
    assert_eq!(choice.next([]), Candidate::Named(7));
    choice.record_failure(7);
    assert_eq!(choice.next([]), Candidate::AskOrigin);
    choice.record_answer(Some(1));
    assert_eq!(choice.next([9]), Candidate::Named(1));
}

#[test]
fn claims_that_failed_are_tried_again_where_the_origin_stays_silent() {
    let mut choice = VersionChoice::default();
    assert_eq!(choice.next([2, 1]), Candidate::Claimed(2));
    choice.record_failure(2);
    choice.record_answer(None);
    assert_eq!(choice.next([2, 1]), Candidate::Claimed(1));
    choice.record_failure(1);
    choice.record_answer(None);
    assert_eq!(choice.next([2, 1]), Candidate::AskOrigin);
    choice.record_answer(None);
    assert_eq!(choice.next([2, 1]), Candidate::Claimed(2));
}

#[test]
fn claims_count_again_once_the_engine_has_held_a_version() {
    let mut choice = VersionChoice::default();
    assert_eq!(choice.next([9]), Candidate::Claimed(9));
    choice.record_failure(9);
    choice.record_answer(Some(1));
    choice.settle();
    assert_eq!(choice.next([2]), Candidate::Claimed(2));
}
