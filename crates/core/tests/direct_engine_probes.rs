//! Which engines a gateway asks for their loads, and when.

use rand::{SeedableRng as _, rngs::SmallRng};
use sequoiahold_core::{
    direct::{
        endpoint_notices::Start,
        engine_probes::{EngineProbes, UnknownEngine},
    },
    time::Time,
};

fn engine(host: u8, has_loader: bool) -> UnknownEngine {
    let start = Start { addr: ([127, 0, 0, host], 80).into(), started_ms: Some(1) };
    UnknownEngine { start, has_loader }
}

/// Returns the times in ms of the probes within a minute, if all of them remain unanswered.
fn probe_times(unknown: &[UnknownEngine]) -> Vec<u64> {
    let (mut probes, mut rng) = (EngineProbes::default(), SmallRng::seed_from_u64(1));
    let mut probed = |millis| probes.next_probe(Time(millis * 1_000), unknown, &mut rng).is_some();
    (0..60_000).step_by(100).filter(|millis| probed(*millis)).collect()
}

// Guards against probes without need, each of which is priced.
#[test]
fn engine_is_asked_after_a_while_and_ever_less_often() {
    let without_loader = probe_times(&[engine(1, false)]);
    assert_eq!(without_loader[..5], [2_000, 2_500, 3_500, 5_500, 9_500]);
    assert!(without_loader.len() < 13, "{without_loader:?}");
    assert_eq!(probe_times(&[engine(1, true)])[..2], [8_000, 8_500]);
}

// Guards against engines that do not answer holding up the others.
#[test]
fn engine_that_does_not_answer_leaves_the_others_their_turn() {
    let unknown: Vec<UnknownEngine> = (1..=100).map(|host| engine(host, false)).collect();
    let (mut probes, mut rng) = (EngineProbes::default(), SmallRng::seed_from_u64(1));
    probes.next_probe(Time(0), &unknown, &mut rng);
    let mut ask = || probes.next_probe(Time(2_000_000), &unknown, &mut rng);
    let mut probed: Vec<Start> = std::iter::from_fn(&mut ask).collect();
    probed.sort();
    probed.dedup();
    assert_eq!(probed.len(), 100);
}

// Guards against an engine being probed again that has begun loads, which it cannot undo.
#[test]
fn engine_that_has_answered_is_not_asked_again() {
    let (mut probes, mut rng) = (EngineProbes::default(), SmallRng::seed_from_u64(1));
    let mut unknown = vec![engine(1, false)];
    probes.next_probe(Time(0), &unknown, &mut rng);
    let probed = probes.next_probe(Time(2_000_000), &unknown, &mut rng);
    assert_eq!(probed, Some(unknown[0].start));
    probes.record_answer(&unknown[0].start);
    assert_eq!(probes.next_probe(Time(60_000_000), &unknown, &mut rng), None);
    unknown[0].start.started_ms = Some(2);
    assert_eq!(probes.next_probe(Time(60_000_000), &unknown, &mut rng), None);
    let probed = probes.next_probe(Time(62_000_000), &unknown, &mut rng);
    assert_eq!(probed, Some(unknown[0].start));
}
