//! Ages of announced versions, as told between processes and kept by one.

use sequoiahold_core::{
    direct::{
        freshness::Freshness,
        platform::PublishedValue,
        view::{AnnouncedVersion, View},
    },
    ids::ModelId,
    time::Time,
    units::Span,
};

/// Time for which an older version may be used.
const USABLE: Span = Span::secs(6);

fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn model() -> ModelId {
    "m".parse().expect("valid name")
}

fn target(version: impl Into<Option<u64>>) -> PublishedValue {
    PublishedValue::TargetVersion(model(), version.into())
}

fn min_usable(view: &View, now: Time) -> Option<u64> {
    view.target(&model())?.min_usable(now, USABLE)
}

/// Returns the view of a process that sees these versions published, each 0.1 s times its number
/// after the start.
fn view_of(versions: impl IntoIterator<Item = u64>) -> View {
    let mut view = View::default();
    for version in versions {
        let published = at(version * 100);
        view.apply(published, target(version), Some(published));
    }
    view
}

/// Tells all versions that one process knows to another, at `now` of both.
fn tell(now: Time, from: &View, to: &mut View) {
    for announced in from.announced_versions(now) {
        to.merge_announcement(now, None, announced);
    }
}

/// More versions than are kept; the peer has not heard of the last ones.
#[test]
fn versions_told_by_a_lagging_peer_do_not_move_the_first_successor() {
    let (mut view, peer) = (view_of(2..20), view_of(2..10));
    assert!(min_usable(&view, at(6_200)) > Some(1));
    tell(at(2_000), &peer, &mut view);
    let target = view.target(&model()).expect("a version");
    assert_eq!(target.replaced_for(1, USABLE), Some(at(6_200)));
    assert!(min_usable(&view, at(6_200)) > Some(1));
}

/// The process read version 1 at its start and took versions 2 and 3 from one answer; a peer started
/// after version 2.
#[test]
fn version_of_unknown_time_changes_nothing_between_versions_that_were_seen() {
    let (mut view, mut peer) = (View::default(), View::default());
    view.apply(at(100), target(1), None);
    view.apply(at(1_000), target(3), Some(at(500)));
    peer.apply(at(700), target(2), None);
    peer.apply(at(1_000), target(3), Some(at(1_000)));
    tell(at(2_000), &peer, &mut view);
    assert_eq!(min_usable(&view, at(6_499)), Some(1));
    assert_eq!(min_usable(&view, at(6_500)), Some(3));
}

/// The process stands still from 1 s to 20 s, and its first new connection fails; a peer heard of
/// the version at 2 s.
#[test]
fn version_that_a_peer_dates_is_not_dated_by_the_own_outage() {
    let (mut view, mut freshness) = (View::default(), Freshness::default());
    freshness.record_read(at(1_000));
    view.apply(at(1_000), target(1), None);
    freshness.record_outage(at(20_000));
    let now = at(20_100);
    let announced = AnnouncedVersion { model: model(), version: 2, age: Span::millis(18_100) };
    view.merge_announcement(now, freshness.earliest_change(), announced);
    assert_eq!(min_usable(&view, now), Some(2));
}

/// Returns the age of version 2 that a process tells which saw it announced at `seen`.
fn sighting(now: Time, seen: Time) -> AnnouncedVersion {
    let mut view = view_of([1]);
    view.apply(seen, target(2), Some(seen));
    view.record_sighting(seen, seen, &model(), 2);
    let sightings = view.sightings(now);
    assert_eq!(sightings.len(), 1);
    sightings[0].clone()
}

/// Returns the view of a process that stood still until it heard of version 2 at `heard`.
fn view_dated(heard: Time, date: Time) -> View {
    let mut view = view_of([1]);
    view.apply(heard, target(2), Some(date));
    view
}

#[test]
fn version_dated_by_the_start_of_a_pause_takes_the_time_at_which_a_peer_saw_it() {
    let mut view = view_dated(at(10_000), at(4_000));
    assert!(view.has_undated_versions(at(10_000), USABLE));
    assert!(view.merge_sighting(at(10_500), &sighting(at(10_500), at(9_500))));
    assert_eq!(min_usable(&view, at(15_499)), Some(1));
    assert_eq!(min_usable(&view, at(15_500)), Some(2));
    assert!(!view.has_undated_versions(at(10_500), USABLE));
}

/// The peer saw a version written again that was lost or removed; other dates are close enough.
#[test]
fn sighting_after_a_version_was_heard_of_or_of_one_dated_closely_does_not_move_its_date() {
    for (heard, date, seen) in
        [(10_000, 4_000, 10_001), (10_000, 4_000, 3_000), (5_000, 4_000, 4_500)]
    {
        let mut view = view_dated(at(heard), at(date));
        assert!(!view.merge_sighting(at(11_000), &sighting(at(11_000), at(seen))));
        assert_eq!(min_usable(&view, at(date + 6_000)), Some(2));
    }
}

/// A date that is told counts for others, but nobody saw the announcement.
#[test]
fn version_that_a_process_heard_of_late_is_not_told_as_seen() {
    let mut view = view_dated(at(10_000), at(4_000));
    view.record_sighting(at(10_000), at(4_000), &model(), 2);
    assert!(view.sightings(at(10_000)).is_empty());
}

/// A process that started, was out of touch or met a restored state may have missed that the
/// version was announced before; in an outage it dates versions too late.
#[test]
fn process_has_not_followed_the_platform_across_a_gap_an_outage_or_a_restore() {
    let mut freshness = Freshness::default();
    let read = |freshness: &mut Freshness, from: u64, to: u64| {
        (from..=to).for_each(|secs| freshness.record_read(at(secs * 1_000)));
    };
    read(&mut freshness, 1, 6);
    assert!(!freshness.has_followed(at(6_999), USABLE));
    assert!(freshness.has_followed(at(7_000), USABLE));
    assert!(!freshness.has_followed(at(9_001), USABLE));
    read(&mut freshness, 10, 15);
    assert!(!freshness.has_followed(at(15_000), USABLE));
    read(&mut freshness, 16, 20);
    assert!(freshness.has_followed(at(20_000), USABLE));
    freshness.record_outage(at(20_100));
    assert!(!freshness.has_followed(at(20_100), USABLE));
    freshness.record_restore(at(20_500));
    read(&mut freshness, 21, 26);
    assert!(!freshness.has_followed(at(26_000), USABLE));
    assert!(freshness.has_followed(at(26_500), USABLE));
}

/// Version 1 was replaced at 1 s, and stays so.
#[test]
fn version_that_is_removed_and_written_again_keeps_its_age() {
    let mut view = View::default();
    view.apply(at(1_000), target(2), Some(at(1_000)));
    view.apply(at(4_000), target(None), Some(at(4_000)));
    view.apply(at(4_100), target(2), Some(at(4_100)));
    assert_eq!(min_usable(&view, at(7_000)), Some(2));
}

/// A process of the release before tells a time for version 2 that is later than that of version 3.
#[test]
fn version_is_replaced_by_whichever_newer_one_was_announced_first() {
    let mut view = View::default();
    let announced =
        |version, secs| AnnouncedVersion { model: model(), version, age: Span::secs(secs) };
    view.merge_announcement(at(5_000), None, announced(3, 4));
    view.merge_announcement(at(5_000), None, announced(2, 1));
    let target = view.target(&model()).expect("a version");
    assert_eq!(target.replaced_for(1, USABLE), Some(at(7_000)));
}

/// Version 2 is removed, version 1 written again, and then version 3.
#[test]
fn version_that_replaced_an_older_one_before_its_removal_still_counts_with_a_newer_one() {
    let mut view = view_of([1, 2]);
    view.apply(at(1_000), target(None), Some(at(1_000)));
    view.apply(at(2_000), target(1), Some(at(2_000)));
    assert_eq!(min_usable(&view, at(6_300)), Some(1));
    view.apply(at(6_400), target(3), Some(at(6_400)));
    assert_eq!(min_usable(&view, at(6_400)), Some(2));
}

/// The process started after version 2, removed it from its view, and saw it written again.
#[test]
fn removed_version_of_unknown_time_is_not_dated_by_when_it_is_written_again() {
    let mut view = View::default();
    view.apply(at(100), target(2), None);
    view.apply(at(1_000), target(None), Some(at(1_000)));
    view.apply(at(1_100), target(2), Some(at(1_100)));
    assert_eq!(min_usable(&view, at(1_100)), Some(2));
}

#[test]
fn removed_versions_are_remembered_for_a_bounded_number_of_models() {
    let mut view = View::default();
    let write = |view: &mut View, number: u64, version: Option<u64>, at: Time| {
        let model = format!("m{number}").parse().expect("valid name");
        view.apply(at, PublishedValue::TargetVersion(model, version), Some(at));
    };
    for number in 0..300 {
        write(&mut view, number, Some(2), at(1_000));
        write(&mut view, number, None, at(1_000 + number));
    }
    for number in 0..300 {
        write(&mut view, number, Some(2), at(5_000));
    }
    let dates = view.targets().map(|(_, versions)| versions.rollout_start(None));
    assert_eq!(dates.filter(|date| *date == at(1_000)).count(), 256);
}
