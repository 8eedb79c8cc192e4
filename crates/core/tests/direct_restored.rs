//! The published state after the platform restored it from a copy that lacks the latest changes.

use rstest::rstest;
use sequoiahold_core::{
    direct::{
        catalog::{Catalog, EndpointEntry},
        mirror::{Change, Era, Mirror, Revision},
        platform::PublishedValue,
        view::{Effect, View},
    },
    ids::{InstanceId, ModelId, ZoneId},
    time::Time,
    units::Span,
};

fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

fn change(era: u64, number: u64, key: &str, value: Option<&'static str>) -> Change {
    let value = value.map(|text| text.as_bytes().into());
    Change { key: key.to_owned(), revision: Revision::new(Era(era), number), value }
}

/// Returns the keys and values of a full copy.
fn items(mirror: &Mirror) -> Vec<(String, Option<bytes::Bytes>)> {
    let changes = mirror.delta_since(Revision::default()).changes;
    changes.into_iter().map(|change| (change.key, change.value)).collect()
}

/// A process that knows changes up to revision 9 of the first era.
fn lagging() -> Mirror {
    let mut mirror = Mirror::default();
    let snapshot = vec![change(1, 4, "config", Some("4")), change(1, 5, "gone", Some("1"))];
    mirror.apply_snapshot(Revision::new(Era(1), 5), snapshot);
    mirror.apply(Revision::new(Era(1), 9), vec![change(1, 8, "config", Some("8"))]);
    mirror.apply(Revision::new(Era(1), 9), vec![change(1, 9, "lost", Some("1"))]);
    mirror
}

/// A process that read the restored state, of revision 4, and the changes since.
fn restored() -> Mirror {
    let mut mirror = lagging();
    let snapshot = vec![change(2, 4, "config", Some("4"))];
    mirror.apply_snapshot(Revision::new(Era(2), 4), snapshot);
    mirror.apply_watch(Revision::new(Era(2), 7), vec![change(2, 7, "config", Some("9"))]);
    mirror
}

#[test]
fn restored_state_replaces_newer_revisions_of_an_earlier_era() {
    let mut mirror = lagging();
    let snapshot = vec![change(2, 4, "config", Some("4"))];
    let new = mirror.apply_snapshot(Revision::new(Era(2), 4), snapshot);
    assert_eq!(mirror.revision(), Revision::new(Era(2), 4));
    assert_eq!(items(&mirror), [("config".to_owned(), Some("4".into()))]);
    let removed: Vec<&str> =
        new.iter().filter(|change| change.value.is_none()).map(|c| c.key.as_str()).collect();
    assert_eq!(removed, ["gone", "lost"]);
    assert!(new.iter().all(|change| mirror.is_restored(change)));
    let later = change(2, 5, "config", Some("5"));
    assert!(!mirror.is_restored(&later));
    assert_eq!(mirror.apply(later.revision, vec![later]).len(), 1);
}

/// A restored state gives all items of thousands of endpoints new revisions.
#[test]
fn unchanged_values_of_a_restored_state_are_not_new() {
    let mut mirror = lagging();
    let snapshot = vec![change(2, 3, "config", Some("8")), change(2, 2, "gone", Some("0"))];
    let new = mirror.apply_snapshot(Revision::new(Era(2), 4), snapshot);
    let keys: Vec<&str> = new.iter().map(|change| change.key.as_str()).collect();
    assert_eq!(keys, ["lost", "gone"]);
    let again = mirror.apply(Revision::new(Era(2), 6), vec![change(2, 6, "config", Some("8"))]);
    assert!(again.is_empty());
    assert_eq!(mirror.revision(), Revision::new(Era(2), 6));
}

#[test]
fn first_state_that_a_process_reads_is_not_a_restored_one() {
    let mut mirror = Mirror::default();
    let new = mirror.apply_snapshot(Revision::new(Era(3), 4), vec![change(3, 4, "a", Some("1"))]);
    assert!(new.iter().all(|change| !mirror.is_restored(change)));
}

#[test]
fn peers_follow_the_process_that_read_the_restored_state() {
    let mut peer = lagging();
    let source = restored();
    let new = peer.apply_delta(source.delta_since(peer.revision()));
    assert_eq!(items(&peer), items(&source));
    assert!(new.iter().any(|change| change.key == "lost" && change.value.is_none()));
    assert!(new.iter().all(|change| peer.is_restored(change)));
}

#[test]
fn state_of_an_earlier_era_is_ignored() {
    let (mut mirror, behind) = (restored(), lagging());
    assert!(mirror.apply_delta(behind.delta_since(mirror.revision())).is_empty());
    assert!(mirror.apply_delta(behind.delta_since(Revision::default())).is_empty());
    let late = vec![change(1, 99, "config", Some("99")), change(1, 99, "new", Some("1"))];
    assert!(mirror.apply_watch(Revision::new(Era(1), 99), late.clone()).0.is_empty());
    assert!(mirror.apply_snapshot(Revision::new(Era(1), 99), late).is_empty());
    assert_eq!(items(&mirror), items(&restored()));
}

#[test]
fn revision_is_written_with_its_era() {
    let revision = Revision::new(Era(2), 7);
    assert_eq!(revision.to_string().parse(), Ok(revision));
    assert!(revision > Revision::new(Era(1), 8));
    assert!("7".parse::<Revision>().is_err());
}

fn endpoint(leaving: bool, started_ms: u64) -> PublishedValue {
    let instance: InstanceId = name("i-1");
    let entry = EndpointEntry {
        instance: instance.clone(),
        service: name("llm"),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: name("z1"),
        slots: 4,
        leaving,
        cold_time: Span(0),
        loaded: None,
        started_ms: Some(started_ms),
    };
    PublishedValue::Endpoint(instance, Some(entry))
}

fn no_endpoint() -> PublishedValue {
    PublishedValue::Endpoint(name("i-1"), None)
}

fn evacuated(evacuated: bool) -> PublishedValue {
    PublishedValue::ZoneEvacuated(name::<ZoneId>("z1"), evacuated)
}

fn target(version: Option<u64>) -> PublishedValue {
    PublishedValue::TargetVersion(name::<ModelId>("m"), version)
}

/// Returns whether the endpoint is there, whether it leaves, whether the zone is evacuated, and the
/// newest version.
fn state(view: &View) -> (bool, bool, bool, u64) {
    let endpoint = view.endpoints().values().next();
    let version = view.target(&name("m")).map_or(0, |target| target.newest());
    let leaving = endpoint.is_some_and(|endpoint| endpoint.entry.leaving);
    (endpoint.is_some(), leaving, view.is_evacuated(&name("z1")), version)
}

#[rstest]
#[case::evacuation(vec![evacuated(true)], evacuated(false), evacuated(true))]
#[case::version(vec![target(Some(2))], target(None), target(Some(2)))]
#[case::leave(vec![endpoint(true, 1)], endpoint(false, 1), endpoint(true, 1))]
#[case::removal(vec![endpoint(false, 1), no_endpoint()], endpoint(false, 1), no_endpoint())]
fn restored_value_does_not_take_back_a_newer_one_until_it_is_written_again(
    #[case] known: Vec<PublishedValue>,
    #[case] restored: PublishedValue,
    #[case] again: PublishedValue,
) {
    let mut view = View::default();
    known.into_iter().for_each(|published| {
        view.apply(at(0), published, None);
    });
    let before = state(&view);
    assert_eq!(view.apply_restored(at(1_000), restored.clone(), None), Effect::Held);
    assert!(!view.apply_held(at(5_900)));
    assert_eq!(state(&view), before);
    // Nobody wrote it again: the restored value is what operators and endpoints want.
    let mut unwritten = view.clone();
    assert!(unwritten.apply_held(at(6_000)));
    assert_ne!(state(&unwritten), before);
    view.apply(at(1_500), again, None);
    assert!(!view.apply_held(at(6_000)));
    assert_eq!(state(&view), before);
    // What is written later applies at once, also where it takes something back.
    view.apply(at(7_000), restored, None);
    assert_ne!(state(&view), before);
}

#[test]
fn endpoint_missing_in_a_restored_state_is_removed_unless_it_registers_again() {
    let mut view = View::default();
    view.apply(at(0), endpoint(false, 1), None);
    assert_eq!(view.apply_restored(at(1_000), no_endpoint(), None), Effect::Held);
    let mut registered = view.clone();
    registered.apply(at(1_500), endpoint(false, 1), None);
    assert!(!registered.apply_held(at(9_000)));
    assert!(!view.apply_held(at(2_600)));
    assert!(view.apply_held(at(2_700)));
    assert!(view.endpoints().is_empty());
}

#[rstest]
#[case::restarted_endpoint(vec![endpoint(true, 1)], endpoint(false, 2))]
#[case::leave(vec![endpoint(false, 1)], endpoint(true, 1))]
#[case::evacuation(vec![], evacuated(true))]
#[case::version(vec![target(Some(1))], target(Some(2)))]
fn restored_value_that_takes_nothing_back_applies_at_once(
    #[case] known: Vec<PublishedValue>,
    #[case] restored: PublishedValue,
) {
    let mut view = View::default();
    known.into_iter().for_each(|published| {
        view.apply(at(0), published, None);
    });
    assert_eq!(view.apply_restored(at(1_000), restored, None), Effect::Endpoints);
}

#[test]
fn restored_configuration_does_not_replace_a_newer_one() {
    let catalog = |version| PublishedValue::Catalog(Box::new(Catalog::new(version, [])));
    let mut view = View::default();
    view.apply(at(0), catalog(8), None);
    assert_eq!(view.apply_restored(at(1_000), catalog(4), None), Effect::None);
    assert!(!view.apply_held(at(9_000)));
    assert_eq!(view.catalog().map(|catalog| catalog.version), Some(8));
    assert_eq!(view.apply_restored(at(9_000), catalog(9), None), Effect::Catalog);
}
