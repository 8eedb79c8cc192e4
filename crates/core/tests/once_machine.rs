//! Drives the keys of two endpoints against the abstract state of `spec/once.pml`, with a clock.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sequoiahold_core::{
    ids::{ClientId, Generation, Incarnation, VmId},
    once::{CallKey, CallRegistry, Handover, KEY_LIFETIME, KeyedCall, Verdict},
    suspect::Fingerprint,
    time::Time,
    units::Span,
};

/// Steps of the clock in the life of a key.
const LIFE: u64 = 4;
/// The last generation that is published.
const GENERATIONS: u64 = 4;

/// Returns the endpoint that owns the key under a generation.
fn owner(generation: u64) -> usize {
    usize::from(generation.is_multiple_of(2))
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Earlier {
    Silent,
    Until(u64),
}

#[derive(Clone, Copy, Debug)]
struct Given {
    generation: u64,
    asked: u64,
    age: u64,
    known: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Endpoint {
    generation: u64,
    newest: u64,
    changed: u64,
    since: u64,
    blank: bool,
    elsewhere: bool,
    known: bool,
    earlier: Option<Earlier>,
    asked: Option<u64>,
    given: Option<Given>,
}

/// The abstract state.
#[derive(Clone, Debug, Default)]
struct Model {
    now: u64,
    published: u64,
    used: Option<u64>,
    ends: [Endpoint; 2],
    runs: u32,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Publish,
    Wait(u64),
    Adopt(usize, u64),
    Ask(usize),
    HandOver(usize),
    TakeOver(usize),
    Lose(usize),
    Offer(usize),
    Restart(usize),
}

impl Model {
    fn alive(&self) -> bool {
        self.used.is_none_or(|used| self.now < used + LIFE)
    }

    fn settled(&self, x: usize) -> bool {
        let end = &self.ends[x];
        let over = matches!(end.earlier, Some(Earlier::Until(at)) if at <= self.now);
        over && (!end.blank || self.now >= end.since + LIFE)
    }

    fn may_run(&self, x: usize) -> bool {
        let end = &self.ends[x];
        let always = !end.blank && !end.elsewhere;
        end.generation > 0
            && owner(end.generation) == x
            && end.newest <= end.generation
            && (always || self.settled(x))
    }

    fn adopt(&mut self, x: usize, generation: u64) {
        let now = self.now;
        let end = &mut self.ends[x];
        if end.generation == 0 {
            (end.since, end.blank) = (now, true);
        }
        if end.generation == 0 || owner(end.generation) != owner(generation) {
            end.elsewhere |= end.generation > 0 && owner(end.generation) != x;
            end.changed = generation;
            end.earlier = Some(Earlier::Silent);
        }
        end.generation = generation;
        end.newest = end.newest.max(generation);
    }

    fn hand_over(&mut self, to: usize) {
        let Some(asked) = self.ends[to].asked.take() else { return };
        let own = &mut self.ends[1 - to];
        own.newest = own.newest.max(asked);
        let known = own.known && owner(asked) == to;
        let age = if own.generation == 0 { 0 } else { self.now - own.since };
        let given = Given { generation: own.generation, asked, age, known };
        self.ends[to].given = Some(given);
    }

    fn take_over(&mut self, x: usize) {
        let Some(given) = self.ends[x].given else { return };
        let end = &mut self.ends[x];
        end.newest = end.newest.max(given.generation);
        if given.generation < end.changed || given.generation > given.asked {
            return;
        }
        end.known |= given.known;
        if end.earlier == Some(Earlier::Silent) {
            end.earlier = Some(Earlier::Until(self.now + LIFE.saturating_sub(given.age)));
        }
    }

    fn settle(&mut self, x: usize) {
        if self.ends[x].generation > 0 && self.settled(x) {
            self.ends[x].blank = false;
            self.ends[x].elsewhere = false;
        }
    }

    fn offer(&mut self, x: usize) {
        self.used.get_or_insert(self.now);
        let runs = !self.ends[x].known && self.may_run(x);
        if !self.ends[x].known {
            self.settle_on_decide(x);
        }
        if runs {
            self.ends[x].known = true;
            self.runs += 1;
        }
    }

    /// The code settles while it decides, unless the newest generation or the owner forbids the run.
    fn settle_on_decide(&mut self, x: usize) {
        let end = &self.ends[x];
        let asks = owner(end.generation) == x && end.newest <= end.generation;
        if asks && (end.blank || end.elsewhere) {
            self.settle(x);
        }
    }
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self { published: 1, ..Self::default() }).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let ends = [0, 1].into_iter();
        let frequent = ends.flat_map(|x| {
            let adopt = (1..=GENERATIONS).map(move |g| Step::Adopt(x, g));
            let steps = [Step::Ask(x), Step::HandOver(x), Step::TakeOver(x), Step::Offer(x)];
            adopt.chain(steps)
        });
        let mut steps: Vec<Step> = frequent.flat_map(|step| [step; 3]).collect();
        steps.extend([0, 1].into_iter().flat_map(|x| [Step::Lose(x), Step::Restart(x)]));
        steps.extend([Step::Publish, Step::Wait(1), Step::Wait(LIFE)]);
        steps.retain(|step| Self::preconditions(state, step));
        proptest::sample::select(steps).boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match *step {
            Step::Publish => state.published < GENERATIONS,
            Step::Adopt(x, g) => g <= state.published && g > state.ends[x].generation,
            Step::Ask(x) => state.ends[x].earlier == Some(Earlier::Silent),
            Step::HandOver(x) => state.ends[x].asked.is_some(),
            Step::TakeOver(x) => state.ends[x].given.is_some() && state.ends[x].generation > 0,
            Step::Offer(_) => state.alive(),
            Step::Lose(_) | Step::Restart(_) | Step::Wait(_) => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match *step {
            Step::Publish => state.published += 1,
            Step::Wait(span) => state.now += span,
            Step::Adopt(x, g) => state.adopt(x, g),
            Step::Ask(x) => state.ends[x].asked = Some(state.ends[x].generation),
            Step::HandOver(to) => state.hand_over(to),
            Step::TakeOver(x) => state.take_over(x),
            Step::Lose(x) => state.ends[x].given = None,
            Step::Offer(x) => state.offer(x),
            Step::Restart(x) => {
                state.ends[x] = Endpoint::default();
                state.ends[1 - x].asked = None;
            }
        }
        state
    }
}

/// The code under test and the messages between its endpoints.
struct Keys {
    now: Time,
    ends: [CallRegistry; 2],
    asked: [Option<u64>; 2],
    given: [Option<Handover>; 2],
    runs: u32,
}

fn vm(x: usize) -> VmId {
    ["vm-0", "vm-1"][x].parse().expect("a name")
}

fn client() -> ClientId {
    "c1".parse().expect("a name")
}

fn key() -> CallKey {
    "order-1".parse().expect("a key")
}

fn call<'a>(client: &'a ClientId, key: &'a CallKey) -> KeyedCall<'a> {
    KeyedCall { client, key, fingerprint: Fingerprint(1) }
}

fn members(generation: u64) -> Vec<VmId> {
    vec![vm(owner(generation))]
}

fn fresh(x: usize) -> CallRegistry {
    CallRegistry::new(vm(x), Incarnation(1), Time::default())
}

impl Keys {
    fn offer(&mut self, x: usize, expected: bool) {
        let verdict = self.ends[x].decide(self.now, call(&client(), &key()));
        let runs = verdict == Verdict::Run;
        assert_eq!(runs, expected, "endpoint {x}: {verdict:?}");
        if runs {
            self.ends[x].begin(self.now, call(&client(), &key()));
            self.runs += 1;
        }
    }

    fn adopt(&mut self, x: usize, generation: u64) {
        let (now, own) = (self.now, Generation(generation));
        self.ends[x].adopt(now, own, members(generation), &[vm(0), vm(1)]);
    }

    fn hand_over(&mut self, to: usize) {
        let Some(asked) = self.asked[to].take() else { return };
        let (now, at) = (self.now, Generation(asked));
        let given = self.ends[1 - to].handover_for(now, &vm(to), &members(asked), at);
        self.given[to] = Some(given);
    }
}

impl StateMachineTest for Keys {
    type Reference = Model;
    type SystemUnderTest = Self;

    fn init_test(_: &Model) -> Self {
        let (asked, given) = Default::default();
        Self { now: Time::default(), ends: [fresh(0), fresh(1)], asked, given, runs: 0 }
    }

    fn apply(mut keys: Self, model: &Model, step: Step) -> Self {
        match step {
            Step::Publish => {}
            Step::Wait(span) => keys.now = keys.now + Span(KEY_LIFETIME.0 / LIFE * span),
            Step::Adopt(x, g) => keys.adopt(x, g),
            Step::Ask(x) => keys.asked[x] = Some(model.ends[x].generation),
            Step::HandOver(to) => keys.hand_over(to),
            Step::TakeOver(x) => {
                if let Some(given) = keys.given[x].clone() {
                    keys.ends[x].import_handover(keys.now, &vm(1 - x), given);
                }
            }
            Step::Lose(x) => keys.given[x] = None,
            Step::Offer(x) => keys.offer(x, model.runs > keys.runs),
            Step::Restart(x) => {
                keys.ends[x] = fresh(x);
                (keys.asked[x], keys.given[x], keys.asked[1 - x]) = (None, None, None);
            }
        }
        keys
    }

    fn check_invariants(keys: &Self, model: &Model) {
        assert!(keys.runs <= 1, "a key ran {} times", keys.runs);
        assert_eq!(keys.runs, model.runs);
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 6_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    })]

    #[test]
    fn keys_follow_the_specification(sequential 1..60 => Keys);
}
