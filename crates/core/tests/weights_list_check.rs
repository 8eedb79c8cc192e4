//! Chunk lists that are wrong in some part.

use rstest::rstest;
use sequoiahold_core::{
    direct::platform::ChunkList,
    ids::Digest,
    time::Time,
    units::Span,
    weights::{ListError, ListSuspicion, WeightsSize, check_list},
};

const PUBLISHED: WeightsSize = WeightsSize { chunks: 4, chunk_bytes: 100 };
const START: Time = Time(1_000_000);

fn list(version: u64, count: u8, chunk_size: u64) -> ChunkList {
    let digests = (0..count).map(|number| Digest::of(&[number])).collect();
    ChunkList { version, chunk_size, digests }
}

// Guards against a list without its last digest counting as the whole list.
#[rstest]
#[case::whole(list(2, 4, 100), Ok(()))]
#[case::truncated(list(2, 3, 100), Err(ListError::OtherCount(3)))]
#[case::extended(list(2, 5, 100), Err(ListError::OtherCount(5)))]
#[case::other_size(list(2, 4, 10), Err(ListError::OtherSize(10)))]
#[case::other_version(list(3, 4, 100), Err(ListError::OtherVersion(3)))]
fn list_must_agree_with_what_is_published(
    #[case] list: ChunkList,
    #[case] expected: Result<(), ListError>,
) {
    assert_eq!(check_list(&list, 2, Some(PUBLISHED)), expected);
}

#[rstest]
#[case::any_count(list(2, 3, 100), Ok(()))]
#[case::empty(list(2, 0, 100), Err(ListError::OtherCount(0)))]
#[case::no_bytes(list(2, 4, 0), Err(ListError::OtherSize(0)))]
#[case::overflowing(list(2, 4, u64::MAX), Err(ListError::OtherSize(u64::MAX)))]
fn list_must_be_usable_where_nothing_is_published(
    #[case] list: ChunkList,
    #[case] expected: Result<(), ListError>,
) {
    assert_eq!(check_list(&list, 2, None), expected);
}

// Guards against a wrong digest that no chunk can ever match.
#[test]
fn digest_that_chunks_do_not_match_is_taken_from_another_copy_that_they_match() {
    let (sound, mut wrong) = (list(2, 4, 100), list(2, 4, 100));
    wrong.digests[1] = Digest::of(b"wrong");
    let mut suspicion = ListSuspicion::default();
    suspicion.record_mismatch(1, sound.digests[1]);
    assert!(!suspicion.start_read(START), "one mismatch suspects the list");
    suspicion.record_mismatch(1, sound.digests[1]);
    assert!(suspicion.start_read(START));
    assert_eq!(suspicion.correct(&wrong, &wrong), None);
    let mut other = sound.clone();
    other.digests[2] = Digest::of(b"wrong elsewhere");
    assert_eq!(suspicion.correct(&wrong, &other), Some(sound));
}

#[test]
fn corrupt_chunks_do_not_change_a_sound_list() {
    let sound = list(2, 4, 100);
    let mut wrong = sound.clone();
    wrong.digests[1] = Digest::of(b"wrong");
    let mut suspicion = ListSuspicion::default();
    for corrupt in [b"x", b"y", b"z"] {
        suspicion.record_mismatch(1, Digest::of(corrupt));
    }
    assert!(!suspicion.start_read(START), "chunks that differ each time suspect the list");
    assert_eq!(suspicion.correct(&sound, &wrong), None);
}

// Guards against calls without a pause while the list stays wrong.
#[test]
fn suspected_list_is_read_again_at_growing_intervals() {
    let mut suspicion = ListSuspicion::default();
    (0..2).for_each(|_| suspicion.record_mismatch(1, Digest::of(b"chunk")));
    let millis = (0..60_000).step_by(10);
    let reads = millis.filter(|at| suspicion.start_read(START + Span::millis(*at))).count();
    assert!((5..=20).contains(&reads), "{reads} reads in a minute");
}
