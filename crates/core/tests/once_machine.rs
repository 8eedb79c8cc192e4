//! Drives the call registries of two endpoints against a model of `spec/once.pml` with a clock.

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

/// Clock steps in the lifetime of a key.
const LIFETIME_STEPS: u64 = 4;
/// The last generation that is published.
const LAST_GENERATION: u64 = 4;

/// Returns the endpoint that owns the key under a generation.
fn owner(generation: u64) -> usize {
    usize::from(generation.is_multiple_of(2))
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum PreviousOwner {
    /// The other endpoint has not confirmed the current generation.
    Unconfirmed,
    /// Callers may repeat keys that the other endpoint has run until this time.
    Until(u64),
}

#[derive(Clone, Copy, Debug)]
struct ModelHandover {
    generation: u64,
    requested: u64,
    age: u64,
    has_record: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct ModelEndpoint {
    generation: u64,
    highest_generation: u64,
    /// The generation of the last change of owners.
    changed_generation: u64,
    adopted_at: u64,
    /// Whether an earlier incarnation may have run the key.
    records_lost: bool,
    /// Whether the other endpoint owned the key under an earlier generation.
    owned_elsewhere: bool,
    has_record: bool,
    previous_owner: Option<PreviousOwner>,
    requested: Option<u64>,
    handover: Option<ModelHandover>,
}

/// The reference model.
#[derive(Clone, Debug, Default)]
struct Model {
    now: u64,
    published: u64,
    first_use: Option<u64>,
    endpoints: [ModelEndpoint; 2],
    runs: u32,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Publish,
    Wait(u64),
    Adopt(usize, u64),
    RequestHandover(usize),
    SendHandover(usize),
    ImportHandover(usize),
    LoseHandover(usize),
    Call(usize),
    Restart(usize),
}

impl Model {
    fn is_alive(&self) -> bool {
        self.first_use.is_none_or(|first_use| self.now < first_use + LIFETIME_STEPS)
    }

    fn is_settled(&self, x: usize) -> bool {
        let endpoint = &self.endpoints[x];
        let expired =
            matches!(endpoint.previous_owner, Some(PreviousOwner::Until(at)) if at <= self.now);
        expired && (!endpoint.records_lost || self.now >= endpoint.adopted_at + LIFETIME_STEPS)
    }

    fn may_run(&self, x: usize) -> bool {
        let endpoint = &self.endpoints[x];
        let always_owned = !endpoint.records_lost && !endpoint.owned_elsewhere;
        endpoint.generation > 0
            && owner(endpoint.generation) == x
            && endpoint.highest_generation <= endpoint.generation
            && (always_owned || self.is_settled(x))
    }

    fn adopt(&mut self, x: usize, generation: u64) {
        let now = self.now;
        let endpoint = &mut self.endpoints[x];
        if endpoint.generation == 0 {
            (endpoint.adopted_at, endpoint.records_lost) = (now, true);
        }
        if endpoint.generation == 0 || owner(endpoint.generation) != owner(generation) {
            endpoint.owned_elsewhere |= endpoint.generation > 0 && owner(endpoint.generation) != x;
            endpoint.changed_generation = generation;
            endpoint.previous_owner = Some(PreviousOwner::Unconfirmed);
        }
        endpoint.generation = generation;
        endpoint.highest_generation = endpoint.highest_generation.max(generation);
    }

    fn send_handover(&mut self, to: usize) {
        let Some(requested) = self.endpoints[to].requested.take() else { return };
        let own = &mut self.endpoints[1 - to];
        own.highest_generation = own.highest_generation.max(requested);
        let has_record = own.has_record && owner(requested) == to;
        let age = if own.generation == 0 { 0 } else { self.now - own.adopted_at };
        let handover = ModelHandover { generation: own.generation, requested, age, has_record };
        self.endpoints[to].handover = Some(handover);
    }

    fn import_handover(&mut self, x: usize) {
        let Some(handover) = self.endpoints[x].handover else { return };
        let endpoint = &mut self.endpoints[x];
        endpoint.highest_generation = endpoint.highest_generation.max(handover.generation);
        if handover.generation < endpoint.changed_generation
            || handover.generation > handover.requested
        {
            return;
        }
        endpoint.has_record |= handover.has_record;
        if endpoint.previous_owner == Some(PreviousOwner::Unconfirmed) {
            endpoint.previous_owner =
                Some(PreviousOwner::Until(self.now + LIFETIME_STEPS.saturating_sub(handover.age)));
        }
    }

    fn settle(&mut self, x: usize) {
        if self.endpoints[x].generation > 0 && self.is_settled(x) {
            self.endpoints[x].records_lost = false;
            self.endpoints[x].owned_elsewhere = false;
        }
    }

    fn call_key(&mut self, x: usize) {
        self.first_use.get_or_insert(self.now);
        let runs = !self.endpoints[x].has_record && self.may_run(x);
        if !self.endpoints[x].has_record {
            self.settle_before_run(x);
        }
        if runs {
            self.endpoints[x].has_record = true;
            self.runs += 1;
        }
    }

    /// Settles as the registry does while it decides, unless a newer generation or the owner
    /// forbids the call.
    fn settle_before_run(&mut self, x: usize) {
        let endpoint = &self.endpoints[x];
        let may_settle =
            owner(endpoint.generation) == x && endpoint.highest_generation <= endpoint.generation;
        if may_settle && (endpoint.records_lost || endpoint.owned_elsewhere) {
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
        let endpoints = [0, 1].into_iter();
        let frequent = endpoints.flat_map(|x| {
            let adopt = (1..=LAST_GENERATION).map(move |g| Step::Adopt(x, g));
            let steps = [
                Step::RequestHandover(x),
                Step::SendHandover(x),
                Step::ImportHandover(x),
                Step::Call(x),
            ];
            adopt.chain(steps)
        });
        let mut steps: Vec<Step> = frequent.flat_map(|step| [step; 3]).collect();
        steps.extend([0, 1].into_iter().flat_map(|x| [Step::LoseHandover(x), Step::Restart(x)]));
        steps.extend([Step::Publish, Step::Wait(1), Step::Wait(LIFETIME_STEPS)]);
        steps.retain(|step| Self::preconditions(state, step));
        proptest::sample::select(steps).boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match *step {
            Step::Publish => state.published < LAST_GENERATION,
            Step::Adopt(x, g) => g <= state.published && g > state.endpoints[x].generation,
            Step::RequestHandover(x) => {
                state.endpoints[x].previous_owner == Some(PreviousOwner::Unconfirmed)
            }
            Step::SendHandover(x) => state.endpoints[x].requested.is_some(),
            Step::ImportHandover(x) => {
                state.endpoints[x].handover.is_some() && state.endpoints[x].generation > 0
            }
            Step::Call(_) => state.is_alive(),
            Step::LoseHandover(_) | Step::Restart(_) | Step::Wait(_) => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match *step {
            Step::Publish => state.published += 1,
            Step::Wait(span) => state.now += span,
            Step::Adopt(x, g) => state.adopt(x, g),
            Step::RequestHandover(x) => {
                state.endpoints[x].requested = Some(state.endpoints[x].generation)
            }
            Step::SendHandover(to) => state.send_handover(to),
            Step::ImportHandover(x) => state.import_handover(x),
            Step::LoseHandover(x) => state.endpoints[x].handover = None,
            Step::Call(x) => state.call_key(x),
            Step::Restart(x) => {
                state.endpoints[x] = ModelEndpoint::default();
                state.endpoints[1 - x].requested = None;
            }
        }
        state
    }
}

/// The registries under test and the messages between them.
struct EndpointPair {
    now: Time,
    endpoints: [CallRegistry; 2],
    requested: [Option<u64>; 2],
    handover: [Option<Handover>; 2],
    runs: u32,
}

fn vm(x: usize) -> VmId {
    ["vm-0", "vm-1"][x].parse().expect("valid name")
}

fn client() -> ClientId {
    "c1".parse().expect("valid name")
}

fn key() -> CallKey {
    "order-1".parse().expect("valid key")
}

fn call<'a>(client: &'a ClientId, key: &'a CallKey) -> KeyedCall<'a> {
    KeyedCall { client, key, fingerprint: Fingerprint(1) }
}

fn members(generation: u64) -> Vec<VmId> {
    vec![vm(owner(generation))]
}

fn new_registry(x: usize) -> CallRegistry {
    CallRegistry::new(vm(x), Incarnation(1), Time::default())
}

impl EndpointPair {
    fn call_key(&mut self, x: usize, expected: bool) {
        let verdict = self.endpoints[x].decide(self.now, call(&client(), &key()));
        let runs = verdict == Verdict::Run;
        assert_eq!(runs, expected, "endpoint {x}: {verdict:?}");
        if runs {
            self.endpoints[x].begin(self.now, call(&client(), &key()));
            self.runs += 1;
        }
    }

    fn adopt(&mut self, x: usize, generation: u64) {
        let (now, own) = (self.now, Generation(generation));
        self.endpoints[x].adopt(now, own, members(generation), &[vm(0), vm(1)]);
    }

    fn send_handover(&mut self, to: usize) {
        let Some(requested) = self.requested[to].take() else { return };
        let (now, at) = (self.now, Generation(requested));
        let handover = self.endpoints[1 - to].handover_for(now, &vm(to), &members(requested), at);
        self.handover[to] = Some(handover);
    }
}

impl StateMachineTest for EndpointPair {
    type Reference = Model;
    type SystemUnderTest = Self;

    fn init_test(_: &Model) -> Self {
        let (requested, handover) = Default::default();
        Self {
            now: Time::default(),
            endpoints: [new_registry(0), new_registry(1)],
            requested,
            handover,
            runs: 0,
        }
    }

    fn apply(mut pair: Self, model: &Model, step: Step) -> Self {
        match step {
            Step::Publish => {}
            Step::Wait(span) => pair.now = pair.now + Span(KEY_LIFETIME.0 / LIFETIME_STEPS * span),
            Step::Adopt(x, g) => pair.adopt(x, g),
            Step::RequestHandover(x) => pair.requested[x] = Some(model.endpoints[x].generation),
            Step::SendHandover(to) => pair.send_handover(to),
            Step::ImportHandover(x) => {
                if let Some(handover) = pair.handover[x].clone() {
                    pair.endpoints[x].import_handover(pair.now, &vm(1 - x), handover);
                }
            }
            Step::LoseHandover(x) => pair.handover[x] = None,
            Step::Call(x) => pair.call_key(x, model.runs > pair.runs),
            Step::Restart(x) => {
                pair.endpoints[x] = new_registry(x);
                (pair.requested[x], pair.handover[x], pair.requested[1 - x]) = (None, None, None);
            }
        }
        pair
    }

    fn check_invariants(pair: &Self, model: &Model) {
        assert!(pair.runs <= 1, "a key ran {} times", pair.runs);
        assert_eq!(pair.runs, model.runs);
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
    fn call_keys_match_reference_model(sequential 1..60 => EndpointPair);
}
