//! What gateways know of the loads of engines, and what loaders report of them.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

use rstest::rstest;
use sequoiahold_core::{
    direct::{
        endpoint_notices::Start,
        engine_load::{EngineChange, EngineLoad, LoadEvidence},
        load_announcer::LoadAnnouncer,
        load_reports::{LoadKnowledge, LoadReport, LoadReports},
        platform::EngineReport,
        send_time::SendStamp,
    },
    ids::{Incarnation, ModelId, ZoneId},
    time::Time,
};

const STARTED_MS: u64 = 1_000;
const NOW: Time = Time(5_000_000);

fn model() -> ModelId {
    "m".parse().expect("a name")
}

fn zone() -> ZoneId {
    "z".parse().expect("a name")
}

fn addr(host: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, host)), 80)
}

fn report(orders: u64, version: u64, proved: bool) -> LoadReport {
    let start = Start { addr: addr(1), started_ms: Some(STARTED_MS) };
    let versions = BTreeMap::from([(model(), version)]);
    LoadReport { start, orders, versions, proved, known_at: known_at(1) }
}

fn known_at(secs: u64) -> SendStamp {
    SendStamp { incarnation: Incarnation(1), at: Time(secs * 1_000_000) }
}

/// Returns what is known where loaders live.
fn reports(merged: impl IntoIterator<Item = LoadReport>) -> LoadReports {
    let mut reports = LoadReports::default();
    reports.record_loaders([zone()], true, true);
    merged.into_iter().for_each(|report| {
        reports.merge(NOW, report);
    });
    reports
}

fn usable(reports: &LoadReports, published: u64) -> Option<u64> {
    let start = Start { addr: addr(1), started_ms: Some(STARTED_MS) };
    reports.knowledge(&start, &zone()).usable_version(&model(), Some(published))
}

#[rstest]
#[case::proved(&[(1, 2, true)], 2, Some(2))]
#[case::doubtful(&[(1, 2, false)], 2, None)]
#[case::proved_in_the_end(&[(1, 2, false), (1, 2, true)], 2, Some(2))]
#[case::report_of_the_past(&[(2, 3, false), (1, 2, true)], 2, None)]
#[case::proof_does_not_lapse(&[(1, 2, true), (1, 2, false)], 2, Some(2))]
#[case::loaded_again(&[(1, 2, true), (3, 2, false)], 2, None)]
#[case::published_late(&[(1, 2, true)], 1, Some(2))]
#[case::load_that_nobody_reported(&[(1, 2, true)], 3, None)]
#[case::nothing_heard(&[], 2, None)]
fn version_is_used_only_if_its_load_is_proved(
    #[case] merged: &[(u64, u64, bool)],
    #[case] published: u64,
    #[case] version: Option<u64>,
) {
    let merged = merged.iter().map(|(orders, version, proved)| report(*orders, *version, *proved));
    assert_eq!(usable(&reports(merged), published), version);
}

#[test]
fn proof_is_not_valid_for_another_start_of_the_engine() {
    let reports = reports([report(1, 2, true)]);
    let restarted = Start { addr: addr(1), started_ms: Some(STARTED_MS + 1) };
    assert_eq!(reports.knowledge(&restarted, &zone()), LoadKnowledge::Awaited);
}

#[test]
fn zone_without_loaders_is_served_as_published_where_no_origin_supplies_weights() {
    let mut reports = LoadReports::default();
    assert_eq!(usable(&reports, 2), None);
    reports.record_loaders([], false, false);
    assert_eq!(usable(&reports, 2), None);
    reports.record_loaders([], true, false);
    assert_eq!(usable(&reports, 2), Some(2));
    // Loaders that have been heard of may have ordered a load, also if they are gone by now.
    reports.record_loaders([zone()], true, false);
    reports.record_loaders([], true, false);
    assert_eq!(usable(&reports, 2), None);
}

// Guards against the silence of loaders being taken for their absence, however long it lasts.
#[test]
fn silence_proves_nothing_where_an_origin_supplies_weights() {
    let mut reports = LoadReports::default();
    for _ in 0..1_000 {
        reports.record_loaders([], true, true);
    }
    assert_eq!(usable(&reports, 2), None);
}

// Guards against an engine's word being taken for more than that it has begun no load.
#[rstest]
#[case::given_by_operators(engine_report(0, 1, false), Some(1))]
#[case::loaded_since(engine_report(1, 1, false), None)]
#[case::loading(engine_report(0, 1, true), None)]
#[case::of_an_unknown_start(EngineReport { started_ms: None, ..engine_report(0, 1, false) }, None)]
#[case::empty(EngineReport { versions: BTreeMap::new(), ..engine_report(0, 1, false) }, None)]
fn engine_without_any_load_proves_what_it_holds(
    #[case] report: EngineReport,
    #[case] version: Option<u64>,
) {
    let reports = reports(LoadReport::of_engine(addr(1), &report));
    assert_eq!(usable(&reports, 1), version);
}

// Guards against an engine's word of an earlier start replacing what loaders know of a later one,
// whose clock may have been set back.
#[rstest]
#[case::clock_goes_on(STARTED_MS + 1)]
#[case::clock_set_back(STARTED_MS - 1)]
fn word_of_an_engine_gives_way_to_reports_of_another_start(#[case] started_ms: u64) {
    let later = Start { addr: addr(1), started_ms: Some(started_ms) };
    let later = LoadReport { start: later, ..report(1, 1, false) };
    let word = LoadReport::of_engine(addr(1), &engine_report(0, 1, false)).expect("a proof");
    for merged in [[later.clone(), word.clone()], [word, later.clone()]] {
        let reports = reports(merged);
        assert!(reports.find(&later.start).is_some(), "the later report is lost");
        assert_eq!(usable(&reports, 1), None);
    }
}

fn engine_report(orders_begun: u64, version: u64, busy: bool) -> EngineReport {
    EngineReport {
        versions: BTreeMap::from([(model(), version)]),
        busy,
        orders_begun,
        started_ms: Some(STARTED_MS),
        waiting: 0,
        running: 0,
    }
}

#[test]
fn version_held_without_any_order_is_proved() {
    let mut load = EngineLoad::default();
    assert_eq!(load.observe(&engine_report(0, 1, false)), EngineChange::Other);
    assert_eq!(load.report(addr(1), known_at(1)), Some(report(0, 1, true)));
}

#[test]
fn load_that_began_before_the_process_is_not_reported_until_it_is_judged() {
    let mut load = EngineLoad::default();
    load.observe(&engine_report(1, 2, false));
    assert_eq!(
        (load.evidence(), load.report(addr(1), known_at(1))),
        (Some(LoadEvidence::Open), None)
    );
    load.judge(Some(STARTED_MS), 1, LoadEvidence::Doubtful, None);
    assert_eq!(load.report(addr(1), known_at(1)), Some(report(1, 2, false)));
}

#[test]
fn load_of_an_order_without_an_answer_is_open() {
    let mut load = EngineLoad::default();
    load.observe(&engine_report(0, 1, false));
    load.observe(&engine_report(1, 1, true));
    assert_eq!(
        (load.evidence(), load.report(addr(1), known_at(1))),
        (Some(LoadEvidence::Open), None)
    );
}

#[test]
fn load_is_reported_once_the_engine_holds_the_version() {
    let mut load = EngineLoad::default();
    load.observe(&engine_report(0, 1, false));
    load.judge(Some(STARTED_MS), 1, LoadEvidence::Proved, Some((model(), 2)));
    assert_eq!(load.report(addr(1), known_at(1)), None);
    load.observe(&engine_report(1, 1, true));
    assert_eq!(load.report(addr(1), known_at(1)), None);
    load.observe(&engine_report(1, 2, false));
    assert_eq!(load.report(addr(1), known_at(1)), Some(report(1, 2, true)));
}

#[test]
fn engine_that_started_again_has_no_load_to_judge() {
    let mut load = EngineLoad::default();
    load.observe(&engine_report(1, 2, false));
    let empty = EngineReport {
        versions: BTreeMap::new(),
        started_ms: Some(STARTED_MS + 1),
        ..engine_report(0, 2, false)
    };
    assert_eq!(load.observe(&empty), EngineChange::Restarted);
    assert_eq!(load.evidence(), Some(LoadEvidence::Proved));
}

#[test]
fn gateway_that_restarts_or_returns_is_sent_the_report_again() {
    let (first, second) = ((addr(8), Incarnation(1)), (addr(9), Incarnation(1)));
    let (mut announcer, report) = (LoadAnnouncer::default(), report(1, 2, true));
    let mut sends = 0;
    while !announcer.recipients(&report, &[first]).is_empty() {
        sends += 1;
    }
    assert!(sends > 1, "one lost datagram would lose the report");
    assert_eq!(announcer.recipients(&report, &[first, second]), [second.0]);
    let restarted = (first.0, Incarnation(2));
    assert!(announcer.recipients(&report, &[restarted]).contains(&first.0));
    // The second one was away meanwhile.
    assert!(announcer.recipients(&report, &[restarted, second]).contains(&second.0));
    let newer = LoadReport { orders: 2, ..report };
    assert_eq!(announcer.recipients(&newer, &[restarted, second]).len(), 2);
}
