//! The published state as one process knows it.

use sequoiahold_core::{
    direct::{
        catalog::{Catalog, EndpointEntry, LoadedModel},
        freshness::Freshness,
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
    view.apply(at(1_000), target(2), Some(at(1_000)));
    view.apply(at(3_000), target(3), Some(at(3_000)));
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
    view.apply(at(50), target(2), None);
    assert_eq!(
        view.target(&model()).expect("a version").min_usable(at(50), Span::secs(6)),
        Some(2)
    );
    let announced = AnnouncedVersion { model: model(), version: 2, age: Span::secs(4) };
    assert!(view.merge_announcement(at(100), None, announced));
    let target = view.target(&model()).expect("a version");
    assert_eq!(target.min_usable(at(2_000), Span::secs(6)), None);
    assert_eq!(target.min_usable(at(2_100), Span::secs(6)), Some(2));
}

#[test]
fn unknown_version_ages_are_reported_as_such() {
    let mut view = View::default();
    view.apply(at(50), target(2), None);
    let ages = |view: &View, now| {
        let announced = view.announced_versions(now).into_iter();
        announced.map(|announced| (announced.version, announced.known_age())).collect::<Vec<_>>()
    };
    assert_eq!(ages(&view, at(100)), [(2, None)]);
    view.apply(at(1_000), target(3), Some(at(1_000)));
    assert_eq!(ages(&view, at(1_500)), [(2, None), (3, Some(Span::millis(500)))]);
}

#[test]
fn older_configuration_is_ignored() {
    let mut view = View::default();
    let set = |version| PublishedValue::Catalog(Box::new(Catalog::new(version, [])));
    assert_eq!(view.apply(at(0), set(4), Some(at(0))), Effect::Catalog);
    assert_eq!(view.apply(at(1), set(3), Some(at(1))), Effect::None);
    assert_eq!(view.catalog().expect("a configuration").version, 4);
}

#[test]
fn entry_missing_after_an_outage_is_removed_after_a_grace_period() {
    let mut view = View::default();
    view.apply(at(0), listed(), Some(at(0)));
    view.record_recovery(at(10_000));
    view.apply(at(10_000), PublishedValue::Endpoint(instance(), None), None);
    assert!(!view.expire_endpoints(at(11_600)));
    assert!(view.endpoints().contains_key(&instance()));
    assert!(view.expire_endpoints(at(11_700)));
    assert!(view.endpoints().is_empty());
}

#[test]
fn entry_that_returns_after_an_outage_is_kept() {
    let mut view = View::default();
    view.apply(at(0), listed(), Some(at(0)));
    view.record_recovery(at(10_000));
    view.apply(at(10_000), PublishedValue::Endpoint(instance(), None), None);
    view.apply(at(11_000), listed(), Some(at(11_000)));
    assert!(!view.expire_endpoints(at(20_000)));
    assert!(view.endpoints().contains_key(&instance()));
}

#[test]
fn removed_entry_is_dropped_at_once_while_the_platform_answers() {
    let mut view = View::default();
    view.apply(at(0), listed(), Some(at(0)));
    view.apply(at(100), PublishedValue::Endpoint(instance(), None), Some(at(100)));
    assert!(view.endpoints().is_empty());
}

/// A watch falls silent at 1 s; the version is published right after and heard of at 3.6 s.
#[test]
fn version_heard_of_late_counts_from_the_last_time_without_it() {
    let (mut view, mut freshness) = (View::default(), Freshness::default());
    freshness.record_read(at(900));
    view.apply(at(3_600), target(2), freshness.earliest_change());
    let target = view.target(&model()).expect("a version");
    assert_eq!(target.min_usable(at(6_899), Span::secs(6)), None);
    assert_eq!(target.min_usable(at(6_900), Span::secs(6)), Some(2));
}

#[test]
fn rollout_does_not_count_the_time_of_an_outage() {
    let mut freshness = Freshness::default();
    freshness.record_read(at(1_000));
    freshness.record_outage(at(3_000));
    assert_eq!(freshness.earliest_change(), Some(at(1_000)));
    freshness.record_outage(at(23_000));
    assert_eq!(freshness.earliest_change(), Some(at(21_000)));
    freshness.record_peer(at(13_000), Span(0));
    assert_eq!(freshness.earliest_change(), Some(at(23_000)));
    freshness.record_read(at(24_000));
    assert_eq!(freshness.earliest_change(), Some(at(24_000)));
}

#[test]
fn date_after_an_outage_is_bounded_where_the_last_read_is_old() {
    let mut freshness = Freshness::default();
    freshness.record_read(at(1_000));
    freshness.record_outage(at(60_000));
    freshness.record_outage(at(80_000));
    assert_eq!(freshness.earliest_change(), Some(at(77_000)));
}

/// A datagram that waited while the process stood still is dated by the last look at the socket.
#[test]
fn forwarded_change_counts_from_the_latest_known_bound() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.earliest_sent_change(at(50), Some(Span::millis(200))), None);
    assert_eq!(freshness.earliest_sent_change(at(500), Some(Span::millis(200))), Some(at(300)));
    freshness.record_peer(at(500), Span::millis(100));
    assert_eq!(freshness.earliest_sent_change(at(500), Some(Span::millis(200))), Some(at(400)));
    assert_eq!(freshness.earliest_sent_change(at(900), Some(Span::millis(200))), Some(at(700)));
    assert_eq!(freshness.age(at(900)), Some(Span::millis(500)));
}

#[test]
fn announced_age_is_later_than_told_for_no_reason_and_moves_no_known_date() {
    let mut view = View::default();
    let announced = |secs| AnnouncedVersion { model: model(), version: 2, age: Span::secs(secs) };
    assert!(view.merge_announcement(at(9_000), Some(at(6_000)), announced(4)));
    assert!(!view.merge_announcement(at(9_000), None, announced(1)));
    assert!(!view.merge_announcement(at(9_000), Some(at(6_000)), announced(6)));
    let target = view.target(&model()).expect("a version");
    assert_eq!(target.rollout_start(Some(1)), at(5_000));
}

/// Its own last read is all that a process has of a version that its peer cannot date.
#[test]
fn new_version_of_unknown_time_counts_from_the_own_last_read() {
    let mut view = View::default();
    view.apply(at(1_000), target(1), Some(at(1_000)));
    let mut peer = View::default();
    peer.apply(at(7_000), target(2), None);
    for announced in peer.announced_versions(at(9_000)) {
        assert!(view.merge_announcement(at(9_000), Some(at(6_000)), announced));
    }
    let target = view.target(&model()).expect("a version");
    assert_eq!(target.rollout_start(Some(1)), at(6_000));
}

#[test]
fn version_is_replaced_by_the_next_newer_one() {
    let mut view = View::default();
    view.apply(at(1_000), target(2), Some(at(1_000)));
    view.apply(at(3_000), target(3), Some(at(3_000)));
    let target = view.target(&model()).expect("a version");
    assert_eq!(target.replaced_for(1, Span::secs(6)), Some(at(7_000)));
    assert_eq!(target.replaced_for(2, Span::secs(6)), Some(at(9_000)));
    assert_eq!(target.replaced_for(3, Span::secs(6)), None);
}

/// The read of a started process shows version 3 only, so that it dates version 3 alone.
#[test]
fn replaced_version_that_a_peer_tells_is_not_dated_by_the_start_of_the_process() {
    let mut view = View::default();
    view.apply(at(100), target(3), None);
    let announced =
        |version, secs| AnnouncedVersion { model: model(), version, age: Span::secs(secs) };
    view.merge_announcement(at(200), Some(at(100)), announced(2, 5));
    view.merge_announcement(at(200), Some(at(100)), announced(3, 3));
    let target = view.target(&model()).expect("a version");
    assert_eq!(target.min_usable(at(1_199), Span::secs(6)), None);
    assert_eq!(target.min_usable(at(1_200), Span::secs(6)), Some(2));
    assert_eq!(target.min_usable(at(3_200), Span::secs(6)), Some(3));
}

/// Tells all versions that one process knows to another, at `now` of both.
fn tell(now: Time, from: &View, to: &mut View) {
    for announced in from.announced_versions(now) {
        to.merge_announcement(now, None, announced);
    }
}

/// All processes restarted after version 2, so that none knows its date; version 3 follows, and one
/// more process starts.
#[test]
fn version_replaced_at_an_unknown_time_is_not_used_by_a_later_process() {
    let (mut peer, mut started) = (View::default(), View::default());
    peer.apply(at(0), target(2), None);
    peer.apply(at(1_000), target(3), Some(at(1_000)));
    started.apply(at(2_000), target(3), None);
    tell(at(2_100), &peer, &mut started);
    for view in [&peer, &started] {
        let target = view.target(&model()).expect("a version");
        assert_eq!(target.min_usable(at(2_100), Span::secs(6)), Some(2));
        assert_eq!(target.min_usable(at(7_000), Span::secs(6)), Some(3));
    }
}

/// A process that followed the platform all the time learns nothing from one that did not.
#[test]
fn version_of_unknown_time_changes_nothing_where_all_are_known() {
    let (mut peer, mut complete) = (View::default(), View::default());
    peer.apply(at(0), target(2), None);
    peer.apply(at(1_000), target(3), Some(at(1_000)));
    // Versions 2 and 3 came with one answer.
    complete.apply(at(1_000), target(3), Some(at(500)));
    tell(at(2_000), &peer, &mut complete);
    let target = complete.target(&model()).expect("a version");
    assert_eq!(target.min_usable(at(6_499), Span::secs(6)), None);
    assert_eq!(target.min_usable(at(6_500), Span::secs(6)), Some(3));
}

/// More versions than are kept, published within the rollout time of the first.
#[test]
fn version_counts_from_its_first_successor_however_many_follow() {
    let mut view = View::default();
    for version in 2..20 {
        let published = at(version * 100);
        view.apply(published, target(version), Some(published));
    }
    let target = view.target(&model()).expect("a version");
    assert_eq!(target.replaced_for(1, Span::secs(6)), Some(at(6_200)));
    assert!(target.min_usable(at(6_200), Span::secs(6)) > Some(1));
}

// Guards against the notice of a load naming the instance of another writer's entry at the address.
#[test]
fn instance_at_an_address_is_found_beside_entries_of_other_writers() {
    let mut view = View::default();
    view.apply(at(0), listed(), Some(at(0)));
    let PublishedValue::Endpoint(_, Some(own)) = listed() else { unreachable!("an entry") };
    let others = [("a-1", "llm"), ("a-2", "llm-trial")].map(|(id, service)| EndpointEntry {
        instance: id.parse().expect("valid name"),
        service: service.parse().expect("valid name"),
        ..own.clone()
    });
    for other in others {
        let published = PublishedValue::Endpoint(other.instance.clone(), Some(other));
        view.apply(at(0), published, Some(at(0)));
    }
    let found: Vec<String> =
        view.instances_at(&own.service, own.addr).map(InstanceId::to_string).collect();
    assert_eq!(found, ["a-1", "i-1"]);
}

// Guards against versions that other services claim being taken for those of the engine's service.
#[test]
fn only_entries_of_the_service_claim_versions_of_its_model() {
    let mut view = View::default();
    let PublishedValue::Endpoint(_, Some(own)) = listed() else { unreachable!("an entry") };
    for (id, service, version, complete) in
        [("a", "llm", 2, true), ("b", "llm-trial", 9, true), ("c", "llm", 3, false)]
    {
        let instance: InstanceId = id.parse().expect("valid name");
        let loaded = Some(vec![LoadedModel { model: model(), version, complete }]);
        let service = service.parse().expect("valid name");
        let entry = EndpointEntry { instance: instance.clone(), service, loaded, ..own.clone() };
        view.apply(at(0), PublishedValue::Endpoint(instance, Some(entry)), Some(at(0)));
    }
    assert_eq!(view.claimed_versions(&own.service, &model()).collect::<Vec<u64>>(), [2]);
}
