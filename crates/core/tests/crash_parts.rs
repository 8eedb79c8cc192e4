//! Prompt parts that crash engines: which are blocked, which are cleared, and what peers learn.

use std::collections::BTreeMap;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use sequoiahold_core::{
    direct::part_suspects::{Accusation, EngineStart, PartSuspects},
    ids::PartId,
    time::Time,
    units::Span,
};

const SHARED: PartId = PartId(0xa);
const FATAL: PartId = PartId(0xf);
const OTHER: PartId = PartId(0xb);

fn engine(number: u64) -> EngineStart {
    let instance = format!("i-{number}").parse().expect("a valid name");
    EngineStart { instance, started_ms: Some(1_000 + number) }
}

fn at(ms: u64) -> Time {
    Time(1_000_000) + Span::millis(ms)
}

/// Accuses the parts of a request that was in flight at the crash of an engine.
fn accuse(suspects: &mut PartSuspects, now: Time, number: u64, id: u64, parts: &[PartId]) {
    let reporter = "gateway".parse().expect("a valid name");
    let accusation = suspects.accusation(id, engine(number), reporter, parts);
    assert!(suspects.accuse(now, &accusation), "a known accusation");
}

/// Crashes engines 0 to `crashes`, half a second apart, each under one request with these parts.
fn crash_engines(suspects: &mut PartSuspects, crashes: u64, parts: &[PartId]) {
    for number in 0..crashes {
        accuse(suspects, at(500 * number), number, number, parts);
    }
}

#[test]
fn part_is_blocked_after_three_crashes_whatever_else_the_requests_hold() {
    let mut suspects = PartSuspects::default();
    for number in 0..3 {
        assert_eq!(suspects.blocked_part(&[FATAL]), None, "after {number} crashes");
        accuse(&mut suspects, at(500 * number), number, number, &[PartId(100 + number), FATAL]);
    }
    assert_eq!(suspects.blocked_part(&[PartId(200), FATAL]), Some(FATAL));
    assert_eq!(suspects.blocked_part(&[PartId(100)]), None);
}

#[test]
fn request_that_holds_only_a_companion_of_the_part_runs_and_clears_it() {
    let mut suspects = PartSuspects::default();
    crash_engines(&mut suspects, 3, &[SHARED, FATAL]);
    assert!(suspects.blocked_part(&[SHARED, FATAL]).is_some());
    assert_eq!(suspects.blocked_part(&[SHARED, OTHER]), None);
    assert_eq!(suspects.complete(at(2_000), &[SHARED, OTHER]), [SHARED]);
    assert_eq!(suspects.blocked_part(&[OTHER, FATAL]), Some(FATAL));
}

#[test]
fn request_in_flight_at_each_crash_of_the_part_is_not_blocked_with_it() {
    let mut suspects = PartSuspects::default();
    for number in 0..3 {
        accuse(&mut suspects, at(500 * number), number, 2 * number, &[OTHER]);
        accuse(&mut suspects, at(500 * number), number, 2 * number + 1, &[SHARED, FATAL]);
    }
    accuse(&mut suspects, at(2_000), 9, 9, &[FATAL]);
    assert_eq!(suspects.blocked_part(&[FATAL]), Some(FATAL));
    assert_eq!(suspects.blocked_part(&[SHARED, OTHER]), None);
}

#[test]
fn crashes_at_one_moment_and_reports_of_one_crash_count_once() {
    let mut suspects = PartSuspects::default();
    for number in 0..40 {
        accuse(&mut suspects, at(number), number, number, &[SHARED]);
    }
    for id in 100..110 {
        accuse(&mut suspects, at(500), 50, id, &[OTHER]);
    }
    assert_eq!(suspects.blocks(), []);
    assert_eq!(suspects.crash_count(&[SHARED, OTHER]), 1);
}

#[test]
fn part_of_completed_answers_needs_more_crashes_and_each_answer_clears_it() {
    let mut suspects = PartSuspects::default();
    suspects.complete(at(0), &[SHARED]);
    crash_engines(&mut suspects, 4, &[SHARED]);
    assert_eq!(suspects.blocked_part(&[SHARED]), None);
    accuse(&mut suspects, at(2_500), 9, 9, &[SHARED]);
    assert_eq!(suspects.blocked_part(&[SHARED]), Some(SHARED));
    suspects.complete(at(2_600), &[SHARED]);
    assert_eq!(suspects.blocked_part(&[SHARED]), None);
}

#[test]
fn request_is_not_run_again_where_one_more_crash_would_block_its_part() {
    let mut suspects = PartSuspects::default();
    crash_engines(&mut suspects, 1, &[FATAL]);
    assert!(suspects.allows_retry(&[SHARED, FATAL]));
    accuse(&mut suspects, at(900), 9, 9, &[FATAL]);
    assert!(!suspects.allows_retry(&[SHARED, FATAL]));
    assert!(suspects.allows_retry(&[SHARED]));
}

#[test]
fn late_report_of_a_crash_does_not_accuse_a_part_that_completed_since() {
    let mut suspects = PartSuspects::default();
    suspects.complete(at(1_000), &[SHARED]);
    let reporter = "gateway".parse().expect("a valid name");
    let age = Span::millis(500);
    let accusation = Accusation {
        age,
        ..PartSuspects::default().accusation(1, engine(1), reporter, &[SHARED, FATAL])
    };
    assert!(suspects.accuse(at(1_100), &accusation));
    assert!(!suspects.accuse(at(1_200), &accusation), "counted twice");
    assert_eq!(suspects.crash_count(&[SHARED]), 0);
    assert_eq!(suspects.crash_count(&[FATAL]), 1);
}

#[test]
fn restarted_process_blocks_the_part_on_the_evidence_of_a_peer() {
    let mut suspects = PartSuspects::default();
    crash_engines(&mut suspects, 6, &[SHARED, FATAL]);
    suspects.complete(at(3_000), &[SHARED]);
    let evidence = suspects.evidence(at(60_000));
    let mut restarted = PartSuspects::default();
    // The clock of the restarted process begins anew.
    for accusation in evidence {
        restarted.accuse(Time(200), &accusation);
    }
    assert_eq!(restarted.blocked_part(&[OTHER, FATAL]), Some(FATAL));
    assert_eq!(restarted.blocked_part(&[SHARED, OTHER]), None);
}

#[test]
fn broken_connections_of_an_engine_that_goes_on_are_no_crash() {
    let mut suspects = PartSuspects::default();
    crash_engines(&mut suspects, 3, &[SHARED]);
    assert_eq!(suspects.blocked_part(&[SHARED]), Some(SHARED));
    let mut peer = suspects.clone();
    // An answer soon after the request was sent, and one to a request sent before.
    let survivor = suspects.record_answer(at(1_200), at(1_050), &engine(2)).expect("no crash");
    assert!(suspects.record_answer(at(1_600), at(100), &engine(1)).is_some());
    assert_eq!(suspects.crash_count(&[SHARED]), 1);
    peer.record_survivor(at(1_230), &survivor);
    assert_eq!(peer.crash_count(&[SHARED]), 2);
    let reporter = "gateway".parse().expect("a valid name");
    let late =
        Accusation { age: Span::millis(300), ..peer.accusation(7, engine(2), reporter, &[SHARED]) };
    assert!(!peer.accuse(at(1_300), &late), "an engine that was alive later");
}

#[test]
fn answer_after_a_restart_or_on_its_way_at_the_crash_disproves_nothing() {
    let mut suspects = PartSuspects::default();
    accuse(&mut suspects, at(500), 1, 1, &[FATAL]);
    assert_eq!(suspects.record_answer(at(700), at(300), &engine(1)), None);
    assert_eq!(suspects.record_answer(at(2_900), at(2_800), &engine(1)), None);
    assert_eq!(suspects.crash_count(&[FATAL]), 1);
}

#[test]
fn later_break_at_the_same_start_replaces_the_earlier_one() {
    let mut suspects = PartSuspects::default();
    for number in 0..5 {
        accuse(&mut suspects, at(2_000 * number), 1, number, &[OTHER]);
        accuse(&mut suspects, at(10_000), 10 + number, 10 + number, &[SHARED]);
    }
    accuse(&mut suspects, at(10_000), 1, 9, &[SHARED]);
    assert_eq!(suspects.crash_count(&[OTHER]), 0);
    assert_eq!(suspects.crash_count(&[SHARED]), 1, "six crashes at one moment");
}

#[test]
fn evidence_is_bounded_and_expires() {
    let mut suspects = PartSuspects::default();
    for number in 0..2_000 {
        accuse(&mut suspects, at(200 * number), number, number, &[PartId(number), FATAL]);
        suspects.complete(
            at(200 * number),
            &(0..9).map(|n| PartId(n << 32 | number)).collect::<Vec<_>>(),
        );
    }
    assert_eq!(suspects.evidence(at(400_000)).len(), 512);
    assert!(suspects.blocks().len() <= 32);
    assert_eq!(suspects.blocked_part(&[FATAL]), Some(FATAL));
    suspects.expire(at(400_000) + Span::secs(601));
    assert_eq!(suspects.blocks(), []);
}

/// A simulated fleet: requests arrive at random gateways and run at random engines.
struct Fleet {
    rng: SmallRng,
    gateways: Vec<PartSuspects>,
    /// Requests in flight: their engine, gateway, parts and the time of their end.
    in_flight: Vec<(u64, usize, Vec<PartId>, u64)>,
    /// Reports on their way: the time of their arrival, and accusation or completed parts.
    reports: Vec<(u64, Result<Accusation, Vec<PartId>>)>,
    starts: BTreeMap<u64, u64>,
    crashes: Vec<u64>,
    fatal_sends: Vec<u64>,
    sound: (u32, u32),
}

impl Fleet {
    fn send(&mut self, ms: u64, parts: Vec<PartId>) {
        let gateway = self.rng.random_range(0..self.gateways.len());
        let fatal = parts.contains(&FATAL);
        self.sound.1 += u32::from(!fatal);
        if self.gateways[gateway].blocked_part(&parts).is_some() {
            return;
        }
        if fatal {
            self.fatal_sends.push(ms);
        }
        let engine = self.rng.random_range(0..40);
        let time = self.rng.random_range(100..400);
        self.in_flight.push((engine, gateway, parts, ms + time));
    }

    fn step(&mut self, ms: u64) {
        let now = at(ms);
        let due = |(arrival, _): &mut (u64, _)| *arrival <= ms;
        for (_, report) in self.reports.extract_if(.., due).collect::<Vec<_>>() {
            for gateway in &mut self.gateways {
                match &report {
                    Ok(accusation) => drop(gateway.accuse(now, accusation)),
                    Err(completed) => drop(gateway.complete(now, completed)),
                }
            }
        }
        let ended = self.in_flight.extract_if(.., |(_, _, _, end)| *end <= ms).collect::<Vec<_>>();
        for (engine, gateway, parts, end) in ended {
            if parts.contains(&FATAL) {
                self.in_flight.push((engine, gateway, parts, end));
                self.crash(ms, engine);
            } else {
                self.sound.0 += 1;
                let cleared = self.gateways[gateway].complete(now, &parts);
                self.reports.push((ms + 40, Err(cleared)));
            }
        }
    }

    /// Crashes an engine, which accuses all requests in flight there.
    fn crash(&mut self, ms: u64, number: u64) {
        let start = self.starts.entry(number).or_default();
        *start += 1;
        let engine = EngineStart { started_ms: Some(*start), ..engine(number) };
        self.crashes.push(ms);
        let lost = self.in_flight.extract_if(.., |(engine, ..)| *engine == number);
        for (_, gateway, parts, _) in lost.collect::<Vec<_>>() {
            let reporter = format!("gateway-{gateway}").parse().expect("a valid name");
            let id = self.rng.random();
            let suspects = &mut self.gateways[gateway];
            let accusation = suspects.accusation(id, engine.clone(), reporter, &parts);
            suspects.accuse(at(ms), &accusation);
            self.reports.push((ms + 40, Ok(accusation)));
        }
    }
}

#[test]
fn requests_with_a_part_that_crashes_engines_stop_on_all_gateways_and_sound_ones_go_on() {
    for seed in 0..20 {
        let mut fleet = Fleet {
            rng: SmallRng::seed_from_u64(seed),
            gateways: vec![PartSuspects::default(); 8],
            in_flight: vec![],
            reports: vec![],
            starts: BTreeMap::new(),
            crashes: vec![],
            fatal_sends: vec![],
            sound: (0, 0),
        };
        for ms in (0..60_000).step_by(10) {
            let companion = PartId(0x100 + fleet.rng.random_range(0..30));
            let rare = PartId(0x1_000 + fleet.rng.random_range(0..2_000));
            if ms % 20 == 0 {
                fleet.send(ms, vec![SHARED, companion, rare]);
            }
            if ms % 300 == 0 {
                let parts = [vec![SHARED, companion, FATAL], vec![SHARED, FATAL, rare]];
                fleet.send(ms, parts[usize::from(ms % 600 == 0)].clone());
            }
            fleet.step(ms);
        }
        let (answered, sent) = fleet.sound;
        let crashes = fleet.crashes.len();
        assert!((3..=8).contains(&crashes), "seed {seed}: {crashes} crashes");
        let fifth = fleet.crashes.get(4).copied().unwrap_or(60_000);
        let late = fleet.fatal_sends.iter().filter(|sent| **sent > fifth + 3_000).count();
        assert_eq!(late, 0, "seed {seed}: sends later than 3 s after the fifth crash");
        assert!(answered * 100 >= sent * 95, "seed {seed}: {answered} of {sent} sound requests");
    }
}
