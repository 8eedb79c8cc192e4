//! Pauses that engines ask gateways for in a soak, and the faults that excuse gateways from them.

use std::time::{Duration, Instant};

use rstest::rstest;
use sequoiahold_standins::soak::{AttemptId, LinkOwner, Notices};

/// The pause that the engine asks for.
const PAUSE: Duration = Duration::from_secs(3);
/// The request that the engine turned away.
const ATTEMPT: AttemptId = AttemptId(1);
/// The gateway that sent it.
const GATEWAY: usize = 0;
/// The engine.
const ENGINE: &str = "i-0";

/// What happens to the notices of a soak, at a time in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Event<'a> {
    Ask(u64),
    Confirm(u64),
    CutEngine(&'a str, u64),
    CutGateway(usize, u64),
    Interrupt(usize),
    Mend(&'a str),
    Restart(&'a str, &'a str),
    Stall(u64, u64),
}

/// Returns the number of violations when four requests arrive at `late` ms.
fn violations(events: &[Event<'_>], late: u64) -> usize {
    let (start, mut notices) = (Instant::now(), Notices::default());
    let at = |time| start + Duration::from_millis(time);
    for event in events {
        match *event {
            Event::Ask(time) => notices.ask(at(time), ATTEMPT, (GATEWAY, ENGINE), PAUSE),
            Event::Confirm(time) => notices.confirm(at(time), ATTEMPT),
            Event::CutEngine(instance, time) => {
                notices.begin_cut(at(time), LinkOwner::Engine(instance.to_owned()));
            }
            Event::CutGateway(number, time) => {
                notices.begin_cut(at(time), LinkOwner::Gateway(number));
            }
            Event::Interrupt(number) => notices.interrupt(number),
            Event::Mend(instance) => notices.end_cut(&LinkOwner::Engine(instance.to_owned())),
            Event::Restart(ended, instance) => notices.restart(ended, instance),
            Event::Stall(time, length) => {
                notices.stall(at(time), Duration::from_millis(length));
            }
        }
    }
    let arrivals = (0..4).map(|_| notices.arrive(at(late), (GATEWAY, at(late)), ENGINE).len());
    arrivals.sum()
}

#[rstest]
#[case::no_fault(&[Event::Ask(0)])]
#[case::cut_of_another_gateway(&[Event::CutGateway(1, 0), Event::Ask(0), Event::CutGateway(1, 900)])]
#[case::restart_of_another_gateway(&[Event::Ask(0), Event::Interrupt(1)])]
#[case::cut_of_another_engine(&[Event::CutEngine("i-1", 0), Event::Ask(0)])]
#[case::cut_after_the_answer_arrived(&[Event::Ask(0), Event::CutEngine(ENGINE, 600)])]
#[case::answer_passed_on_before_the_cut(
    &[Event::Ask(0), Event::Confirm(10), Event::CutEngine(ENGINE, 20)]
)]
#[case::answer_passed_on_after_the_cut(
    &[Event::Ask(0), Event::CutEngine(ENGINE, 10), Event::Confirm(300)]
)]
#[case::cut_that_has_ended(
    &[Event::CutEngine(ENGINE, 0), Event::Mend(ENGINE), Event::Ask(200)]
)]
#[case::cut_of_the_address_of_an_earlier_engine(
    &[Event::CutEngine("i-2", 0), Event::Restart("i-2", "i-3"), Event::Ask(10)]
)]
#[case::stall_before_the_arrivals(&[Event::Ask(0), Event::Stall(1_900, 500)])]
fn gateway_that_was_told_is_not_excused_from_a_pause(#[case] events: &[Event<'_>]) {
    assert_eq!(violations(events, 2_000), 2, "of 4 arrivals, 2 allowed");
}

#[rstest]
#[case::gateway_restarts(&[Event::Ask(0), Event::Interrupt(GATEWAY)])]
#[case::gateway_is_cut_later(&[Event::Ask(0), Event::CutGateway(GATEWAY, 1_500)])]
#[case::gateway_is_cut_before(&[Event::CutGateway(GATEWAY, 0), Event::Ask(100)])]
#[case::engine_restarts(&[Event::Ask(0), Event::Restart(ENGINE, "i-4")])]
#[case::answer_lost_with_the_link(&[Event::Ask(0), Event::CutEngine(ENGINE, 400)])]
#[case::answer_given_within_the_cut(&[Event::CutEngine(ENGINE, 0), Event::Ask(100)])]
#[case::engine_takes_an_address_that_is_cut(
    &[Event::CutEngine("i-2", 0), Event::Restart("i-2", ENGINE), Event::Ask(10)]
)]
fn fault_that_may_keep_the_answer_away_excuses_from_a_pause(#[case] events: &[Event<'_>]) {
    assert_eq!(violations(events, 2_000), 0);
}

#[rstest]
#[case::within_the_grace(&[Event::Ask(0)], 700)]
#[case::grace_lengthened_by_a_stall(&[Event::Ask(0), Event::Stall(900, 500)], 1_200)]
#[case::after_the_end(&[Event::Ask(0)], 3_001)]
fn arrivals_outside_the_pause_do_not_count(#[case] events: &[Event<'_>], #[case] late: u64) {
    assert_eq!(violations(events, late), 0);
}
