//! Single decisions of the admission gate, the credit leases and the request queue.

use sequoiahold_core::{
    gate::{AdmissionGate, EngineLimits, EngineSnapshot, RequestEnd, RunId},
    ids::{Incarnation, RequestId},
    lease::{LEASE_DURATION, Leases},
    queue::{self, FairQueue, QueueFull, QueuedRequest, RetrySchedule},
    time::Time,
    units::{Bytes, Span},
};

const LIMITS: EngineLimits = EngineLimits { cold: 1, slots: 4 };

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

fn run_id(number: u64) -> RunId {
    (name("entry-1"), Incarnation(1), RequestId(number))
}

fn snapshot(limit: u32, running: u32) -> Option<EngineSnapshot> {
    Some(EngineSnapshot { incarnation: 1, version: Some(name("v")), limit, running })
}

fn gate() -> AdmissionGate {
    let mut gate = AdmissionGate::default();
    gate.set_target(Some(name("v")), LIMITS);
    gate
}

/// Returns a gate that has probed a warm engine.
fn warm_gate() -> AdmissionGate {
    let mut gate = gate();
    for number in 100..104 {
        let probe = gate.begin_probe();
        gate.record_probe(probe, snapshot(4, 0));
        gate.admit(run_id(number)).expect("the gate has room");
        gate.finish(&run_id(number), RequestEnd::Completed);
    }
    let probe = gate.begin_probe();
    gate.record_probe(probe, snapshot(4, 0));
    gate
}

#[test]
fn nothing_is_admitted_before_the_first_probe() {
    let mut gate = gate();
    assert!(gate.admit(run_id(1)).is_err());
    let probe = gate.begin_probe();
    gate.record_probe(probe, snapshot(4, 1));
    assert!(
        gate.admit(run_id(1)).is_err(),
        "the engine still runs a request of an earlier process"
    );
}

#[test]
fn load_closes_the_gate_until_a_later_probe_shows_the_version() {
    let mut gate = warm_gate();
    let early = gate.begin_probe();
    gate.load_started();
    gate.record_probe(early, snapshot(4, 0));
    assert!(gate.admit(run_id(1)).is_err());
    let during = gate.begin_probe();
    gate.load_ended();
    gate.record_probe(during, snapshot(4, 0));
    assert!(gate.admit(run_id(1)).is_err());
    let after = gate.begin_probe();
    gate.record_probe(after, snapshot(4, 0));
    assert!(gate.admit(run_id(1)).is_ok());
    assert_eq!(gate.limit(), LIMITS.cold);
}

#[test]
fn broken_request_closes_the_gate_until_the_next_probe() {
    let mut gate = warm_gate();
    gate.admit(run_id(1)).expect("the gate has room");
    gate.finish(&run_id(1), RequestEnd::Aborted);
    assert!(!gate.is_open());
    let probe = gate.begin_probe();
    gate.record_probe(probe, snapshot(4, 0));
    assert!(gate.is_open());
}

#[test]
fn late_probe_does_not_raise_the_limit_from_an_answer_head() {
    let mut gate = warm_gate();
    let late = gate.begin_probe();
    gate.admit(run_id(1)).expect("the gate has room");
    gate.record_head_limit(&run_id(1), 1);
    gate.record_probe(late, snapshot(4, 0));
    assert_eq!(gate.limit(), 1);
}

#[test]
fn leased_credits_stay_within_the_engine_capacity() {
    let mut leases = Leases::default();
    let (own, entries) = (name("llm-1"), ["entry-1", "entry-2", "entry-3"].map(name));
    for round in 0..20u64 {
        let now = Time(round * 300_000);
        for (entry, demand) in entries.iter().zip([0, 3, 40]) {
            leases.renew(now, &own, entry, (demand, 8));
            assert!(leases.granted(now) <= 8);
        }
    }
    let now = Time(20 * 300_000);
    assert!(
        leases.renew(now, &own, &entries[2], (40, 8)) >= 6,
        "the largest demand gets the largest share"
    );
    assert_eq!(leases.granted(now + LEASE_DURATION + LEASE_DURATION), 0);
}

fn item(key: u32, client: &str, weight: u32) -> QueuedRequest<u32> {
    let (at, until) = (Time(0), Time(5_000_000));
    QueuedRequest {
        key,
        client: name(client),
        weight,
        urgency: 3,
        size: Bytes(10),
        arrived_at: at,
        deadline: until,
    }
}

#[test]
fn accounts_are_served_by_weight() {
    let mut queue = FairQueue::new(queue::QueueLimits { count: 100, size: Bytes(10_000) });
    (0..50).for_each(|key| assert!(queue.push(item(key, "large", 4)).is_ok()));
    (50..60).for_each(|key| assert!(queue.push(item(key, "small", 1)).is_ok()));
    let first: Vec<u32> = std::iter::from_fn(|| queue.pop()).take(20).collect();
    let small = first.iter().filter(|key| **key >= 50).count();
    assert!((4..=5).contains(&small), "{small} of 20 requests belong to the small account");
}

#[test]
fn full_queue_evicts_from_the_account_with_most_requests() {
    let mut queue = FairQueue::new(queue::QueueLimits { count: 10, size: Bytes(10_000) });
    (0..10).for_each(|key| assert!(queue.push(item(key, "large", 1)).is_ok()));
    assert_eq!(queue.push(item(10, "large", 1)), Err(QueueFull));
    assert_eq!(queue.push(item(11, "small", 1)), Ok(Some(9)));
    assert_eq!(queue.len(), 10);
}

#[test]
fn retry_times_match_the_service_rate() {
    let (mut retries, gap) = (RetrySchedule::default(), Span::millis(10));
    let clients = ["large", "small"].map(name);
    let mut all: Vec<Span> =
        (0..200).map(|n| retries.reserve(Time(0), (&clients[n % 2], 1), Time(0), gap)).collect();
    all.sort();
    for second in 1..3 {
        let due = |span: &&Span| span.0 / 1_000_000 == second;
        let count = all.iter().filter(due).count();
        assert!((95..=105).contains(&count), "{count} retries in second {second}");
    }
}
