//! Staged chunks of a soak, and which of them must not be used.

use std::time::{Duration, Instant};

use rstest::rstest;
use sequoiahold_standins::soak::StagedChunks;

/// The version that is loaded.
const VERSION: u64 = 2;

/// What happens to the staged chunks, at a time in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Event {
    Corrupt(u64, u64),
    Stage(u64),
    StageOther(u64),
}

fn unusable(events: &[Event], load_at: u64) -> Vec<u64> {
    let (start, mut staged) = (Instant::now(), StagedChunks::complete(VERSION));
    let at = |time| start + Duration::from_millis(time);
    let chunk = |version, number| {
        let complete = StagedChunks::complete(version);
        complete.read(number).expect("a staged chunk")
    };
    for event in events {
        match *event {
            Event::Corrupt(time, number) => staged.corrupt(at(time), number),
            Event::Stage(number) => staged.stage(number, chunk(VERSION, number)),
            Event::StageOther(number) => staged.stage(number, chunk(VERSION + 1, number)),
        }
    }
    staged.unusable(at(load_at), VERSION)
}

#[rstest]
#[case::corrupt_for_too_long(&[Event::Corrupt(0, 3)], 3_001, &[3])]
#[case::corrupt_again_meanwhile(&[Event::Corrupt(0, 3), Event::Corrupt(2_900, 3)], 3_001, &[3])]
#[case::of_another_version(&[Event::StageOther(5)], 0, &[5])]
#[case::of_another_version_and_just_corrupt(
    &[Event::StageOther(5), Event::Corrupt(10, 5)], 20, &[5]
)]
#[case::two_chunks(&[Event::Corrupt(0, 3), Event::StageOther(5)], 3_001, &[3, 5])]
#[case::another_one_staged_again(
    &[Event::Corrupt(0, 3), Event::Corrupt(0, 4), Event::Stage(4)], 3_001, &[3]
)]
fn load_from_unusable_chunks_is_seen(
    #[case] events: &[Event],
    #[case] load_at: u64,
    #[case] expected: &[u64],
) {
    assert_eq!(unusable(events, load_at), expected);
}

#[rstest]
#[case::intact(&[], 10_000)]
#[case::just_corrupt(&[Event::Corrupt(0, 3)], 3_000)]
#[case::staged_again(&[Event::Corrupt(0, 3), Event::Stage(3)], 10_000)]
#[case::corrupt_since_it_was_staged_again(
    &[Event::Corrupt(0, 3), Event::Stage(3), Event::Corrupt(8_000, 3)], 10_000
)]
fn load_from_usable_chunks_is_allowed(#[case] events: &[Event], #[case] load_at: u64) {
    assert_eq!(unusable(events, load_at), &[] as &[u64]);
}

#[test]
fn missing_chunks_are_unusable() {
    let staged = StagedChunks::default();
    assert_eq!(staged.unusable(Instant::now(), VERSION).first(), Some(&0));
    assert_eq!(staged.find_mismatch(VERSION), Some(0));
}

#[test]
fn chunks_are_missing_once_they_are_removed() {
    let mut staged = StagedChunks::complete(VERSION);
    staged.clear();
    assert_eq!(staged.read(3), None);
    let missing = StagedChunks::default().unusable(Instant::now(), VERSION);
    assert_eq!(staged.unusable(Instant::now(), VERSION), missing);
}

#[test]
fn corrupt_chunk_reads_wrong_until_it_is_staged_again() {
    let mut staged = StagedChunks::complete(VERSION);
    let intact = staged.read(3).expect("a staged chunk");
    staged.corrupt(Instant::now(), 3);
    assert_ne!(staged.read(3), Some(intact.clone()));
    staged.stage(3, intact.clone());
    assert_eq!(staged.read(3), Some(intact));
}
