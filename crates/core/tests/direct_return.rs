//! Callers that return after a refusal: the time they have waited, and how they are served.

use rand::{SeedableRng as _, rngs::SmallRng};
use sequoiahold_core::{
    direct::{
        caller_time::CallerTime,
        catalog::{Catalog, EndpointEntry, EngineSpec, LoadedModel, Service},
        endpoint_state::AttemptOutcome,
        platform::PublishedValue,
        scheduler::{Decision, Grant, PlacementRequest, Scheduler, SchedulerConfig},
        view::View,
    },
    ids::InstanceId,
    time::Time,
    units::Span,
};

const TOTAL: Span = Span::secs(6);
const OBJECTIVE: Span = Span::millis(500);

fn ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

#[test]
fn waited_time_is_what_the_timeout_lacks_to_the_longest_one() {
    let mut time = CallerTime::default();
    assert_eq!(time.elapsed(ms(0), "a", Span::secs(4)), Span(0), "nothing is known yet");
    assert_eq!(time.elapsed(ms(10), "a", TOTAL), Span(0));
    assert_eq!(time.elapsed(ms(20), "a", Span::secs(4)), Span::secs(2));
    assert_eq!(time.elapsed(ms(20), "a", Span::millis(5_950)), Span(0), "a first attempt");
    assert_eq!(time.elapsed(ms(20), "b", Span::secs(4)), Span(0), "another route");
}

#[test]
fn longest_timeout_is_forgotten_when_callers_send_shorter_ones() {
    let mut time = CallerTime::default();
    time.elapsed(ms(0), "a", TOTAL);
    for at in (0..30).map(|step| ms(step * 1_000)) {
        time.elapsed(at, "a", Span::secs(3));
    }
    assert_eq!(time.elapsed(ms(30_000), "a", Span::secs(3)), Span(0));
}

fn scheduler() -> Scheduler {
    let mut view = View::default();
    let mut catalog = Catalog::new(1, []);
    let engine = EngineSpec {
        slots: 8,
        step_ms: 14.0,
        request_ms: 0.03,
        context_ms: 0.05,
        prefill_rate: 13_800.0,
        pairs_ms: 1.8,
        chunk_tokens: 2_048,
        pass_steps: 5,
        cache_tokens: 300_000,
        mean_prompt: 1_000,
        mean_answer: 70,
        models: vec![name("m")],
        load_time: Span::millis(300),
    };
    let service = Service {
        name: name("llm"),
        max_connections: 400,
        cold_rate: None,
        engine: Some(engine),
        origin: None,
    };
    catalog.services.insert(name("llm"), service);
    view.apply(ms(0), PublishedValue::Catalog(Box::new(catalog)), true);
    for number in 0..4 {
        let instance: InstanceId = name(&format!("i-{number}"));
        let loaded = LoadedModel { model: name("m"), version: 1, complete: true };
        let entry = EndpointEntry {
            instance: instance.clone(),
            service: name("llm"),
            addr: ([127, 0, 0, 1], 1_000 + number).into(),
            zone: name("z1"),
            slots: 8,
            leaving: false,
            cold_time: Span(0),
            loaded: Some(vec![loaded]),
            started_ms: None,
        };
        view.apply(ms(0), PublishedValue::Endpoint(instance, Some(entry)), true);
    }
    let mut scheduler = Scheduler::new(SchedulerConfig {
        zone: name("z1"),
        regions: [(name("z1"), name("r1"))].into(),
        rollout_time: Span::secs(8),
        cold_factor: 1.5,
        cold_extra: 5.0,
    });
    scheduler.update(&view);
    scheduler
}

#[derive(Clone, Copy)]
struct Caller {
    first: Time,
    returned: bool,
}

#[derive(Debug, Default)]
struct Totals {
    on_time: u32,
    late: u32,
    refused_twice: u32,
}

/// Replays 5 s of overload and what follows; with `known`, the scheduler is told the time that
/// callers have waited.
fn replay(known: bool) -> Totals {
    let mut scheduler = scheduler();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut arrivals: Vec<(Time, Caller)> = vec![];
    let mut at = 0;
    while at < 14_000 {
        let first = ms(at);
        arrivals.push((first, Caller { first, returned: false }));
        at += if (2_000..7_000).contains(&at) { 30 } else { 90 };
    }
    let mut running: Vec<(Time, Time, Grant)> = vec![];
    let mut waiting = vec![];
    let mut totals = Totals::default();
    for now in (0..22_000).step_by(10).map(ms) {
        for (ended, _, grant) in running.extract_if(.., |(ended, ..)| *ended <= now) {
            scheduler.release(ended, &mut { grant }, AttemptOutcome::Answered);
        }
        for (_, read, grant) in &mut running {
            if *read <= now {
                scheduler.finish_prefill(grant);
            }
        }
        let mut decided = vec![];
        for (_, caller) in arrivals.extract_if(.., |(at, _)| *at <= now) {
            let waited = if known { now - caller.first } else { Span(0) };
            let request = PlacementRequest {
                service: name("llm"),
                account: None,
                priority: 1,
                regions: None,
                model: Some(name("m")),
                tokens: (1_000, 70),
                objective: now + Span(OBJECTIVE.0.saturating_sub(waited.0)),
                deadline: caller.first + TOTAL,
                tried: vec![],
                healthy_only: false,
            };
            match scheduler.submit(now, request, &mut rng) {
                Decision::Dispatch(grant) => decided.push((caller, Ok(grant))),
                Decision::Wait(ticket) => waiting.push((ticket, caller)),
                Decision::Refuse(refusal) => decided.push((caller, Err(refusal))),
            }
        }
        for (_, ticket, result) in scheduler.dispatch_queued(now, &mut rng) {
            let index = waiting.iter().position(|(waiting, _)| *waiting == ticket);
            let (_, caller) = waiting.swap_remove(index.expect("a waiting request"));
            decided.push((caller, result));
        }
        for (caller, result) in decided {
            match result {
                Ok(grant) => {
                    let first_event = now + Span::millis(u64::from(grant.first_ms));
                    let on_time = first_event <= caller.first + OBJECTIVE;
                    *(if on_time { &mut totals.on_time } else { &mut totals.late }) += 1;
                    running.push((first_event + Span::millis(1_300), first_event, grant));
                }
                Err(_) if caller.returned => totals.refused_twice += 1,
                Err(refusal) => {
                    let delay = refusal.retry.expect("a time to come back");
                    arrivals.push((now + delay, Caller { returned: true, ..caller }));
                }
            }
        }
    }
    totals
}

#[test]
fn callers_that_return_after_a_burst_are_served_late_rather_than_refused_again() {
    let (unknown, known) = (replay(false), replay(true));
    assert!(known.refused_twice * 3 <= unknown.refused_twice * 2, "{known:?}, before {unknown:?}");
    assert!(known.on_time >= unknown.on_time, "{known:?}, before {unknown:?}");
}
