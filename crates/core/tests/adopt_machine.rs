//! Drives the configuration of three processes against the abstract state of `spec/config.pml`.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sequoiahold_core::{
    config::{
        ConfigCall, ConfigNode, ConfigReply, ConfigState, Identity, Output, Seed, SetSource,
        SyncParams,
    },
    declare::{PublishedSet, SetId, load::read_set},
    ids::{Generation, VmId},
    time::Time,
    units::Span,
};
use serde_json::json;

const N: usize = 3;
/// The sets in their order; two carry generation 2.
const SETS: usize = 4;
const TIMING: SyncParams = SyncParams {
    gossip_interval: Span::secs(2),
    fanout: 4,
    readers: 3,
    seed_timeout: Span::secs(2),
    stale_after: Span::secs(4),
};

/// What happens; the names are those of the transitions of the specification.
#[derive(Clone, Debug)]
enum Step {
    Publish,
    RollBack,
    Recover,
    Crash(usize),
    Hear(usize, usize),
    Silent(usize, usize),
    Read(usize),
}

/// The abstract state: what each process must hold at least, 0 for nothing.
#[derive(Clone, Debug)]
struct Abstract {
    published: usize,
    shown: usize,
    least: [usize; N],
    /// The seeds that have not answered a process that starts.
    unanswered: [BTreeSet<usize>; N],
    /// What each seed told a process that starts, while the seed lives.
    told: [[usize; N]; N],
}

impl Abstract {
    fn begin(&mut self, i: usize) {
        self.least[i] = 0;
        self.unanswered[i] = (0..N).filter(|j| *j != i).collect();
        self.told[i] = [0; N];
        (0..N).for_each(|k| self.told[k][i] = 0);
    }

    fn answered(&mut self, i: usize, j: usize) {
        self.unanswered[i].remove(&j);
        if self.unanswered[i].is_empty() {
            let best = self.told[i].iter().copied().max().unwrap_or(0);
            self.least[i] = self.least[i].max(best);
        }
    }
}

impl ReferenceStateMachine for Abstract {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let mut state = Self {
            published: 1,
            shown: 1,
            least: [0; N],
            unanswered: Default::default(),
            told: [[0; N]; N],
        };
        (0..N).for_each(|i| state.begin(i));
        Just(state).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let pair = || (0..N, 1..N).prop_map(|(i, d)| (i, (i + d) % N));
        prop_oneof![
            1 => Just(Step::Publish),
            1 => Just(Step::RollBack),
            1 => Just(Step::Recover),
            1 => (0..N).prop_map(Step::Crash),
            6 => pair().prop_map(|(i, j)| Step::Hear(i, j)),
            1 => pair().prop_map(|(i, j)| Step::Silent(i, j)),
            3 => (0..N).prop_map(Step::Read),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match step {
            Step::Publish => state.published < SETS,
            Step::RollBack => state.shown > 1,
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match *step {
            Step::Publish => {
                state.published += 1;
                state.shown = state.published;
            }
            Step::RollBack => state.shown -= 1,
            Step::Recover => state.shown = state.published,
            Step::Crash(i) => state.begin(i),
            Step::Hear(i, j) if state.unanswered[i].is_empty() => {
                state.least[i] = state.least[i].max(state.least[j]);
            }
            Step::Hear(i, j) => {
                state.told[i][j] = state.told[i][j].max(state.least[j]);
                state.answered(i, j);
            }
            Step::Silent(i, j) => state.answered(i, j),
            Step::Read(i) if state.unanswered[i].is_empty() => {
                state.least[i] = state.least[i].max(state.shown);
            }
            Step::Read(_) => {}
        }
        state
    }
}

/// Three processes, with a network and a platform that answer at once.
struct Processes {
    nodes: Vec<ConfigNode>,
    sets: Vec<PublishedSet>,
    shown: usize,
    published: usize,
    held: [Option<SetId>; N],
    now: Time,
}

fn vm(i: usize) -> VmId {
    format!("e{i}").parse().expect("a name")
}

fn addr(i: usize) -> SocketAddr {
    ([10, 0, 0, i as u8 + 1], 7400).into()
}

fn sets() -> Vec<PublishedSet> {
    let set = |generation: u64, timeout: &str| {
        let mut objects = vec![
            json!({"kind": "zone", "name": "z", "region": "r", "link": "1MB/s"}),
            json!({"kind": "service", "name": "s", "backend": "plain", "repeatable": true, "timeout": timeout}),
            json!({"kind": "pool", "name": "p", "service": "s", "slots": 1, "cold": 1}),
            json!({"kind": "vm", "name": "w", "zone": "z", "role": {"endpoint": "p"}, "addr": "10.0.0.9:7400"}),
        ];
        objects.extend((0..N).map(
            |i| json!({"kind": "vm", "name": vm(i), "zone": "z", "role": "entry", "addr": addr(i)}),
        ));
        let text = serde_json::Value::Array(objects).to_string();
        let (declared, _) = read_set([("set.json", text.as_str())]).expect("a sound set");
        PublishedSet::render(&declared, Generation(generation)).expect("a set")
    };
    let mut sets = vec![set(1, "1s"), set(2, "2s"), set(2, "3s"), set(3, "4s")];
    sets.sort_by_key(|set| set.head.id());
    sets
}

impl Processes {
    fn start(&mut self, i: usize) {
        let own = Identity { vm: vm(i), zone: "z".parse().expect("a name"), addr: addr(i) };
        let others = (0..N).filter(|j| *j != i);
        let seeds = others.map(|j| Seed { vm: vm(j), addr: addr(j) }).collect();
        self.nodes[i] = ConfigNode::new(own, TIMING, seeds, self.now, i as u64);
        self.held[i] = None;
    }

    /// Answers what a process asks for to fetch a set, until it asks no more.
    fn serve(&mut self, i: usize) {
        loop {
            let outputs = self.nodes[i].take_outputs();
            let asked = outputs.len();
            for output in outputs {
                self.answer(i, output);
            }
            if asked == 0 {
                return;
            }
        }
    }

    fn answer(&mut self, i: usize, output: Output) {
        let now = self.now;
        let at = |addr: SocketAddr| (0..N).find(|j| self::addr(*j) == addr);
        match output {
            Output::RequestSet(from, peer) => {
                let reply = at(peer).map(|j| self.nodes[j].handle_call(now, &ConfigCall::Set));
                let Some(ConfigReply::Set(set)) = reply else { return };
                self.nodes[i].receive_set(now, &from, set);
            }
            Output::RequestHead(from, peer, base) => {
                let reply =
                    at(peer).map(|j| self.nodes[j].handle_call(now, &ConfigCall::Head(base)));
                let Some(ConfigReply::Head(head)) = reply else { return };
                self.nodes[i].receive_head(now, &from, head.as_ref());
            }
            Output::RequestPart(source, digest) => {
                let part = match &source {
                    SetSource::Peer(_, peer) => at(*peer).and_then(|j| self.nodes[j].part(&digest)),
                    SetSource::Platform => {
                        self.sets.iter().find_map(|set| set.parts.get(&digest).cloned())
                    }
                };
                self.nodes[i].receive_part(now, &source, digest, part);
            }
            _ => {}
        }
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = Processes;
    type Reference = Abstract;

    fn init_test(_: &Abstract) -> Processes {
        let own = || Identity { vm: vm(0), zone: "z".parse().expect("a name"), addr: addr(0) };
        let blank = || ConfigNode::new(own(), TIMING, vec![], Time::default(), 0);
        let nodes = (0..N).map(|_| blank()).collect();
        let (sets, held) = (sets(), [None; N]);
        let mut processes =
            Processes { nodes, sets, shown: 1, published: 1, held, now: Time::default() };
        (0..N).for_each(|i| processes.start(i));
        processes
    }

    fn apply(mut processes: Processes, _: &Abstract, step: Step) -> Processes {
        processes.now = processes.now + Span(1);
        let now = processes.now;
        match step {
            Step::Publish => {
                processes.published += 1;
                processes.shown = processes.published;
            }
            Step::RollBack => processes.shown -= 1,
            Step::Recover => processes.shown = processes.published,
            Step::Crash(i) => processes.start(i),
            Step::Hear(i, j) => {
                let gossip = processes.nodes[j].gossip(now);
                processes.nodes[i].receive_gossip(now, &gossip);
                processes.serve(i);
            }
            Step::Silent(i, j) => {
                processes.nodes[i].peer_unresponsive(now, &vm(j));
                processes.serve(i);
            }
            Step::Read(i) => {
                if processes.nodes[i].state() != ConfigState::Asking {
                    let head = processes.sets[processes.shown - 1].head.clone();
                    processes.nodes[i].receive_platform_head(now, Ok(head));
                    processes.serve(i);
                }
            }
        }
        for i in 0..N {
            let id = processes.nodes[i].set_id();
            assert!(id >= processes.held[i], "process {i} went back from {:?}", processes.held[i]);
            processes.held[i] = id;
        }
        processes
    }

    fn check_invariants(processes: &Processes, state: &Abstract) {
        for i in 0..N {
            let id = processes.nodes[i].set_id();
            let rank = processes.sets.iter().position(|set| Some(set.head.id()) == id);
            assert_eq!(id.is_some(), rank.is_some(), "process {i} holds a set that was published");
            let held = rank.map_or(0, |rank| rank + 1);
            assert!(held <= state.published, "process {i} holds {held}, not published yet");
            assert!(held >= state.least[i], "process {i} holds {held}, below {}", state.least[i]);
            let asking = !state.unanswered[i].is_empty();
            assert_eq!(asking, processes.nodes[i].state() == ConfigState::Asking, "process {i}");
            assert!(!(asking && id.is_some()), "process {i} takes no set before its seeds answer");
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    })]
    #[test]
    fn adoption_follows_the_specification(sequential 1..60 => Machine);
}

#[test]
fn sets_under_one_generation_are_counted_and_settle_the_same_way() {
    let sets = sets();
    assert!(sets[1].head.id().conflicts_with(&sets[2].head.id()));
    let mut ends = Vec::new();
    for order in [[1, 2], [2, 1]] {
        let mut processes = Machine::init_test(&Abstract {
            published: SETS,
            shown: 1,
            least: [0; N],
            unanswered: Default::default(),
            told: [[0; N]; N],
        });
        (1..N).for_each(|j| processes.nodes[0].peer_unresponsive(processes.now, &vm(j)));
        for set in order {
            let head = processes.sets[set].head.clone();
            processes.nodes[0].receive_platform_head(processes.now, Ok(head));
            processes.serve(0);
        }
        assert_eq!(processes.nodes[0].counters().conflicts, 1);
        ends.push(processes.nodes[0].set_id());
    }
    assert_eq!(ends, [Some(sets[2].head.id()); 2]);
}

#[test]
fn a_part_that_does_not_match_its_digest_is_not_taken() {
    let mut processes = Machine::init_test(&Abstract {
        published: 1,
        shown: 1,
        least: [0; N],
        unanswered: Default::default(),
        told: [[0; N]; N],
    });
    (1..N).for_each(|j| processes.nodes[0].peer_unresponsive(processes.now, &vm(j)));
    let head = processes.sets[0].head.clone();
    processes.nodes[0].receive_platform_head(processes.now, Ok(head));
    let asked = processes.nodes[0].take_outputs().into_iter().find_map(|output| match output {
        Output::RequestPart(source, digest) => Some((source, digest)),
        _ => None,
    });
    let (source, digest) = asked.expect("a part is asked for");
    processes.nodes[0].receive_part(
        processes.now,
        &source,
        digest,
        Some(Arc::new([0u8; 4]).to_vec().into()),
    );
    assert_eq!(processes.nodes[0].set_id(), None);
    assert_eq!(processes.nodes[0].counters().corrupt, 1);
}
