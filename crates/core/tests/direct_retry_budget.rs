//! Retries of a gateway by when they may reach endpoints.

use rstest::rstest;
use sequoiahold_core::{
    direct::retry_budget::{RetryBounds, RetryBudget},
    ids::ServiceId,
    time::Time,
    units::Span,
};

const BOUNDS: RetryBounds = RetryBounds { ratio: 0.2, extra: 40.0, window: Span::secs(10) };
/// Interval between two requests, each of which fails, in ms.
const REQUEST_INTERVAL: usize = 20;
/// Most repeats allowed in a window.
const ALLOWED: usize = 10_000 / REQUEST_INTERVAL / 5 + 40;

fn ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn service() -> ServiceId {
    "llm".parse().expect("valid name")
}

/// Retries as often as the budget allows from `start` until `end`, in ms, with a request every
/// 20 ms, and returns when.
fn retry(
    budget: &mut RetryBudget,
    (start, end): (u64, u64),
    gateways: usize,
    mut on_spend: impl FnMut(&mut RetryBudget, Time),
) -> Vec<u64> {
    let mut spent = vec![];
    for now in (start..end).step_by(REQUEST_INTERVAL) {
        budget.record_request(ms(now), &service());
        if budget.try_spend(ms(now), &service(), gateways) {
            spent.push(now);
            on_spend(budget, ms(now));
        }
    }
    spent
}

// Guards against retries that were charged in two windows and waited for slots arriving in one.
#[test]
fn retries_in_progress_count_beyond_their_window() {
    let mut budget = RetryBudget::new(BOUNDS);
    let spent = retry(&mut budget, (0, 25_000), 1, |_, _| {}).len();
    assert!(spent <= ALLOWED, "{spent} retries may arrive together, {ALLOWED} allowed");
}

#[rstest]
#[case::answered(false, 10_000)]
#[case::with_an_attempt_on_its_way(true, 20_000)]
fn settled_retry_counts_while_a_window_may_have_its_arrival(
    #[case] held: bool,
    #[case] counted_ms: u64,
) {
    let mut budget = RetryBudget::new(RetryBounds { ratio: 0.0, extra: 2.0, ..BOUNDS });
    assert!(budget.try_spend(ms(0), &service(), 1));
    budget.settle(ms(1_000), &service(), held);
    let end = 1_000 + counted_ms;
    assert!(!budget.try_spend(ms(end - 1), &service(), 1), "a second retry in a window");
    assert!(budget.try_spend(ms(end), &service(), 1), "no retry after a window");
}

#[test]
fn retry_that_was_not_sent_is_given_back() {
    let mut budget = RetryBudget::new(RetryBounds { ratio: 0.0, extra: 2.0, ..BOUNDS });
    assert!(budget.try_spend(ms(0), &service(), 1));
    budget.release(&service());
    assert!(budget.try_spend(ms(1), &service(), 1));
    assert!(!budget.try_spend(ms(2), &service(), 1));
}

/// The arrivals that links hold back come up to 10 s after their charge.
#[test]
fn held_retries_of_several_windows_do_not_arrive_in_one() {
    let mut budget = RetryBudget::new(BOUNDS);
    let spent = retry(&mut budget, (0, 60_000), 1, |budget, now| {
        budget.settle(now, &service(), true);
    });
    let worst = spent.iter().map(|start| {
        let arrivals = spent.iter().filter(|at| (*start..start + 20_000).contains(*at));
        arrivals.count()
    });
    let worst = worst.max().unwrap_or(0);
    assert!(worst > 0 && worst <= ALLOWED, "{worst} in a window, {ALLOWED} allowed");
}

// Guards against gateways that are each cut off dividing the constant by the few they still know.
#[test]
fn gateways_that_are_each_cut_off_for_long_keep_their_shares() {
    const GATEWAYS: usize = 9;
    let bounds = RetryBounds { ratio: 0.0, ..BOUNDS };
    let all = (0..GATEWAYS).map(|_| {
        let mut budget = RetryBudget::new(bounds);
        budget.record_gateways(ms(60_000), GATEWAYS);
        budget.record_gateways(ms(120_250), 1);
        retry(&mut budget, (121_000, 130_000), 1, |_, _| {}).len()
    });
    let retries: usize = all.sum();
    assert!(retries > 0 && retries <= 40, "{retries} retries in a window, 40 allowed");
}

#[test]
fn gateways_that_are_long_gone_leave_their_shares() {
    let mut budget = RetryBudget::new(RetryBounds { ratio: 0.0, ..BOUNDS });
    budget.record_gateways(ms(0), 100);
    budget.record_gateways(ms(1_000), 10);
    assert!(!budget.try_spend(ms(1_000), &service(), 10));
    budget.record_gateways(ms(3_600_000), 10);
    assert!(budget.try_spend(ms(3_600_000), &service(), 10));
}
