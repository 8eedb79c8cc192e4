//! Drives the gate against an abstract engine: what is handed over stays within what the engine bears.

use std::collections::BTreeMap;

use proptest::{prelude::*, test_runner::RngAlgorithm};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use sequoiahold_core::{
    gate::{AdmissionGate, EngineLimits, EngineSnapshot, ProbeId, RequestEnd, RunId},
    ids::{Incarnation, RequestId},
};

const BOUNDS: EngineLimits = EngineLimits { cold: 2, slots: 8 };
/// Requests above the cold limit that may meet an engine that has just turned cold by itself.
const WINDOW: u32 = 1;
const CASES: u32 = 400;
const STEPS: usize = 80;

/// What happens to the engine, its endpoint process and the messages between them.
#[derive(Clone, Debug)]
enum Step {
    Ask,
    BeginLook,
    EndLook(usize),
    LoseLook(usize),
    Head(usize),
    Finish(usize),
    Notice(usize),
    Cool,
    Crash,
    Load,
    Loaded,
    Sleep,
    Restart,
}

/// The engine and the messages in flight.
#[derive(Clone, Debug, Default)]
struct Engine {
    incarnation: u64,
    bears: u32,
    running: Vec<u64>,
    heads: BTreeMap<u64, u32>,
    ended: Vec<(u64, RequestEnd)>,
    looks: Vec<(ProbeId, EngineSnapshot)>,
    loading: bool,
    above: u32,
    allowed: u32,
}

#[derive(Debug)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            12 => Just(Step::Ask),
            6 => Just(Step::BeginLook),
            6 => (0..4usize).prop_map(Step::EndLook),
            1 => (0..4usize).prop_map(Step::LoseLook),
            6 => (0..8usize).prop_map(Step::Head),
            6 => (0..8usize).prop_map(Step::Finish),
            6 => (0..8usize).prop_map(Step::Notice),
            1 => Just(Step::Cool),
            1 => Just(Step::Crash),
            1 => Just(Step::Load),
            2 => Just(Step::Loaded),
            1 => Just(Step::Sleep),
            1 => Just(Step::Restart),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Run {
    gate: AdmissionGate,
    engine: Engine,
    epoch: u64,
    last: u64,
}

impl Run {
    fn ticket(&self, number: u64) -> RunId {
        let vm = "entry-1".parse().expect("a sound name");
        (vm, Incarnation(1), RequestId(number))
    }

    fn ask(&mut self) {
        self.last += 1;
        let (number, ticket) = (self.last, self.ticket(self.last));
        if self.gate.admit(ticket).is_err() {
            return;
        }
        let engine = &mut self.engine;
        engine.above += u32::from(engine.running.len() as u32 >= engine.bears);
        engine.running.push(number);
        engine.heads.insert(number, engine.bears);
    }

    fn turn(&mut self, allowed: u32) {
        self.engine.bears = BOUNDS.cold;
        self.engine.above = 0;
        self.engine.allowed = allowed;
    }

    fn crash(&mut self) {
        self.turn(WINDOW);
        self.engine.incarnation += 1;
        self.engine.heads.clear();
        let broken = self.engine.running.drain(..).map(|number| (number, RequestEnd::Aborted));
        self.engine.ended.extend(broken);
    }

    fn begin_look(&mut self) {
        let look = self.gate.begin_probe();
        let engine = &mut self.engine;
        let version = "v".parse().ok();
        let (incarnation, limit) = (engine.incarnation, engine.bears);
        let seen =
            EngineSnapshot { incarnation, version, limit, running: engine.running.len() as u32 };
        engine.looks.push((look, seen));
    }

    /// Forgets the process: what it handed over still runs, its messages are gone.
    fn restart(&mut self) {
        self.epoch += 1;
        self.gate = new_gate();
        self.engine.looks.clear();
        self.engine.heads.clear();
        self.engine.ended.clear();
        self.engine.loading = false;
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask => self.ask(),
            Step::BeginLook => self.begin_look(),
            Step::EndLook(n) if n < self.engine.looks.len() => {
                let (look, seen) = self.engine.looks.remove(n);
                self.gate.record_probe(look, Some(seen));
            }
            Step::LoseLook(n) if n < self.engine.looks.len() => {
                let (look, _) = self.engine.looks.remove(n);
                self.gate.record_probe(look, None);
            }
            Step::Head(n) => {
                let head = self.engine.heads.iter().nth(n).map(|(number, limit)| (*number, *limit));
                if let Some((number, limit)) = head {
                    self.engine.heads.remove(&number);
                    self.gate.record_head_limit(&self.ticket(number), limit);
                }
            }
            Step::Finish(n) if n < self.engine.running.len() => {
                let number = self.engine.running.remove(n);
                self.engine.bears = (self.engine.bears + 1).min(BOUNDS.slots);
                self.engine.ended.push((number, RequestEnd::Completed));
            }
            Step::Notice(n) if n < self.engine.ended.len() => {
                let (number, ended) = self.engine.ended.remove(n);
                self.engine.heads.remove(&number);
                self.gate.finish(&self.ticket(number), ended);
            }
            Step::Cool => self.turn(WINDOW),
            Step::Crash => self.crash(),
            Step::Load if !self.engine.loading && self.gate.is_fresh() => {
                self.engine.loading = true;
                self.gate.load_started();
            }
            Step::Loaded if self.engine.loading => {
                self.engine.loading = false;
                self.turn(0);
                self.gate.load_ended();
            }
            Step::Sleep => self.gate.invalidate(),
            Step::Restart if !self.engine.loading => self.restart(),
            _ => {}
        }
    }
}

fn new_gate() -> AdmissionGate {
    let mut gate = AdmissionGate::default();
    gate.set_target("v".parse().ok(), BOUNDS);
    gate
}

struct Admission;

impl StateMachineTest for Admission {
    type SystemUnderTest = Run;
    type Reference = Steps;

    fn init_test((): &()) -> Run {
        let engine = Engine { bears: BOUNDS.cold, ..Engine::default() };
        Run { gate: new_gate(), engine, epoch: 0, last: 0 }
    }

    fn apply(mut run: Run, (): &(), step: Step) -> Run {
        run.step(step);
        run
    }

    fn check_invariants(run: &Run, (): &()) {
        let engine = &run.engine;
        assert!(engine.above <= engine.allowed, "{} above what it bears", engine.above);
        assert!(run.gate.limit() <= BOUNDS.slots);
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
    fn hands_over_no_more_than_the_engine_bears(sequential 1..STEPS => Admission);
}
