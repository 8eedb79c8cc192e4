//! Versions that requests may use while a newer one is rolled out.

use std::collections::BTreeMap;

use rand::{SeedableRng as _, rngs::SmallRng};
use sequoiahold_core::{
    direct::{
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

const ROLLOUT: Span = Span::secs(8);

fn ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

fn catalog() -> PublishedValue {
    let mut catalog = Catalog::new(1, []);
    let engine = EngineSpec {
        slots: 16,
        step_ms: 10.0,
        request_ms: 0.02,
        context_ms: 0.03,
        prefill_rate: 20_000.0,
        pairs_ms: 1.0,
        chunk_tokens: 2_048,
        pass_steps: 5,
        cache_tokens: 300_000,
        mean_prompt: 1_000,
        mean_answer: 90,
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
    PublishedValue::Catalog(Box::new(catalog))
}

fn listed(number: u16, version: u64) -> PublishedValue {
    let instance: InstanceId = name(&format!("i-{number:02}"));
    let entry = EndpointEntry {
        instance: instance.clone(),
        service: name("llm"),
        addr: ([127, 0, 0, 1], 1_000 + number).into(),
        zone: name("z1"),
        slots: 16,
        leaving: false,
        cold_time: Span(0),
        loaded: Some(vec![LoadedModel { model: name("m"), version, complete: true }]),
        started_ms: None,
    };
    PublishedValue::Endpoint(instance, Some(entry))
}

/// Returns the scheduler of a gateway with two endpoints on version 1 while version 2 is rolled out,
/// which was announced at 0 ms.
fn scheduler() -> Scheduler {
    let mut view = View::default();
    let version = |version| PublishedValue::TargetVersion(name("m"), Some(version));
    [catalog(), version(1), version(2), listed(0, 1), listed(1, 1)].into_iter().for_each(|value| {
        view.apply(ms(0), value, true);
    });
    let mut scheduler = Scheduler::new(SchedulerConfig {
        zone: name("z1"),
        regions: BTreeMap::from([(name("z1"), name("r1"))]),
        rollout_time: ROLLOUT,
        cold_factor: 1.5,
        cold_extra: 5.0,
    });
    scheduler.update(&view);
    scheduler
}

fn submit(scheduler: &mut Scheduler, now: Time) -> Option<Grant> {
    let request = PlacementRequest {
        service: name("llm"),
        account: None,
        priority: 1,
        regions: None,
        model: Some(name("m")),
        tokens: (1_000, 90),
        objective: now + Span::millis(500),
        deadline: now + Span::secs(6),
        tried: vec![],
        healthy_only: false,
    };
    let decision = scheduler.submit(now, request, &mut SmallRng::seed_from_u64(now.0));
    if let Decision::Dispatch(grant) = decision { Some(grant) } else { None }
}

/// Places requests from `start` to `end`, each of which gets its first event after 50 ms, and
/// returns the instances that received them.
fn place_until(scheduler: &mut Scheduler, start: Time, end: Time) -> Vec<InstanceId> {
    let mut instances = vec![];
    for at in (start.0..end.0).step_by(100_000).map(Time) {
        let Some(mut grant) = submit(scheduler, at) else { continue };
        instances.push(grant.instance.clone());
        scheduler.finish_prefill(at + Span::millis(50), &mut grant);
        scheduler.release(at + Span::millis(60), &mut grant, AttemptOutcome::Answered);
    }
    instances
}

#[test]
fn request_that_would_arrive_after_the_rollout_is_not_sent_to_a_delayed_endpoint() {
    let mut scheduler = scheduler();
    let mut slow = submit(&mut scheduler, ms(4_000)).expect("an endpoint is free");
    let delayed = slow.instance.clone();
    scheduler.release(ms(5_200), &mut slow, AttemptOutcome::Failed);
    let instances = place_until(&mut scheduler, ms(5_200), ms(6_500));
    let late = instances.iter().filter(|instance| **instance == delayed).count();
    assert_eq!(late, 0, "of {} requests on the old version", instances.len());
    assert_eq!(instances.len(), 13, "the other endpoint serves the old version until 6.56 s");
}

#[test]
fn delayed_endpoint_serves_the_old_version_while_there_is_time() {
    let mut scheduler = scheduler();
    let mut slow = submit(&mut scheduler, ms(1_000)).expect("an endpoint is free");
    let delayed = slow.instance.clone();
    scheduler.release(ms(2_200), &mut slow, AttemptOutcome::Failed);
    let instances = place_until(&mut scheduler, ms(2_200), ms(4_000));
    assert!(instances.contains(&delayed), "it has time for three times the delay");
}

#[test]
fn endpoint_whose_delay_has_passed_serves_the_old_version_again() {
    let mut scheduler = scheduler();
    let mut slow = submit(&mut scheduler, ms(0)).expect("an endpoint is free");
    let delayed = slow.instance.clone();
    scheduler.release(ms(1_200), &mut slow, AttemptOutcome::Failed);
    let instances = place_until(&mut scheduler, ms(5_300), ms(6_500));
    assert!(instances.contains(&delayed), "its last requests were answered in time");
}
