//! What is known of the chunks that an engine loads.

use rstest::rstest;
use sequoiahold_core::{
    direct::load_proof::{AcceptedOrder, ChunkCheck, ForeignChunks, LoadProof, LoadVerdict},
    time::Time,
    units::Span,
};

const START: Time = Time(10_000_000);

fn at(millis: u64) -> Time {
    START + Span::millis(millis)
}

/// Returns the state after a check that began at [`START`] and took `took_ms`.
fn checked(took_ms: u64) -> LoadProof {
    let mut proof = LoadProof::default();
    proof.record_check(ChunkCheck { started: START, ended: at(took_ms) });
    proof
}

#[rstest]
#[case::soon(100, 1_400, true)]
#[case::late(100, 1_600, false)]
#[case::just_after_a_slow_check(2_900, 3_000, true)]
#[case::late_after_a_slow_check(2_900, 3_200, false)]
fn order_needs_a_recent_check(#[case] took_ms: u64, #[case] now_ms: u64, #[case] allowed: bool) {
    assert_eq!(checked(took_ms).allows_order(at(now_ms)), allowed);
}

// Guards against the age of a check being counted from its end.
#[rstest]
#[case::in_time(100, 2_900, LoadVerdict::Intact)]
#[case::stood_still(100, 4_100, LoadVerdict::Recheck)]
#[case::slow_check(3_100, 3_200, LoadVerdict::Recheck)]
fn chunks_are_intact_only_within_the_grace_from_the_first_read(
    #[case] took_ms: u64,
    #[case] accepted_ms: u64,
    #[case] verdict: LoadVerdict,
) {
    let mut proof = checked(took_ms);
    proof.record_order();
    assert_eq!(proof.verdict(at(accepted_ms), AcceptedOrder::Last), verdict);
}

#[test]
fn chunks_staged_again_while_an_order_is_open_are_not_those_that_it_loaded() {
    let mut proof = checked(100);
    proof.record_order();
    proof.record_staging();
    assert!(!proof.allows_order(at(200)), "chunks staged again count as checked");
    proof.record_check(ChunkCheck { started: at(200), ended: at(300) });
    proof.record_order();
    assert_eq!(proof.verdict(at(400), AcceptedOrder::Unknown), LoadVerdict::Doubtful);
    assert_eq!(proof.verdict(at(400), AcceptedOrder::Last), LoadVerdict::Intact);
    proof.close_orders();
    assert_eq!(proof.verdict(at(400), AcceptedOrder::Unknown), LoadVerdict::Intact);
}

#[test]
fn version_in_use_without_a_check_is_checked() {
    let proof = LoadProof::default();
    assert!(!proof.allows_order(START));
    assert_eq!(proof.verdict(START, AcceptedOrder::Unknown), LoadVerdict::Recheck);
}

// Guards against a started loader replacing chunks that an order of an earlier process has loaded.
#[test]
fn chunks_staged_by_a_started_process_are_not_those_that_an_earlier_order_loaded() {
    let mut proof = LoadProof::started();
    proof.begin_staging();
    proof.end_staging();
    proof.record_check(ChunkCheck { started: at(200), ended: at(300) });
    assert_eq!(proof.verdict(at(400), AcceptedOrder::Unknown), LoadVerdict::Doubtful);
    // An order that is accepted after the engine was seen without a load takes what was checked,
    // unless a late call of the earlier process has replaced it.
    proof.record_idle_engine();
    assert_eq!(proof.verdict(at(400), AcceptedOrder::Unknown), LoadVerdict::Recheck);
}

// Guards against a chunk that a killed loader had under way replacing a checked one, or a corrupt
// one after the load.
#[rstest]
#[case::of_other_versions(ForeignChunks::OtherVersions, LoadVerdict::Recheck)]
#[case::of_any_version(ForeignChunks::AnyVersion, LoadVerdict::Doubtful)]
fn load_ordered_by_a_started_process_needs_a_check_after_it(
    #[case] staged: ForeignChunks,
    #[case] late_verdict: LoadVerdict,
) {
    let mut proof = LoadProof::started();
    let check = ChunkCheck { started: START, ended: at(100) };
    proof.begin_load(staged);
    proof.record_check(check);
    proof.record_order();
    assert_eq!(proof.verdict(at(200), AcceptedOrder::Last), LoadVerdict::Recheck);
    assert_eq!(proof.verdict(at(3_200), AcceptedOrder::Last), late_verdict);
    // What the earlier process sent has ended with the start that received it.
    proof.record_report();
    proof.record_engine_start();
    proof.record_check(check);
    proof.record_order();
    assert_eq!(proof.verdict(at(200), AcceptedOrder::Last), LoadVerdict::Intact);
}

// Guards against a new VM being lost as a chunk turns corrupt just after the order for its first
// version, to which there is no way back.
#[test]
fn first_version_is_proved_beside_calls_that_can_only_stage_its_chunks() {
    let mut proof = LoadProof::started();
    proof.begin_load(ForeignChunks::OnlyVersion);
    proof.record_check(ChunkCheck { started: START, ended: at(100) });
    proof.record_order();
    assert_eq!(proof.verdict(at(200), AcceptedOrder::Last), LoadVerdict::Intact);
}

// Guards against chunks that were checked before the engine lost power being ordered.
#[test]
fn check_does_not_outlast_a_start_of_the_engine() {
    let mut proof = checked(100);
    assert!(proof.allows_order(at(200)));
    proof.record_engine_start();
    assert!(!proof.allows_order(at(200)), "the check of an earlier start counts");
}

// Guards against an order that reached a start of the engine unseen so far counting as closed.
#[test]
fn order_sent_after_the_last_report_may_be_open_at_the_next_start() {
    let mut proof = checked(100);
    proof.record_order();
    proof.record_engine_start();
    assert!(proof.has_foreign_order(), "the order is taken for closed");
    assert!(!proof.has_open_order(), "lost chunks cannot be staged beside the order");
    proof.begin_staging();
    proof.end_staging();
    proof.record_check(ChunkCheck { started: at(200), ended: at(300) });
    assert_eq!(proof.verdict(at(400), AcceptedOrder::Unknown), LoadVerdict::Doubtful);
    proof.record_report();
    proof.record_engine_start();
    assert!(!proof.has_foreign_order(), "the order reached an earlier start");
}

// Guards against the rejection of an own order closing that of an earlier process.
#[test]
fn rejected_order_does_not_close_the_one_of_an_earlier_process() {
    let mut proof = LoadProof::started();
    proof.record_check(ChunkCheck { started: START, ended: at(100) });
    proof.record_order();
    proof.record_rejection();
    assert!(!proof.has_open_order());
    proof.begin_staging();
    proof.end_staging();
    proof.record_check(ChunkCheck { started: at(200), ended: at(300) });
    assert_eq!(proof.verdict(at(400), AcceptedOrder::Unknown), LoadVerdict::Doubtful);
}

// Guards against a sound load being repeated, as chunks turned corrupt just before or after it.
#[rstest]
#[case::within_the_grace(2_900, LoadVerdict::Intact)]
#[case::after_it(3_100, LoadVerdict::Doubtful)]
fn chunks_found_corrupt_after_a_check_count_from_it(
    #[case] accepted_ms: u64,
    #[case] verdict: LoadVerdict,
) {
    let mut proof = checked(100);
    proof.record_order();
    proof.record_spoilt();
    assert_eq!(proof.verdict(at(accepted_ms), AcceptedOrder::Unknown), verdict);
}

// Guards against a staging call that was given up and takes effect after the check.
#[test]
fn chunk_that_may_yet_be_staged_needs_a_check_after_the_load() {
    let mut proof = checked(100);
    proof.begin_staging();
    proof.begin_load(ForeignChunks::OtherVersions);
    proof.record_check(ChunkCheck { started: START, ended: at(100) });
    proof.record_order();
    assert_eq!(proof.verdict(at(400), AcceptedOrder::Last), LoadVerdict::Recheck);
    assert_eq!(proof.verdict(at(3_400), AcceptedOrder::Last), LoadVerdict::Doubtful);
    proof.record_report();
    proof.record_engine_start();
    proof.record_check(ChunkCheck { started: START, ended: at(100) });
    proof.record_order();
    assert_eq!(proof.verdict(at(400), AcceptedOrder::Last), LoadVerdict::Intact);
}
