//! Times by which placed requests must have begun.

use std::collections::BTreeMap;

use rand::{SeedableRng as _, rngs::SmallRng};
use sequoiahold_core::{
    direct::{
        catalog::EndpointEntry,
        platform::PublishedValue,
        scheduler::{Decision, PlacementRequest, Scheduler, SchedulerConfig},
        view::View,
    },
    ids::InstanceId,
    time::Time,
    units::Span,
};

fn ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

fn endpoint_without_models() -> PublishedValue {
    let instance: InstanceId = name("i-1");
    let entry = EndpointEntry {
        instance: instance.clone(),
        service: name("llm"),
        addr: ([127, 0, 0, 1], 1_000).into(),
        zone: name("z1"),
        slots: 4,
        leaving: false,
        cold_time: Span(0),
        loaded: None,
        started_ms: None,
    };
    PublishedValue::Endpoint(instance, Some(entry))
}

fn request(now: Time) -> PlacementRequest {
    PlacementRequest {
        service: name("llm"),
        account: None,
        priority: 1.into(),
        regions: None,
        model: Some(name("m")),
        tokens: (1_000, 90),
        objective: now + Span::millis(500),
        deadline: now + Span::secs(6),
        tried: vec![],
        healthy_only: false,
    }
}

/// Such an endpoint may hold the version before.
#[test]
fn request_to_an_endpoint_of_unknown_version_is_withdrawn_within_the_rollout_time() {
    let mut view = View::default();
    view.apply(ms(0), endpoint_without_models(), Some(ms(0)));
    view.apply(ms(0), PublishedValue::TargetVersion(name("m"), Some(2)), Some(ms(0)));
    let mut scheduler = Scheduler::new(SchedulerConfig {
        zone: name("z1"),
        regions: BTreeMap::from([(name("z1"), name("r1"))]),
        rollout_time: Span::secs(8),
        cold_factor: 1.5,
        cold_extra: 5.0,
        pace: false,
    });
    scheduler.update(&view);
    let mut rng = SmallRng::seed_from_u64(1);
    let Decision::Dispatch(grant) = scheduler.submit(ms(6_000), request(ms(6_000)), &mut rng)
    else {
        panic!("room")
    };
    assert_eq!(grant.version, None);
    let begin_by = scheduler.begin_by(&view, &grant);
    assert!(begin_by.is_some_and(|by| by < ms(8_000)), "{begin_by:?}");
}
