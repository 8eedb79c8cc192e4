//! Rate limits that endpoints advertise: parts of the gateways, reports, and refusals.

mod fleet;

use rand::{SeedableRng as _, rngs::SmallRng};
use rstest::rstest;
use sequoiahold_core::{
    direct::{
        availability::Cause,
        endpoint_state::AttemptOutcome,
        rate_limit::RateChange,
        scheduler::{Decision, Scheduler},
        send_time::{SendStamp, SendTimes},
    },
    ids::{Incarnation, InstanceId},
    refusal::Refusal,
    time::Time,
    units::{RequestRate, Span},
};

use self::fleet::{ms, name, request, schedulers, view};

/// The span in which the requests of all gateways are counted, in ms.
const LIMIT_WINDOW_MS: u64 = 4_000;
/// Submits a request that is answered at once; returns the endpoint's instance or the refusal,
/// `None` if it is queued.
fn submit(
    scheduler: &mut Scheduler,
    now: Time,
    rng: &mut SmallRng,
) -> Option<Result<InstanceId, Refusal>> {
    match scheduler.submit(now, request(now), rng) {
        Decision::Dispatch(mut grant) => {
            scheduler.release(now, &mut grant, AttemptOutcome::Answered);
            Some(Ok(grant.instance))
        }
        Decision::Refuse(refusal) => Some(Err(refusal)),
        Decision::Wait(_) => None,
    }
}

fn rate(text: &str) -> Option<RequestRate> {
    Some(name(text))
}

/// Every gateway has a request for the endpoint every 20 ms, and learns its limit only from the
/// answers to its own requests.
#[rstest]
#[case::one_gateway(1, "1")]
#[case::small_site(8, "1")]
#[case::small_site_fraction(8, "1.3")]
#[case::low_rate(33, "0.25")]
#[case::higher_rate(33, "12.5")]
#[case::large_site(149, "1")]
#[case::large_site_higher_rate(149, "40")]
fn endpoint_gets_at_most_the_rate_that_it_advertises(#[case] count: usize, #[case] limit: &str) {
    let instance: InstanceId = name("i-0");
    let mut rng = SmallRng::seed_from_u64(7);
    let mut sent = vec![];
    for (index, mut scheduler) in schedulers(count, &view(1, None)).into_iter().enumerate() {
        // The clocks of the processes differ.
        let started = index as u64 * 37 % 1_000;
        for step in 0..2_000 {
            let now = ms(started + step * 20);
            let placed = matches!(submit(&mut scheduler, now, &mut rng), Some(Ok(_)));
            let queued = scheduler.dispatch_queued(now, &mut rng).into_iter();
            let mut granted: Vec<_> = queued.filter_map(|(_, _, result)| result.ok()).collect();
            let count = usize::from(placed) + granted.len();
            granted.iter_mut().for_each(|grant| {
                scheduler.release(now, grant, AttemptOutcome::Answered);
            });
            if count > 0 {
                scheduler.record_rate_limit(now, &instance, rate(limit));
                sent.extend(std::iter::repeat_n(step * 20, count));
            }
        }
    }
    let due: Vec<u64> = sent.into_iter().filter(|at| *at >= 3_000).collect();
    let per_second = rate(limit).expect("a rate").per_second();
    let window_s = LIMIT_WINDOW_MS as f64 / 1e3;
    let allowed = 1.5 * per_second * window_s + 5.0;
    let in_window =
        |from: u64| due.iter().filter(|at| (from..from + LIMIT_WINDOW_MS).contains(*at)).count();
    let most = due.iter().map(|at| in_window(*at)).max().expect("requests after the limit is due");
    assert!(most as f64 <= allowed, "{most} requests within 4 s, {allowed} are allowed");
    let mean = due.len() as f64 / 37.0;
    assert!(mean >= per_second * 0.6, "{mean} requests a second at a limit of {limit}");
}

#[test]
fn gateways_share_a_limit_alike_for_each_endpoint() {
    let (gateways, endpoints) = (40, 30);
    let mut shares = vec![0; gateways];
    let mut schedulers = schedulers(gateways, &view(endpoints, None));
    for endpoint in 0..endpoints {
        let instance: InstanceId = name(&format!("i-{endpoint}"));
        for scheduler in &mut schedulers {
            scheduler.record_rate_limit(ms(1_000), &instance, rate("1"));
        }
    }
    for (share, scheduler) in shares.iter_mut().zip(&schedulers) {
        let now = ms(20_000);
        *share = scheduler
            .endpoints()
            .filter(|(_, state)| state.next_turn(now, gateways).is_some())
            .count();
    }
    // Six gateways share a limit of one request per second.
    assert_eq!(shares.iter().sum::<usize>(), 6 * endpoints);
    assert!(shares.iter().all(|share| *share <= 12), "{shares:?}");
}

#[test]
fn gateway_that_sends_nothing_learns_from_reports_that_a_limit_begins_and_ends() {
    let instance: InstanceId = name("i-0");
    let mut all = schedulers(2, &view(1, None));
    let [sender, listener] = &mut all[..] else { panic!("two schedulers") };
    assert_eq!(sender.record_rate_limit(ms(1_000), &instance, rate("2")), RateChange::Begun);
    assert_eq!(sender.record_rate_limit(ms(1_010), &instance, rate("2")), RateChange::None);
    let reports = sender.rate_limit_reports(ms(1_100));
    // The clock of the other process is another one.
    let changes = listener.merge_rate_limits(ms(9_100), reports.clone());
    assert_eq!(changes, [(instance.clone(), rate("2"))]);
    assert_eq!(listener.merge_rate_limits(ms(9_110), reports), []);
    assert_eq!(listener.rate_limited_endpoints(ms(9_200)), 1);
    assert_eq!(sender.record_rate_limit(ms(1_900), &instance, rate("3")), RateChange::Adjusted);
    assert_eq!(sender.record_rate_limit(ms(2_000), &instance, None), RateChange::Lifted);
    let ended = sender.rate_limit_reports(ms(2_100));
    assert_eq!(listener.merge_rate_limits(ms(10_100), ended), [(instance, None)]);
    assert_eq!(listener.rate_limited_endpoints(ms(10_100)), 0);
}

/// Returns the clock of a sender that is behind, at a time of the receiver's clock.
fn stamp(at: Time, behind: Span) -> Option<SendStamp> {
    Some(SendStamp { incarnation: Incarnation(1), at: Time(at.0 - behind.0) })
}

/// A report may wait in the socket of a process that stands still.
#[test]
fn report_that_was_held_up_does_not_bring_a_lifted_limit_back() {
    let instance: InstanceId = name("i-0");
    let (from, mut send_times) = (([127, 0, 0, 1], 7_000).into(), SendTimes::default());
    let mut read = |now, sent| send_times.estimate(now, ms(10_000), from, stamp(sent, Span(0)));
    let mut all = schedulers(2, &view(1, None));
    let [sender, listener] = &mut all[..] else { panic!("two schedulers") };
    sender.record_rate_limit(ms(1_000), &instance, rate("2"));
    let reports = sender.rate_limit_reports(ms(1_100));
    sender.record_rate_limit(ms(2_000), &instance, None);
    let sent = read(ms(10_100), ms(2_100));
    listener.merge_rate_limits(sent, sender.rate_limit_reports(ms(2_100)));
    let sent = read(ms(10_200), ms(1_100));
    assert_eq!(listener.merge_rate_limits(sent, reports), []);
    assert_eq!(listener.rate_limited_endpoints(ms(10_200)), 0);
}

/// All that other gateways told it meanwhile is read within a moment.
#[test]
fn gateway_that_stood_still_learns_that_a_limit_ended_meanwhile() {
    let instance: InstanceId = name("i-0");
    let addr = |port| ([127, 0, 0, 1], port).into();
    let behind = [Span::millis(700), Span::millis(400)];
    let mut send_times = SendTimes::default();
    for (port, behind) in behind.into_iter().enumerate() {
        send_times.estimate(ms(1_000), ms(990), addr(port as u16), stamp(ms(1_000), behind));
    }
    let mut all = schedulers(3, &view(1, None));
    let [first, second, listener] = &mut all[..] else { panic!("three schedulers") };
    first.record_rate_limit(ms(2_000), &instance, rate("2"));
    let begun = (first.rate_limit_reports(ms(2_000)), 0, ms(2_000));
    second.merge_rate_limits(ms(2_010), begun.0.clone());
    second.record_rate_limit(ms(3_000), &instance, None);
    let ended = (second.rate_limit_reports(ms(3_000)), 1, ms(3_000));
    for (reports, port, sent) in [begun, ended] {
        let stamp = stamp(sent, behind[port]);
        let sent = send_times.estimate(ms(6_000), ms(1_010), addr(port as u16), stamp);
        listener.merge_rate_limits(sent, reports);
    }
    assert_eq!(listener.rate_limited_endpoints(ms(6_000)), 0);
}

#[test]
fn report_that_arrives_late_does_not_replace_a_newer_answer() {
    let instance: InstanceId = name("i-0");
    let mut all = schedulers(2, &view(1, None));
    let [sender, listener] = &mut all[..] else { panic!("two schedulers") };
    sender.record_rate_limit(ms(1_000), &instance, rate("2"));
    listener.record_rate_limit(ms(1_050), &instance, rate("3"));
    assert_eq!(listener.merge_rate_limits(ms(1_060), sender.rate_limit_reports(ms(1_060))), []);
}

/// The end of a limit may be missed by a gateway that is cut off from the others.
#[test]
fn limit_that_nobody_confirms_is_disregarded_after_a_minute() {
    let instance: InstanceId = name("i-0");
    let [mut scheduler] = schedulers(1, &view(1, None)).try_into().expect("one scheduler");
    scheduler.record_rate_limit(ms(1_000), &instance, rate("1"));
    assert_eq!(scheduler.rate_limited_endpoints(ms(60_900)), 1);
    assert_eq!(scheduler.rate_limited_endpoints(ms(61_100)), 0);
}

#[test]
fn request_beyond_the_limits_of_all_endpoints_is_refused_at_once() {
    let instance: InstanceId = name("i-0");
    let mut rng = SmallRng::seed_from_u64(3);
    let [mut scheduler] = schedulers(1, &view(1, None)).try_into().expect("one scheduler");
    scheduler.record_rate_limit(ms(1_000), &instance, rate("1"));
    // One gateway has the whole limit, a request each second.
    assert!(matches!(submit(&mut scheduler, ms(5_000), &mut rng), Some(Ok(_))));
    let Some(Err(refusal)) = submit(&mut scheduler, ms(5_100), &mut rng) else {
        panic!("the next turn is too late for the request")
    };
    let retry = refusal.retry.expect("a retry delay");
    assert!(retry >= Span::millis(800) && retry <= Span::millis(900), "{retry}");
    // The next turn is near enough for one request, and for one only.
    assert!(submit(&mut scheduler, ms(5_960), &mut rng).is_none());
    let Some(Err(refusal)) = submit(&mut scheduler, ms(5_961), &mut rng) else {
        panic!("the turn is taken")
    };
    // The turn after that is out of reach, so the longest delay has the best chance.
    assert!(refusal.retry >= Some(Span::millis(800)), "{refusal:?}");
    assert_eq!(scheduler.dispatch_queued(ms(6_001), &mut rng).len(), 1);
}

/// Load pattern: all endpoints of a service are in need, and many callers are refused at once.
#[test]
fn callers_refused_by_a_limit_are_told_to_return_one_after_the_other() {
    let instance: InstanceId = name("i-0");
    let mut rng = SmallRng::seed_from_u64(3);
    let [mut scheduler] = schedulers(1, &view(1, None)).try_into().expect("one scheduler");
    scheduler.record_rate_limit(ms(1_000), &instance, rate("5"));
    assert!(matches!(submit(&mut scheduler, ms(5_000), &mut rng), Some(Ok(_))));
    let delays: Vec<u64> = (0..5)
        .map(|_| match submit(&mut scheduler, ms(5_010), &mut rng) {
            Some(Err(refusal)) => refusal.retry.expect("a retry delay").0 / 1_000,
            other => panic!("not refused: {other:?}"),
        })
        .collect();
    assert_eq!(delays, [190, 390, 590, 790, 190]);
}

#[test]
fn endpoint_without_a_limit_takes_what_the_others_may_not() {
    let instance: InstanceId = name("i-0");
    let mut rng = SmallRng::seed_from_u64(5);
    for mut scheduler in schedulers(8, &view(2, None)) {
        scheduler.record_rate_limit(ms(1_000), &instance, rate("1"));
        for step in 0..200 {
            let submitted = submit(&mut scheduler, ms(2_000 + step * 10), &mut rng);
            assert!(matches!(submitted, Some(Ok(_))), "{submitted:?}");
        }
    }
}

/// Operators look for a gateway's reason to send an endpoint nothing.
#[test]
fn endpoint_without_a_turn_counts_as_unavailable_by_its_limit() {
    let instance: InstanceId = name("i-0");
    let mut rng = SmallRng::seed_from_u64(3);
    let count = 8;
    let mut schedulers = schedulers(count, &view(1, None));
    let limited = |scheduler: &Scheduler, now| {
        let counts = scheduler.unavailable_endpoints(now).into_iter();
        let limited = counts.filter(|(cause, _)| cause.label() == "rate_limit");
        limited.map(|(_, endpoints)| endpoints).sum::<usize>()
    };
    for scheduler in &mut schedulers {
        scheduler.record_rate_limit(ms(1_000), &instance, rate("1"));
    }
    // Six gateways share a limit of one request per second, each with a turn within 6 s.
    let now = ms(20_000);
    let unlimited = schedulers.iter_mut().filter(|scheduler| limited(scheduler, now) == 0);
    let mut sent: Vec<&mut Scheduler> = unlimited
        .filter_map(|scheduler| submit(scheduler, now, &mut rng)?.is_ok().then_some(scheduler))
        .collect();
    assert_eq!(sent.len(), 6);
    let service = name("orders");
    let causes = |scheduler: &Scheduler, now| -> Vec<(Cause, Option<Time>)> {
        scheduler.causes(now, &service).map(|(_, cause, end)| (cause, end)).collect()
    };
    assert_eq!(causes(sent[0], ms(20_100)), [(Cause::RateLimit, Some(ms(26_000)))]);
    assert!(sent.iter_mut().all(|scheduler| limited(scheduler, ms(25_999)) == 1));
    assert!(sent.iter_mut().all(|scheduler| limited(scheduler, ms(26_000)) == 0));
    let without_part: Vec<_> =
        schedulers.iter().flat_map(|scheduler| causes(scheduler, ms(26_000))).collect();
    assert_eq!(without_part, [(Cause::RateLimit, None); 2]);
    for (scheduler, now) in schedulers.iter().zip([20_100, 26_000].into_iter().cycle()) {
        let is_available =
            scheduler.endpoints().any(|(_, state)| state.is_available(ms(now), count));
        assert_eq!(is_available, causes(scheduler, ms(now)).is_empty());
    }
}
