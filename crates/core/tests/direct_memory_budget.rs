//! Memory of callers' connections: slow readers, uploads and ordinary requests beside them.

use sequoiahold_core::{
    direct::memory_budget::{Decision, HolderId, MemoryBudget, Phase},
    time::Time,
    units::Bytes,
};

const MB: u64 = 1_000_000;

/// Returns the budget of a VM with 160 MB, of which connections may hold 40 MB.
fn budget() -> MemoryBudget {
    MemoryBudget::new(Bytes(160 * MB))
}

fn at(seconds: u64) -> Time {
    Time(seconds * 1_000_000)
}

/// Adds a connection in this phase that asks for `held` bytes.
fn hold(budget: &mut MemoryBudget, now: Time, phase: Phase, held: u64) -> (HolderId, Decision) {
    let id = budget.open(now);
    budget.set_phase(now, id, phase);
    (id, budget.resize(now, id, Bytes(held)))
}

#[test]
fn answer_takes_the_place_of_those_that_hold_most_for_the_longest_time() {
    let mut budget = budget();
    let (old, _) = hold(&mut budget, at(0), Phase::Answering, 16 * MB);
    let (short, _) = hold(&mut budget, at(0), Phase::Answering, MB);
    let (recent, _) = hold(&mut budget, at(4), Phase::Answering, 16 * MB);
    let (_, decision) = hold(&mut budget, at(5), Phase::Running, 8 * MB);
    assert_eq!(decision, Decision::Granted(vec![old]));
    let (_, decision) = hold(&mut budget, at(5), Phase::Running, 16 * MB);
    assert_eq!(decision, Decision::Granted(vec![recent]));
    assert_eq!(budget.held(), Bytes(25 * MB));
    budget.close(short);
    assert_eq!(budget.held(), Bytes(24 * MB));
}

#[test]
fn running_requests_are_not_closed() {
    let mut budget = budget();
    for _ in 0..2 {
        hold(&mut budget, at(0), Phase::Running, 16 * MB);
    }
    let (_, decision) = hold(&mut budget, at(60), Phase::Running, 16 * MB);
    assert_eq!(decision, Decision::Refused);
    assert_eq!(budget.held(), Bytes(32 * MB));
}

#[test]
fn uploads_leave_room_for_short_requests_and_answers() {
    let mut budget = budget();
    let refused = (0..60)
        .filter(|_| hold(&mut budget, at(0), Phase::Uploading, 4 * MB).1 == Decision::Refused)
        .count();
    assert_eq!((refused, budget.held()), (53, Bytes(28 * MB)));
    for phase in [Phase::Uploading, Phase::Running] {
        assert_eq!(hold(&mut budget, at(0), phase, 60_000).1, Decision::Granted(vec![]));
    }
}

#[test]
fn upload_takes_the_place_of_none_that_makes_progress() {
    let mut budget = budget();
    let (upload, _) = hold(&mut budget, at(0), Phase::Uploading, 16 * MB);
    let (answer, _) = hold(&mut budget, at(8), Phase::Answering, 14 * MB);
    let now = Time(8_900_000);
    assert_eq!(hold(&mut budget, now, Phase::Uploading, 4 * MB).1, Decision::Refused);
    let (_, decision) = hold(&mut budget, at(9), Phase::Uploading, 4 * MB);
    assert_eq!(decision, Decision::Granted(vec![answer]));
    let (_, decision) = hold(&mut budget, at(10), Phase::Uploading, 14 * MB);
    assert_eq!(decision, Decision::Granted(vec![upload]));
}

#[test]
fn time_of_an_upload_counts_from_its_first_byte() {
    let mut budget = budget();
    let idle = budget.open(at(0));
    assert_eq!(budget.resize(at(60), idle, Bytes(28 * MB)), Decision::Granted(vec![]));
    assert_eq!(hold(&mut budget, at(61), Phase::Uploading, 4 * MB).1, Decision::Refused);
}

#[test]
fn closed_connection_gets_nothing_and_fewer_bytes_are_granted() {
    let mut budget = budget();
    let (id, _) = hold(&mut budget, at(0), Phase::Running, 40 * MB);
    assert_eq!(budget.resize(at(0), id, Bytes(1)), Decision::Granted(vec![]));
    assert_eq!(budget.held(), Bytes(1));
    budget.close(id);
    budget.close(id);
    assert_eq!(budget.resize(at(0), id, Bytes(1)), Decision::Refused);
    assert_eq!(budget.held(), Bytes(0));
}
