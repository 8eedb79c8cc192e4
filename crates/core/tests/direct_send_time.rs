//! Estimates of when messages were sent: clocks that differ, messages held up, restarts, bounds.

use std::net::SocketAddr;

use rstest::rstest;
use sequoiahold_core::{
    direct::send_time::{SendStamp, SendTimes},
    ids::Incarnation,
    time::Time,
    units::Span,
};

/// By how much the clock of the receiver is ahead in these tests.
const AHEAD: Span = Span::secs(500);
/// Maximum number of senders that are remembered.
const MAX_SENDERS: usize = 1_024;

fn ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn addr(index: usize) -> SocketAddr {
    ([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000).into()
}

fn stamp(incarnation: u64, at: Time) -> Option<SendStamp> {
    Some(SendStamp { incarnation: Incarnation(incarnation), at })
}

/// A receiver whose socket is empty before each message unless a test says otherwise.
#[derive(Default)]
struct Receiver(SendTimes);

impl Receiver {
    /// Returns the estimate for a message of the first incarnation of a sender, sent and read at
    /// these times of its clock, by that clock.
    fn read(&mut self, sent: Time, read: Time) -> Time {
        let now = read + AHEAD;
        let estimate = self.0.estimate(now, now, addr(0), stamp(1, sent));
        Time(estimate.0 - AHEAD.0)
    }
}

#[rstest]
#[case::receiver_ahead(ms(700_000))]
#[case::receiver_behind(ms(3_000))]
fn messages_that_are_not_held_up_were_sent_as_they_are_read(#[case] start: Time) {
    let mut times = SendTimes::default();
    for step in 0..2_000 {
        let step = Span::millis(step * 70);
        let (now, sent) = (start + step, ms(20_000) + step);
        assert_eq!(times.estimate(now, now, addr(0), stamp(1, sent)), now);
    }
}

#[test]
fn message_that_is_held_up_is_dated_by_its_sending() {
    let mut receiver = Receiver::default();
    receiver.read(ms(1_000), ms(1_004));
    assert_eq!(receiver.read(ms(1_100), ms(2_304)), ms(1_104));
    // A message that was faster than those before is the new measure.
    assert_eq!(receiver.read(ms(2_400), ms(2_401)), ms(2_401));
    assert_eq!(receiver.read(ms(2_500), ms(2_504)), ms(2_501));
}

#[test]
fn messages_that_wait_while_the_receiver_stands_still_are_dated_by_their_sending() {
    let mut receiver = Receiver::default();
    receiver.read(ms(1_000), ms(1_000));
    // Longer than the window in which the difference of the clocks is measured.
    for sent in (2_000..200_000).step_by(500) {
        assert_eq!(receiver.read(ms(sent), ms(200_000)), ms(sent));
    }
    assert_eq!(receiver.read(ms(200_100), ms(200_100)), ms(200_100));
}

/// The clock of a process goes on while its VM is suspended.
#[test]
fn messages_of_a_sender_that_was_suspended_are_not_taken_for_old() {
    let mut receiver = Receiver::default();
    receiver.read(ms(1_000), ms(1_000));
    assert_eq!(receiver.read(ms(50_000), ms(50_000)), ms(50_000));
    assert_eq!(receiver.read(ms(150_000), ms(150_000)), ms(150_000));
}

#[test]
fn sender_whose_clock_stood_still_is_believed_again_within_a_window() {
    let mut receiver = Receiver::default();
    receiver.read(ms(1_000), ms(1_000));
    let lag = 8_000;
    for read in (10_000..75_000).step_by(500) {
        let estimate = receiver.read(ms(read - lag), ms(read));
        assert!(estimate == ms(read - lag) || read > 31_000);
        assert!(estimate == ms(read) || read <= 71_000, "{estimate} for {read} ms");
    }
}

/// Clocks that are adjusted drift apart by up to 0.5 ms a second.
#[rstest]
#[case::sender_slows(false)]
#[case::sender_hastens(true)]
fn drift_of_clocks_is_not_taken_for_a_delay(#[case] hastens: bool) {
    let mut receiver = Receiver::default();
    for second in 100..2_000 {
        let (read, drift) = (ms(second * 1_000), Span(second * 500));
        let sent = if hastens { read + drift } else { Time(read.0 - drift.0) };
        let estimate = receiver.read(sent, read);
        assert!(read - estimate <= Span::millis(31), "{} late", read - estimate);
    }
}

#[test]
fn first_message_of_a_sender_counts_from_when_no_message_waited() {
    let mut times = SendTimes::default();
    assert_eq!(times.estimate(ms(9_000), ms(4_000), addr(0), stamp(1, ms(77))), ms(4_000));
    // A message of the release before has no stamp.
    assert_eq!(times.estimate(ms(9_000), ms(4_000), addr(1), None), ms(4_000));
    assert_eq!(times.estimate(ms(9_100), ms(9_099), addr(1), None), ms(9_099));
}

#[test]
fn first_message_of_a_sender_is_not_older_than_those_that_arrived_before_it() {
    let mut times = SendTimes::default();
    times.estimate(ms(1_000), ms(1_000), addr(0), stamp(1, ms(1_000)));
    let mut read = |from, sent| times.estimate(ms(9_000), ms(1_000), addr(from), stamp(1, sent));
    assert_eq!(read(0, ms(3_000)), ms(3_000));
    assert_eq!(read(1, ms(5)), ms(3_000));
    assert_eq!(read(0, ms(4_000)), ms(4_000));
    assert_eq!(read(2, ms(5)), ms(4_000));
}

#[test]
fn restarted_sender_is_measured_anew() {
    let mut times = SendTimes::default();
    let mut read = |now, incarnation, sent| {
        times.estimate(ms(now), ms(now - 1), addr(0), stamp(incarnation, ms(sent)))
    };
    read(50_000, 1, 40_000);
    assert_eq!(read(51_000, 2, 10), ms(50_999));
    assert_eq!(read(52_000, 2, 1_010), ms(52_000));
    assert_eq!(read(54_000, 2, 2_010), ms(53_000));
    // A message of the incarnation before changes nothing.
    assert_eq!(read(54_100, 1, 40_500), ms(54_099));
    assert_eq!(read(54_200, 2, 2_210), ms(53_200));
    // The wall clock, by which incarnations are ordered, was set back before another restart.
    assert_eq!(read(90_000, 1, 20), ms(89_999));
    assert_eq!(read(91_500, 1, 1_020), ms(91_000));
}

#[test]
fn number_of_remembered_senders_is_bounded() {
    let mut times = SendTimes::default();
    for index in 0..MAX_SENDERS + 50 {
        let now = ms(1_000 + index as u64);
        times.estimate(now, now, addr(index), stamp(1, ms(10)));
        times.estimate(now, now, addr(0), stamp(1, ms(10 + index as u64)));
        assert!(times.sender_count() <= MAX_SENDERS);
    }
    // The one that was silent for longest is forgotten.
    let now = ms(9_000);
    assert_eq!(times.estimate(now, ms(8_990), addr(1), stamp(1, ms(10))), ms(8_990));
    assert_eq!(times.estimate(now, ms(8_990), addr(0), stamp(1, ms(5_010))), ms(6_000));
}

#[rstest]
#[case(u64::MAX)]
#[case(u64::MAX / 2 + 1)]
#[case(0)]
fn absurd_clock_is_no_panic(#[case] at: u64) {
    let mut times = SendTimes::default();
    for sent in [Time(at), Time(5), Time(at), Time(u64::MAX - 7)] {
        assert!(times.estimate(ms(1_000), ms(999), addr(0), stamp(1, sent)) <= ms(1_000));
    }
}
