//! Streams of endpoints that spoil the id of one event, through a real gateway.

use rstest::rstest;
use sequoiahold_standins::hosted::{Behaviour, Cluster, request};

/// The end of a complete answer in chunks.
const END: &str = "0\r\n\r\n";

/// Returns the numbers of the pieces in an answer.
fn pieces(text: &str) -> Vec<u64> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: token "));
    lines.filter_map(|number| number.parse().ok()).collect()
}

/// Starts a gateway before two endpoints that spoil each stream which they send from its start.
async fn start(behaviour: Behaviour) -> Cluster {
    let cluster = Cluster::start(1, 2).await.expect("a cluster");
    cluster.workers.iter().for_each(|worker| worker.set_behaviour(behaviour));
    cluster
}

// Guards against sound events that come in one chunk with a spoilt one missing from a stream that
// goes on at another endpoint and ends as complete.
#[rstest]
#[case::smaller(6, "1")]
#[case::repeats_the_last_sound_one(6, "5")]
#[case::repeats_within_its_chunk(2, "1")]
#[case::first_of_its_chunk(4, "1")]
#[case::middle(5, "2")]
#[case::no_number(6, "x")]
#[case::empty(3, "")]
#[actix_rt::test]
async fn stream_with_a_spoilt_id_goes_on_behind_its_sound_events(
    #[case] event: u64,
    #[case] id: &'static str,
) {
    let cluster = start(Behaviour::SpoiltId(event, id)).await;
    let answer = cluster.call(0, &request("GET", "/stream/1", "key-1")).await;
    assert_eq!(pieces(&answer.text), [1, 2, 3, 4, 5, 6], "{}", answer.text);
    assert!(answer.text.ends_with(END), "{}", answer.text);
}

// Guards against a stream that goes on behind an id that was spoilt to a greater one, without the
// events in between, and ends as complete.
#[actix_rt::test]
async fn stream_that_may_lack_events_does_not_end_as_complete() {
    let cluster = start(Behaviour::SpoiltId(2, "20")).await;
    let answer = cluster.call(0, &request("GET", "/stream/1", "key-1")).await;
    assert_eq!((answer.status, pieces(&answer.text)), (200, vec![1, 2]));
    assert!(!answer.text.ends_with(END), "{}", answer.text);
}
