//! The published state as one process knows it.

use sequoiahold_core::{
    direct::{
        catalog::{Catalog, EndpointEntry},
        platform::PublishedValue,
        view::{AnnouncedVersion, Effect, View},
    },
    ids::{InstanceId, ModelId},
    time::Time,
    units::Span,
};

fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn model() -> ModelId {
    "m".parse().expect("valid name")
}

fn target(version: u64) -> PublishedValue {
    PublishedValue::TargetVersion(model(), Some(version))
}

fn instance() -> InstanceId {
    "i-1".parse().expect("valid name")
}

fn listed() -> PublishedValue {
    let entry = EndpointEntry {
        instance: instance(),
        service: "llm".parse().expect("valid name"),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "z1".parse().expect("valid name"),
        slots: 4,
        leaving: false,
        cold_time: Span(0),
        loaded: None,
        started_ms: None,
    };
    PublishedValue::Endpoint(instance(), Some(entry))
}

#[test]
fn newer_version_does_not_extend_the_deadline_of_an_older_one() {
    let mut view = View::default();
    view.apply(at(1_000), target(2), true);
    view.apply(at(3_000), target(3), true);
    let target = view.target(&model()).expect("a version");
    let after = Span::secs(6);
    assert_eq!(target.newest(), 3);
    assert_eq!(target.min_usable(at(6_999), after), None);
    assert_eq!(target.min_usable(at(7_000), after), Some(2));
    assert_eq!(target.min_usable(at(9_000), after), Some(3));
    assert_eq!(target.rollout_start(Some(1)), at(1_000));
    assert_eq!(target.rollout_start(Some(2)), at(3_000));
}

#[test]
fn restarted_process_uses_no_old_version_until_a_peer_reports_its_age() {
    let mut view = View::default();
    view.apply(at(50), target(2), false);
    assert_eq!(
        view.target(&model()).expect("a version").min_usable(at(50), Span::secs(6)),
        Some(2)
    );
    view.merge_announcement(
        at(100),
        AnnouncedVersion { model: model(), version: 2, age: Span::secs(4) },
    );
    let target = view.target(&model()).expect("a version");
    assert_eq!(target.min_usable(at(2_000), Span::secs(6)), None);
    assert_eq!(target.min_usable(at(2_100), Span::secs(6)), Some(2));
}

#[test]
fn only_known_version_ages_are_reported() {
    let mut view = View::default();
    view.apply(at(50), target(2), false);
    assert_eq!(view.announced_versions(at(100)), []);
    view.apply(at(1_000), target(3), true);
    let announced = AnnouncedVersion { model: model(), version: 3, age: Span::millis(500) };
    assert_eq!(view.announced_versions(at(1_500)), [announced]);
}

#[test]
fn older_configuration_is_ignored() {
    let mut view = View::default();
    let set = |version| PublishedValue::Catalog(Box::new(Catalog::new(version, [])));
    assert_eq!(view.apply(at(0), set(4), true), Effect::Catalog);
    assert_eq!(view.apply(at(1), set(3), true), Effect::None);
    assert_eq!(view.catalog().expect("a configuration").version, 4);
}

#[test]
fn entry_missing_after_an_outage_is_removed_after_a_grace_period() {
    let mut view = View::default();
    view.apply(at(0), listed(), true);
    view.record_recovery(at(10_000));
    view.apply(at(10_000), PublishedValue::Endpoint(instance(), None), false);
    assert!(!view.expire_endpoints(at(11_600)));
    assert!(view.endpoints().contains_key(&instance()));
    assert!(view.expire_endpoints(at(11_700)));
    assert!(view.endpoints().is_empty());
}

#[test]
fn entry_that_returns_after_an_outage_is_kept() {
    let mut view = View::default();
    view.apply(at(0), listed(), true);
    view.record_recovery(at(10_000));
    view.apply(at(10_000), PublishedValue::Endpoint(instance(), None), false);
    view.apply(at(11_000), listed(), true);
    assert!(!view.expire_endpoints(at(20_000)));
    assert!(view.endpoints().contains_key(&instance()));
}

#[test]
fn removed_entry_is_dropped_at_once_while_the_platform_answers() {
    let mut view = View::default();
    view.apply(at(0), listed(), true);
    view.apply(at(100), PublishedValue::Endpoint(instance(), None), true);
    assert!(view.endpoints().is_empty());
}
