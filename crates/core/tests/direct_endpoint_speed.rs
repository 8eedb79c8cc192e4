//! Endpoints on shared machines, whose speed changes: what their answers say decides placement.

use std::collections::BTreeMap;

use rand::{SeedableRng as _, rngs::SmallRng};
use rstest::rstest;
use sequoiahold_core::{
    direct::{
        catalog::{Catalog, EndpointEntry, EngineSpec, Service},
        endpoint_speed::EndpointSpeed,
        endpoint_state::AttemptOutcome,
        engine_model::{decode_answer_ms, prefill_ms},
        platform::PublishedValue,
        scheduler::{Decision, Grant, PlacementRequest, Scheduler, SchedulerConfig},
        view::View,
    },
    ids::InstanceId,
    time::Time,
    units::Span,
};

const SLOTS: u32 = 12;

fn ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

fn engine() -> EngineSpec {
    EngineSpec {
        slots: SLOTS,
        step_ms: 7.4,
        request_ms: 0.04,
        context_ms: 0.02,
        prefill_rate: 31_900.0,
        pairs_ms: 0.7,
        chunk_tokens: 2_048,
        pass_steps: 7,
        cache_tokens: 685_000,
        mean_prompt: 900,
        mean_answer: 100,
        models: vec![],
        load_time: Span::millis(300),
        weights: None,
    }
}

fn entry(index: usize, zone: &str, started_ms: u64) -> EndpointEntry {
    EndpointEntry {
        instance: name(&format!("i-{index}")),
        service: name("llm"),
        addr: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        zone: name(zone),
        slots: SLOTS,
        leaving: false,
        cold_time: Span(0),
        loaded: None,
        started_ms: Some(started_ms),
    }
}

fn publish(view: &mut View, entry: EndpointEntry) {
    let published = PublishedValue::Endpoint(entry.instance.clone(), Some(entry));
    view.apply(ms(0), published, Some(ms(0)));
}

fn view(zones: &[&str]) -> View {
    let mut catalog = Catalog::new(1, []);
    let service = Service {
        name: name("llm"),
        max_connections: 100,
        cold_rate: None,
        engine: Some(engine()),
        origin: None,
    };
    catalog.services.insert(name("llm"), service);
    let mut view = View::default();
    view.apply(ms(0), PublishedValue::Catalog(Box::new(catalog)), Some(ms(0)));
    zones.iter().enumerate().for_each(|(index, zone)| publish(&mut view, entry(index, zone, 1)));
    view
}

fn scheduler(view: &View) -> Scheduler {
    let regions = [("z1", "r1"), ("z2", "r2")];
    let regions: BTreeMap<_, _> =
        regions.into_iter().map(|(zone, region)| (name(zone), name(region))).collect();
    let mut scheduler = Scheduler::new(SchedulerConfig {
        zone: name("z1"),
        regions,
        rollout_time: Span::secs(8),
        cold_factor: 1.5,
        cold_extra: 5.0,
    });
    scheduler.update(view);
    scheduler
}

fn request(now: Time, answer: u32) -> PlacementRequest {
    PlacementRequest {
        service: name("llm"),
        account: None,
        priority: 1,
        regions: None,
        model: None,
        tokens: (900, answer),
        objective: now + Span::millis(400),
        deadline: now + Span::secs(6),
        tried: vec![],
        healthy_only: false,
    }
}

fn place(scheduler: &mut Scheduler, now: Time, answer: u32, rng: &mut SmallRng) -> Option<Grant> {
    match scheduler.submit(now, request(now, answer), rng) {
        Decision::Dispatch(grant) => Some(grant),
        _ => None,
    }
}

/// Places and answers requests until each of two endpoints has stated its factor.
fn state_factors(scheduler: &mut Scheduler, now: Time, factors: [f64; 2], rng: &mut SmallRng) {
    let grants: Vec<Grant> = (0..4).filter_map(|_| place(scheduler, now, 1, rng)).collect();
    for mut grant in grants {
        let index = usize::from(grant.instance == name("i-1"));
        scheduler.record_speed(now, &grant, factors[index]);
        scheduler.release(now, &mut grant, AttemptOutcome::Answered);
    }
}

#[test]
fn an_unknown_speed_is_as_usual() {
    assert_eq!(EndpointSpeed::default().expected(ms(5), Span::secs(3)), 1.0);
}

#[test]
fn a_single_figure_counts_for_the_moment_and_little_for_a_long_answer() {
    let mut speed = EndpointSpeed::default();
    speed.record(ms(1_000), 3.0);
    assert!(speed.expected(ms(1_000), Span::millis(20)) > 2.8);
    let long = speed.expected(ms(1_000), Span::secs(5));
    assert!((1.3..1.9).contains(&long), "{long}");
}

#[test]
fn figures_that_stay_high_count_for_a_long_answer() {
    let mut speed = EndpointSpeed::default();
    (0..40).for_each(|index| speed.record(ms(index * 200), 2.5));
    assert!(speed.expected(ms(8_000), Span::secs(5)) > 2.0);
}

#[test]
fn a_speed_that_is_not_confirmed_fades_to_the_usual() {
    let mut speed = EndpointSpeed::default();
    (0..40).for_each(|index| speed.record(ms(index * 200), 2.5));
    let at = |now| speed.expected(ms(now), Span::millis(50));
    let factors = [8_000, 9_000, 12_000, 16_000, 40_000].map(at);
    assert!(factors.is_sorted_by(|earlier, later| earlier > later), "{factors:?}");
    assert!(factors[4] < 1.01, "{factors:?}");
}

#[rstest]
#[case::stuck_at_nothing(0.0)]
#[case::beyond_all_measure(1e9)]
fn a_factor_beyond_belief_is_bounded(#[case] factor: f64) {
    let mut speed = EndpointSpeed::default();
    speed.record(ms(0), factor);
    assert!((0.5..=10.0).contains(&speed.expected(ms(0), Span(1))));
}

/// Speeds that change at random every 600 ms, of which a gateway hears several times a second.
#[test]
fn the_expected_factor_has_a_smaller_square_error_than_the_usual_one() {
    use rand::Rng as _;
    let mut rng = SmallRng::seed_from_u64(11);
    let mut speed = EndpointSpeed::default();
    let (mut known, mut usual, mut factor) = (0.0, 0.0, 1.0);
    for step in 0..3_000_u64 {
        if step.is_multiple_of(6) {
            factor = if rng.random_bool(0.15) { 2.5 } else { 1.0 };
        }
        let now = ms(step * 100);
        known += (speed.expected(now, Span::millis(100)) - factor).powi(2);
        usual += f64::powi(1.0 - factor, 2);
        if rng.random_bool(0.5) {
            speed.record(now, factor);
        }
    }
    assert!(known < usual * 0.8, "{known} instead of {usual}");
}

#[test]
fn requests_prefer_the_faster_endpoint() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut scheduler = scheduler(&view(&["z1", "z1"]));
    state_factors(&mut scheduler, ms(1_000), [2.5, 1.0], &mut rng);
    let grants: Vec<Grant> =
        (0..6).filter_map(|_| place(&mut scheduler, ms(1_000), 40, &mut rng)).collect();
    let fast = grants.iter().filter(|grant| grant.instance == name::<InstanceId>("i-1")).count();
    assert_eq!(grants.len(), 6);
    assert!((4..6).contains(&fast), "{fast} of 6 at the faster endpoint");
}

/// The faster endpoint has the longer queue, which decides for a short answer but not for one that
/// the slower endpoint would not end before its deadline.
#[rstest]
#[case::short(10, "i-0")]
#[case::long(450, "i-1")]
fn a_long_answer_begins_where_it_ends_in_time(#[case] answer: u32, #[case] expected: &str) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut scheduler = scheduler(&view(&["z1", "z1"]));
    for round in 0..40 {
        state_factors(&mut scheduler, ms(1_000 + round * 100), [3.0, 1.0], &mut rng);
    }
    let now = ms(5_000);
    let grants: Vec<Grant> =
        (0..4).filter_map(|_| place(&mut scheduler, now, 10, &mut rng)).collect();
    let slow = grants.iter().find(|grant| grant.instance == name::<InstanceId>("i-0"));
    let mut slow = slow.expect("a short answer at the slower endpoint").clone();
    scheduler.release(now, &mut slow, AttemptOutcome::Answered);
    let grant = place(&mut scheduler, now, answer, &mut rng).expect("a free endpoint");
    assert_eq!(grant.instance, name(expected));
}

#[test]
fn a_restart_clears_the_speed() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut view = view(&["z1"]);
    let mut scheduler = scheduler(&view);
    let early = place(&mut scheduler, ms(1_000), 40, &mut rng).expect("a free endpoint");
    scheduler.record_speed(ms(1_000), &early, 4.0);
    let factor = |scheduler: &Scheduler| {
        let speed = scheduler.endpoints().map(|(_, state)| state.speed).next();
        speed.expect("an endpoint").expected(ms(1_000), Span(1))
    };
    assert!(factor(&scheduler) > 3.9);
    publish(&mut view, entry(0, "z1", 2));
    scheduler.update(&view);
    assert_eq!(factor(&scheduler), 1.0);
    scheduler.record_speed(ms(1_000), &early, 4.0);
    assert_eq!(factor(&scheduler), 1.0, "an answer of the earlier start");
}

#[test]
fn a_longer_answer_and_a_fuller_batch_take_longer() {
    let spec = engine();
    let at = |requests, answer| decode_answer_ms(&spec, requests, answer);
    assert!(at(1, 100) < at(12, 100) && at(12, 100) < at(12, 200));
    // 100 steps of about 7.5 ms, and the prefill of one prompt.
    let alone = f64::from(at(1, 100)) - f64::from(prefill_ms(&spec, 900));
    assert!((740.0..770.0).contains(&alone), "{alone}");
}

/// Neither the batch nor a deadline that is too short anyway moves a request away from the endpoint
/// with the least work where no speed is stated.
#[test]
fn a_hopeless_deadline_changes_nothing_at_the_usual_speed() {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut scheduler = scheduler(&view(&["z1", "z1"]));
    let first = place(&mut scheduler, ms(0), 40, &mut rng).expect("a free endpoint");
    let second = place(&mut scheduler, ms(0), 40, &mut rng).expect("a free endpoint");
    let third = place(&mut scheduler, ms(0), 40, &mut rng).expect("a free endpoint");
    assert_ne!(first.instance, second.instance);
    let least = if third.instance == first.instance { &second } else { &first };
    let mut hopeless = request(ms(0), 40);
    (hopeless.tokens, hopeless.deadline) = ((900, u32::MAX), ms(500));
    match scheduler.submit(ms(0), hopeless, &mut rng) {
        Decision::Dispatch(grant) => assert_eq!(grant.instance, least.instance),
        other => panic!("{other:?}"),
    }
}
