//! Events of a stream that are relayed up to a wrong id, and where another endpoint may go on.

use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;
use sequoiahold_core::direct::event_splitter::{
    EventSplitter, MAX_EVENT_BYTES, SplitEvents, StreamError,
};

/// Number of ways in which a stream is divided.
const DIVISIONS: u64 = 200;

fn text(ids: &[&str]) -> String {
    ids.iter().map(|id| format!("id: {id}\ndata: piece\n\n")).collect()
}

// Guards against sound events being lost that come together with one of a wrong id.
#[rstest]
#[case::smaller(&["4", "5", "1"], 2, Some((5, 1)), 5, true)]
#[case::repeated(&["4", "5", "5"], 2, Some((5, 5)), 5, true)]
#[case::first_of_its_chunk(&["2", "4"], 0, Some((3, 2)), 3, true)]
#[case::not_the_last(&["4", "1", "6", "7"], 1, Some((4, 1)), 4, true)]
#[case::in_order(&["4", "5", "6"], 3, None, 6, true)]
#[case::gaps(&["4", "8", "9"], 3, None, 9, true)]
// The wrong id may be the one before: 5 was shown as 50, and 6 is right.
#[case::greater(&["4", "50", "6"], 2, Some((50, 6)), 50, false)]
// Behind an event without a usable id, an endpoint would repeat it.
#[case::no_number(&["4", "x"], 2, None, 4, false)]
#[case::empty(&["4", ""], 2, None, 4, false)]
#[case::no_number_but_the_next(&["4", "x", "6"], 3, None, 6, true)]
fn events_before_a_wrong_id_are_relayed(
    #[case] ids: &[&str],
    #[case] relayed: usize,
    #[case] error: Option<(u64, u64)>,
    #[case] last: u64,
    #[case] can_resume: bool,
) {
    let mut events = EventSplitter::resume_after(Some(3));
    let split = events.push(text(ids).as_bytes());
    let error = error.map(|(last, id)| StreamError::OutOfOrder { last, id });
    assert_eq!(split, SplitEvents { events: text(&ids[..relayed]).into(), error });
    assert_eq!((events.last_id(), events.can_resume()), (Some(last), can_resume));
}

// Guards against the ids of a whole stream being judged by an event that it does not have.
#[rstest]
#[case::repeated(&["1", "1"], true)]
#[case::greater(&["9", "2"], false)]
fn second_id_is_judged_by_the_first(#[case] ids: &[&str], #[case] can_resume: bool) {
    let mut events = EventSplitter::resume_after(None);
    let split = events.push(text(ids).as_bytes());
    assert_eq!(split.events, Bytes::from(text(&ids[..1])));
    assert!(split.error.is_some());
    assert_eq!(events.can_resume(), can_resume);
}

// Guards against comments, which endpoints send to keep a connection alive, ending a resumption.
#[test]
fn comment_does_not_end_a_resumption() {
    let mut events = EventSplitter::resume_after(Some(3));
    let bytes = b": still there\n\nid: 4\r\ndata: piece\r\n\r\n: still there\n\r\n";
    assert_eq!(events.push(bytes).events, Bytes::from_static(bytes));
    assert_eq!((events.last_id(), events.can_resume()), (Some(4), true));
    events.push(b"data: piece\n\n");
    assert!(!events.can_resume(), "an event without an id would be repeated");
}

// Guards against an outcome that depends on how a stream is divided into chunks.
#[test]
fn division_into_chunks_does_not_matter() {
    let stream = text(&["4", "5", "x", "7", "8"]).replace("8\n", "8\r\n") + &text(&["7", "9"]);
    let sound = text(&["4", "5", "x", "7", "8"]).replace("8\n", "8\r\n");
    for seed in 0..DIVISIONS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut events, mut rest) = (EventSplitter::resume_after(Some(3)), stream.as_bytes());
        let (mut relayed, mut error) = (vec![], None);
        while error.is_none() && !rest.is_empty() {
            let (part, later) = rest.split_at(rng.random_range(1..=rest.len()));
            let split = events.push(part);
            relayed.extend_from_slice(&split.events);
            (error, rest) = (split.error, later);
        }
        assert_eq!(String::from_utf8_lossy(&relayed), sound, "seed {seed}");
        assert_eq!(error, Some(StreamError::OutOfOrder { last: 8, id: 7 }), "seed {seed}");
    }
}

// Guards against sound events being lost before one that is too long.
#[test]
fn events_before_one_that_is_too_long_are_relayed() {
    let sound = text(&["1", "2"]);
    let mut events = EventSplitter::resume_after(None);
    let split = events.push(format!("{sound}data: {}", "x".repeat(MAX_EVENT_BYTES)).as_bytes());
    assert_eq!(split, SplitEvents { events: sound.into(), error: Some(StreamError::TooLong) });
}
