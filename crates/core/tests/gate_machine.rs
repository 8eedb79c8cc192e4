//! Drives the gate against a simulated engine and checks that admitted requests fit its capacity.

use std::collections::BTreeMap;

use proptest::{prelude::*, test_runner::RngAlgorithm};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use sequoiahold_core::{
    gate::{AdmissionGate, EngineLimits, EngineSnapshot, ProbeId, RequestEnd, RunId},
    ids::{Incarnation, RequestId},
};

const LIMITS: EngineLimits = EngineLimits { cold: 2, slots: 8 };
/// Requests above the cold limit that may reach an engine that has just turned cold by itself.
const MAX_EXCESS: u32 = 1;
const CASES: u32 = 400;
const MAX_STEPS: usize = 80;

/// An event at the engine, at its endpoint process or in the messages between them.
#[derive(Clone, Debug)]
enum Step {
    Request,
    BeginProbe,
    EndProbe(usize),
    LoseProbe(usize),
    AnswerHead(usize),
    Finish(usize),
    ReportEnd(usize),
    TurnCold,
    Crash,
    BeginLoad,
    EndLoad,
    Suspend,
    Restart,
}

/// The simulated engine and the messages in flight.
#[derive(Clone, Debug, Default)]
struct Engine {
    incarnation: u64,
    capacity: u32,
    running: Vec<u64>,
    heads: BTreeMap<u64, u32>,
    ended: Vec<(u64, RequestEnd)>,
    probes: Vec<(ProbeId, EngineSnapshot)>,
    loading: bool,
    /// Requests received above the capacity since the engine last turned cold.
    excess: u32,
    /// The permitted value of `excess`.
    max_excess: u32,
}

#[derive(Debug)]
struct StepGenerator;

impl ReferenceStateMachine for StepGenerator {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            12 => Just(Step::Request),
            6 => Just(Step::BeginProbe),
            6 => (0..4usize).prop_map(Step::EndProbe),
            1 => (0..4usize).prop_map(Step::LoseProbe),
            6 => (0..8usize).prop_map(Step::AnswerHead),
            6 => (0..8usize).prop_map(Step::Finish),
            6 => (0..8usize).prop_map(Step::ReportEnd),
            1 => Just(Step::TurnCold),
            1 => Just(Step::Crash),
            1 => Just(Step::BeginLoad),
            2 => Just(Step::EndLoad),
            1 => Just(Step::Suspend),
            1 => Just(Step::Restart),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Harness {
    gate: AdmissionGate,
    engine: Engine,
    epoch: u64,
    last_request: u64,
}

impl Harness {
    fn run_id(&self, number: u64) -> RunId {
        let vm = "entry-1".parse().expect("valid name");
        (vm, Incarnation(1), RequestId(number))
    }

    fn request(&mut self) {
        self.last_request += 1;
        let (number, run_id) = (self.last_request, self.run_id(self.last_request));
        if self.gate.admit(run_id).is_err() {
            return;
        }
        let engine = &mut self.engine;
        engine.excess += u32::from(engine.running.len() as u32 >= engine.capacity);
        engine.running.push(number);
        engine.heads.insert(number, engine.capacity);
    }

    fn turn_cold(&mut self, max_excess: u32) {
        self.engine.capacity = LIMITS.cold;
        self.engine.excess = 0;
        self.engine.max_excess = max_excess;
    }

    fn crash(&mut self) {
        self.turn_cold(MAX_EXCESS);
        self.engine.incarnation += 1;
        self.engine.heads.clear();
        let aborted = self.engine.running.drain(..).map(|number| (number, RequestEnd::Aborted));
        self.engine.ended.extend(aborted);
    }

    fn begin_probe(&mut self) {
        let probe = self.gate.begin_probe();
        let engine = &mut self.engine;
        let version = "v".parse().ok();
        let (incarnation, limit) = (engine.incarnation, engine.capacity);
        let snapshot =
            EngineSnapshot { incarnation, version, limit, running: engine.running.len() as u32 };
        engine.probes.push((probe, snapshot));
    }

    /// Restarts the endpoint process; its requests still run at the engine, its messages are lost.
    fn restart(&mut self) {
        self.epoch += 1;
        self.gate = new_gate();
        self.engine.probes.clear();
        self.engine.heads.clear();
        self.engine.ended.clear();
        self.engine.loading = false;
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Request => self.request(),
            Step::BeginProbe => self.begin_probe(),
            Step::EndProbe(n) if n < self.engine.probes.len() => {
                let (probe, snapshot) = self.engine.probes.remove(n);
                self.gate.record_probe(probe, Some(snapshot));
            }
            Step::LoseProbe(n) if n < self.engine.probes.len() => {
                let (probe, _) = self.engine.probes.remove(n);
                self.gate.record_probe(probe, None);
            }
            Step::AnswerHead(n) => {
                let head = self.engine.heads.iter().nth(n).map(|(number, limit)| (*number, *limit));
                if let Some((number, limit)) = head {
                    self.engine.heads.remove(&number);
                    self.gate.record_head_limit(&self.run_id(number), limit);
                }
            }
            Step::Finish(n) if n < self.engine.running.len() => {
                let number = self.engine.running.remove(n);
                self.engine.capacity = (self.engine.capacity + 1).min(LIMITS.slots);
                self.engine.ended.push((number, RequestEnd::Completed));
            }
            Step::ReportEnd(n) if n < self.engine.ended.len() => {
                let (number, ended) = self.engine.ended.remove(n);
                self.engine.heads.remove(&number);
                self.gate.finish(&self.run_id(number), ended);
            }
            Step::TurnCold => self.turn_cold(MAX_EXCESS),
            Step::Crash => self.crash(),
            Step::BeginLoad if !self.engine.loading && self.gate.is_fresh() => {
                self.engine.loading = true;
                self.gate.load_started();
            }
            Step::EndLoad if self.engine.loading => {
                self.engine.loading = false;
                self.turn_cold(0);
                self.gate.load_ended();
            }
            Step::Suspend => self.gate.invalidate(),
            Step::Restart if !self.engine.loading => self.restart(),
            _ => {}
        }
    }
}

fn new_gate() -> AdmissionGate {
    let mut gate = AdmissionGate::default();
    gate.set_target("v".parse().ok(), LIMITS);
    gate
}

struct AdmissionTest;

impl StateMachineTest for AdmissionTest {
    type SystemUnderTest = Harness;
    type Reference = StepGenerator;

    fn init_test((): &()) -> Harness {
        let engine = Engine { capacity: LIMITS.cold, ..Engine::default() };
        Harness { gate: new_gate(), engine, epoch: 0, last_request: 0 }
    }

    fn apply(mut harness: Harness, (): &(), step: Step) -> Harness {
        harness.step(step);
        harness
    }

    fn check_invariants(harness: &Harness, (): &()) {
        let engine = &harness.engine;
        assert!(
            engine.excess <= engine.max_excess,
            "{} requests above the capacity of the engine",
            engine.excess
        );
        assert!(harness.gate.limit() <= LIMITS.slots);
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn admitted_requests_stay_within_the_engine_capacity(sequential 1..MAX_STEPS => AdmissionTest);
}
