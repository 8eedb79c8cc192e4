//! Pace of endpoints that start, recover or end a pause while many gateways have requests for them.

mod fleet;

use rand::{SeedableRng as _, rngs::SmallRng};
use rstest::rstest;
use sequoiahold_core::{
    direct::{
        cells::Relation,
        endpoint_state::{AttemptOutcome, InFlightLoad},
        pace::Pace,
        scheduler::{Decision, Grant, Scheduler},
        view::View,
    },
    time::Time,
    units::Span,
};

use self::fleet::{entry, ms, publish, request, schedulers, schedulers_with, view};

/// The slots of the endpoint.
const SLOTS: u32 = 8;
/// A time after the restart of the endpoint.
const RESTARTED: Time = Time(1_000_000);

/// Submits `count` requests and returns the granted slots.
fn submit(scheduler: &mut Scheduler, now: Time, count: usize, rng: &mut SmallRng) -> Vec<Grant> {
    let decisions = (0..count).map(|_| scheduler.submit(now, request(now), rng));
    let granted = |decision| match decision {
        Decision::Dispatch(grant) => Some(grant),
        Decision::Wait(_) | Decision::Refuse(_) => None,
    };
    decisions.filter_map(granted).collect()
}

fn answer(scheduler: &mut Scheduler, now: Time, grants: impl IntoIterator<Item = Grant>) {
    for mut grant in grants {
        scheduler.record_first_event(now, &grant);
        scheduler.release(now, &mut grant, AttemptOutcome::Answered);
    }
}

fn limit(scheduler: &Scheduler) -> Option<u32> {
    let (_, state) = scheduler.endpoints().next().expect("an endpoint");
    state.pace.limit()
}

/// Returns gateways whose only endpoint has answered once and then restarted.
fn restarted(count: usize, cold_rate: Option<f64>, pace: bool) -> (Vec<Scheduler>, View) {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut view = view(1, cold_rate);
    let mut gateways = schedulers_with(count, &view, pace);
    for scheduler in &mut gateways {
        let grants = submit(scheduler, ms(0), 1, &mut rng);
        answer(scheduler, ms(0), grants);
    }
    publish(&mut view, entry(0, 2_000));
    gateways.iter_mut().for_each(|scheduler| scheduler.update(&view));
    (gateways, view)
}

#[rstest]
#[case::paced(true, 1)]
#[case::unpaced(false, 200)]
fn started_endpoint_gets_few_of_the_requests_of_many_gateways(
    #[case] pace: bool,
    #[case] expected: usize,
) {
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut gateways, _) = restarted(33, None, pace);
    let granted = gateways.iter_mut().map(|it| submit(it, RESTARTED, 8, &mut rng).len());
    let granted: usize = granted.sum();
    assert!(if pace { granted == expected } else { granted >= expected }, "{granted}");
}

/// Gateways that are not the primary send to a started endpoint after a second, each at its own pace.
#[test]
fn started_endpoint_serves_all_gateways_after_a_second() {
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut gateways, _) = restarted(33, None, true);
    let mut placed = |now| -> Vec<usize> {
        let mut granted = |it: &mut Scheduler| {
            // The requests of before have expired.
            it.dispatch_queued(now, &mut rng);
            submit(it, now, 8, &mut rng).len()
        };
        gateways.iter_mut().map(&mut granted).collect()
    };
    placed(RESTARTED);
    let later = placed(RESTARTED + Span::millis(1_000));
    assert_eq!(later.iter().filter(|count| **count == 1).count(), 32, "{later:?}");
}

#[test]
fn good_answers_bring_the_pace_to_the_slots() {
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut gateways, _) = restarted(1, None, true);
    let scheduler = &mut gateways[0];
    let mut rounds = vec![];
    for round in 0..4 {
        let now = RESTARTED + Span::millis(round * 100);
        let grants = submit(scheduler, now, 20, &mut rng);
        rounds.push(grants.len());
        answer(scheduler, now + Span::millis(50), grants);
        scheduler.dispatch_queued(now + Span::secs(3), &mut rng);
    }
    assert_eq!(rounds, [1, 2, 4, 8]);
    assert_eq!(limit(scheduler), None);
}

#[test]
fn new_instance_is_paced_and_those_listed_at_the_start_are_not() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut view = view(1, None);
    let mut scheduler = schedulers_with(1, &view, true).remove(0);
    assert_eq!(limit(&scheduler), None);
    publish(&mut view, entry(1, 1_000));
    scheduler.update(&view);
    assert_eq!(scheduler.paced_endpoints(), 0);
    let grants = submit(&mut scheduler, ms(0), 1, &mut rng);
    answer(&mut scheduler, ms(0), grants);
    publish(&mut view, entry(2, 2_000));
    scheduler.update(&view);
    assert_eq!(scheduler.paced_endpoints(), 1);
}

#[test]
fn slow_endpoint_keeps_a_small_limit_that_is_never_zero() {
    let mut pace = Pace::default();
    pace.begin(64);
    for step in 0..40 {
        let sent = ms(step * 1_000);
        pace.record_first_event(sent + Span::millis(251), sent, 100, 64);
        assert!(pace.limit().is_some_and(|limit| (1..8).contains(&limit)));
    }
    assert_eq!(pace.limit(), Some(1));
    assert!(pace.allows(ms(50_000), Relation::Outside, 0, 0));
    pace.record_first_event(ms(50_250), ms(50_000), 100, 64);
    assert_eq!(pace.limit(), Some(2));
}

#[test]
fn refusals_halve_the_limit_once_for_the_requests_sent_before() {
    let mut pace = Pace::default();
    pace.begin(64);
    (1..=8).for_each(|sent| pace.record_refusal(ms(20), ms(sent)));
    assert_eq!(pace.limit(), Some(4));
    pace.record_refusal(ms(40), ms(20));
    assert_eq!(pace.limit(), Some(2));
}

#[rstest]
#[case::full(AttemptOutcome::Full, 2)]
#[case::failed(AttemptOutcome::Failed, 2)]
#[case::dropped(AttemptOutcome::Dropped, 4)]
fn outcomes_of_requests_set_the_limit(#[case] outcome: AttemptOutcome, #[case] expected: u32) {
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut gateways, _) = restarted(1, None, true);
    let scheduler = &mut gateways[0];
    let grants = submit(scheduler, RESTARTED, 1, &mut rng);
    answer(scheduler, RESTARTED, grants);
    let grants = submit(scheduler, RESTARTED, 2, &mut rng);
    answer(scheduler, RESTARTED, grants);
    assert_eq!(limit(scheduler), Some(4));
    let mut grant = submit(scheduler, RESTARTED, 1, &mut rng).remove(0);
    scheduler.release(RESTARTED + Span::millis(10), &mut grant, outcome);
    assert_eq!(limit(scheduler), Some(expected));
}

#[test]
fn recovered_endpoint_is_paced_but_never_idle() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut scheduler = schedulers_with(1, &view(1, None), true).remove(0);
    for mut grant in submit(&mut scheduler, ms(0), 2, &mut rng) {
        scheduler.release(ms(1), &mut grant, AttemptOutcome::Failed);
    }
    assert!(submit(&mut scheduler, ms(10), 1, &mut rng).is_empty());
    scheduler.dispatch_queued(ms(500), &mut rng);
    let back = ms(700);
    let grants = submit(&mut scheduler, back, 1, &mut rng);
    assert_eq!(grants.len(), 1);
    answer(&mut scheduler, back, grants);
    assert_eq!(limit(&scheduler), Some(1));
    let (key, _) = scheduler.endpoints().next().expect("an endpoint");
    scheduler.set_peer_load(back, key, InFlightLoad { requests: SLOTS - 2, prefill_ms: 0 });
    assert_eq!(submit(&mut scheduler, back, 4, &mut rng).len(), 1);
}

#[test]
fn endpoint_is_paced_after_a_pause() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut scheduler = schedulers_with(1, &view(1, None), true).remove(0);
    let mut grant = submit(&mut scheduler, ms(0), 1, &mut rng).remove(0);
    scheduler.record_pause(ms(1), &grant, Span::secs(1));
    scheduler.release(ms(1), &mut grant, AttemptOutcome::Full);
    assert_eq!(limit(&scheduler), Some(1));
}

#[test]
fn nothing_changes_with_the_setting_off() {
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut gateways, view) = restarted(1, None, false);
    let granted = submit(&mut gateways[0], RESTARTED, 20, &mut rng);
    assert_eq!(granted.len(), SLOTS as usize);
    assert_eq!(gateways[0].paced_endpoints(), 0);
    let unpaced = &mut schedulers(1, &view)[0];
    assert_eq!(submit(unpaced, RESTARTED, 20, &mut rng).len(), granted.len());
}

/// The rate limit of cold endpoints is (2 * 1.5 + 5) * 0.9 requests per second.
#[test]
fn cold_limit_binds_after_the_pace() {
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut gateways, _) = restarted(1, Some(2.0), true);
    let scheduler = &mut gateways[0];
    let mut sent = 0;
    for step in 0..40 {
        let now = RESTARTED + Span::millis(300 + step * 20);
        let grants = submit(scheduler, now, 1, &mut rng);
        sent += grants.len();
        answer(scheduler, now, grants);
    }
    assert!(sent <= 7, "{sent}");
    assert_eq!(limit(scheduler), None);
}
