//! Drives the configuration of three processes against a reference model of `spec/config.pml`.

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

const PROCESS_COUNT: usize = 3;
/// Number of published sets; the second and the third share generation 2.
const SET_COUNT: usize = 4;
const SYNC_PARAMS: SyncParams = SyncParams {
    gossip_interval: Span::secs(2),
    fanout: 4,
    readers: 3,
    seed_timeout: Span::secs(2),
    stale_after: Span::secs(4),
};

/// A transition of the system, as in the specification.
#[derive(Clone, Debug)]
enum Step {
    /// An operator publishes the next set.
    Publish,
    /// The platform shows the set before the current one.
    RollBack,
    /// The platform shows the newest set again.
    RollForward,
    /// A process restarts without state.
    Crash(usize),
    /// The first process receives gossip from the second.
    ReceiveGossip(usize, usize),
    /// The first process gets no answer from the second.
    MarkUnresponsive(usize, usize),
    /// A process reads the set that the platform shows.
    ReadPlatform(usize),
}

/// The reference model: the oldest set that each process may hold, as its rank; 0 for none.
#[derive(Clone, Debug)]
struct ReferenceState {
    published: usize,
    visible: usize,
    min_held: [usize; PROCESS_COUNT],
    /// The seeds that have not yet answered a starting process.
    pending_seeds: [BTreeSet<usize>; PROCESS_COUNT],
    /// The sets that live seeds have reported to a starting process.
    seed_ranks: [[usize; PROCESS_COUNT]; PROCESS_COUNT],
}

impl ReferenceState {
    fn restart(&mut self, i: usize) {
        self.min_held[i] = 0;
        self.pending_seeds[i] = (0..PROCESS_COUNT).filter(|j| *j != i).collect();
        self.seed_ranks[i] = [0; PROCESS_COUNT];
        (0..PROCESS_COUNT).for_each(|k| self.seed_ranks[k][i] = 0);
    }

    fn record_answer(&mut self, i: usize, j: usize) {
        self.pending_seeds[i].remove(&j);
        if self.pending_seeds[i].is_empty() {
            let highest = self.seed_ranks[i].iter().copied().max().unwrap_or(0);
            self.min_held[i] = self.min_held[i].max(highest);
        }
    }
}

impl ReferenceStateMachine for ReferenceState {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let mut state = Self {
            published: 1,
            visible: 1,
            min_held: [0; PROCESS_COUNT],
            pending_seeds: Default::default(),
            seed_ranks: [[0; PROCESS_COUNT]; PROCESS_COUNT],
        };
        (0..PROCESS_COUNT).for_each(|i| state.restart(i));
        Just(state).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let pair =
            || (0..PROCESS_COUNT, 1..PROCESS_COUNT).prop_map(|(i, d)| (i, (i + d) % PROCESS_COUNT));
        prop_oneof![
            1 => Just(Step::Publish),
            1 => Just(Step::RollBack),
            1 => Just(Step::RollForward),
            1 => (0..PROCESS_COUNT).prop_map(Step::Crash),
            6 => pair().prop_map(|(i, j)| Step::ReceiveGossip(i, j)),
            1 => pair().prop_map(|(i, j)| Step::MarkUnresponsive(i, j)),
            3 => (0..PROCESS_COUNT).prop_map(Step::ReadPlatform),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match step {
            Step::Publish => state.published < SET_COUNT,
            Step::RollBack => state.visible > 1,
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match *step {
            Step::Publish => {
                state.published += 1;
                state.visible = state.published;
            }
            Step::RollBack => state.visible -= 1,
            Step::RollForward => state.visible = state.published,
            Step::Crash(i) => state.restart(i),
            Step::ReceiveGossip(i, j) if state.pending_seeds[i].is_empty() => {
                state.min_held[i] = state.min_held[i].max(state.min_held[j]);
            }
            Step::ReceiveGossip(i, j) => {
                state.seed_ranks[i][j] = state.seed_ranks[i][j].max(state.min_held[j]);
                state.record_answer(i, j);
            }
            Step::MarkUnresponsive(i, j) => state.record_answer(i, j),
            Step::ReadPlatform(i) if state.pending_seeds[i].is_empty() => {
                state.min_held[i] = state.min_held[i].max(state.visible);
            }
            Step::ReadPlatform(_) => {}
        }
        state
    }
}

/// Three processes, with a network and a platform that answer immediately.
struct Processes {
    nodes: Vec<ConfigNode>,
    sets: Vec<PublishedSet>,
    visible: usize,
    published: usize,
    last_ids: [Option<SetId>; PROCESS_COUNT],
    now: Time,
}

fn vm(i: usize) -> VmId {
    format!("e{i}").parse().expect("valid name")
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
        objects.extend((0..PROCESS_COUNT).map(
            |i| json!({"kind": "vm", "name": vm(i), "zone": "z", "role": "entry", "addr": addr(i)}),
        ));
        let text = serde_json::Value::Array(objects).to_string();
        let (declared, _) = read_set([("set.json", text.as_str())]).expect("valid set");
        PublishedSet::render(&declared, Generation(generation)).expect("rendered set")
    };
    let mut sets = vec![set(1, "1s"), set(2, "2s"), set(2, "3s"), set(3, "4s")];
    sets.sort_by_key(|set| set.head.id());
    sets
}

impl Processes {
    fn start(&mut self, i: usize) {
        let own = Identity { vm: vm(i), zone: "z".parse().expect("valid name"), addr: addr(i) };
        let others = (0..PROCESS_COUNT).filter(|j| *j != i);
        let seeds = others.map(|j| Seed { vm: vm(j), addr: addr(j) }).collect();
        self.nodes[i] = ConfigNode::new(own, SYNC_PARAMS, seeds, self.now, i as u64);
        self.last_ids[i] = None;
    }

    /// Answers the requests of a process that fetches a set until it sends no more.
    fn answer_requests(&mut self, i: usize) {
        loop {
            let outputs = self.nodes[i].take_outputs();
            let request_count = outputs.len();
            for output in outputs {
                self.answer_request(i, output);
            }
            if request_count == 0 {
                return;
            }
        }
    }

    fn answer_request(&mut self, i: usize, output: Output) {
        let now = self.now;
        let process_at = |addr: SocketAddr| (0..PROCESS_COUNT).find(|j| self::addr(*j) == addr);
        match output {
            Output::RequestSet(from, peer) => {
                let reply =
                    process_at(peer).map(|j| self.nodes[j].handle_call(now, &ConfigCall::Set));
                let Some(ConfigReply::Set(set)) = reply else { return };
                self.nodes[i].receive_set(now, &from, set);
            }
            Output::RequestHead(from, peer, base) => {
                let reply = process_at(peer)
                    .map(|j| self.nodes[j].handle_call(now, &ConfigCall::Head(base)));
                let Some(ConfigReply::Head(head)) = reply else { return };
                self.nodes[i].receive_head(now, &from, head.as_ref());
            }
            Output::RequestPart(source, digest) => {
                let part = match &source {
                    SetSource::Peer(_, peer) => {
                        process_at(*peer).and_then(|j| self.nodes[j].part(&digest))
                    }
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

struct ConfigTest;

impl StateMachineTest for ConfigTest {
    type SystemUnderTest = Processes;
    type Reference = ReferenceState;

    fn init_test(_: &ReferenceState) -> Processes {
        let own = || Identity { vm: vm(0), zone: "z".parse().expect("valid name"), addr: addr(0) };
        let new_node = || ConfigNode::new(own(), SYNC_PARAMS, vec![], Time::default(), 0);
        let nodes = (0..PROCESS_COUNT).map(|_| new_node()).collect();
        let (sets, last_ids) = (sets(), [None; PROCESS_COUNT]);
        let mut processes =
            Processes { nodes, sets, visible: 1, published: 1, last_ids, now: Time::default() };
        (0..PROCESS_COUNT).for_each(|i| processes.start(i));
        processes
    }

    fn apply(mut processes: Processes, _: &ReferenceState, step: Step) -> Processes {
        processes.now = processes.now + Span(1);
        let now = processes.now;
        match step {
            Step::Publish => {
                processes.published += 1;
                processes.visible = processes.published;
            }
            Step::RollBack => processes.visible -= 1,
            Step::RollForward => processes.visible = processes.published,
            Step::Crash(i) => processes.start(i),
            Step::ReceiveGossip(i, j) => {
                let gossip = processes.nodes[j].gossip(now);
                processes.nodes[i].receive_gossip(now, &gossip);
                processes.answer_requests(i);
            }
            Step::MarkUnresponsive(i, j) => {
                processes.nodes[i].peer_unresponsive(now, &vm(j));
                processes.answer_requests(i);
            }
            Step::ReadPlatform(i) => {
                if processes.nodes[i].state() != ConfigState::Asking {
                    let head = processes.sets[processes.visible - 1].head.clone();
                    processes.nodes[i].receive_platform_head(now, Ok(head));
                    processes.answer_requests(i);
                }
            }
        }
        for i in 0..PROCESS_COUNT {
            let id = processes.nodes[i].set_id();
            assert!(
                id >= processes.last_ids[i],
                "process {i} reverted from {:?}",
                processes.last_ids[i]
            );
            processes.last_ids[i] = id;
        }
        processes
    }

    fn check_invariants(processes: &Processes, state: &ReferenceState) {
        for i in 0..PROCESS_COUNT {
            let id = processes.nodes[i].set_id();
            let rank = processes.sets.iter().position(|set| Some(set.head.id()) == id);
            assert_eq!(
                id.is_some(),
                rank.is_some(),
                "process {i} holds a set that was never published"
            );
            let held_rank = rank.map_or(0, |rank| rank + 1);
            assert!(
                held_rank <= state.published,
                "process {i} holds set {held_rank}, which is not published yet"
            );
            assert!(
                held_rank >= state.min_held[i],
                "process {i} holds set {held_rank}, older than set {}",
                state.min_held[i]
            );
            let asking = !state.pending_seeds[i].is_empty();
            assert_eq!(asking, processes.nodes[i].state() == ConfigState::Asking, "process {i}");
            assert!(
                !(asking && id.is_some()),
                "process {i} adopted a set before its seeds answered"
            );
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
    fn config_adoption_matches_reference_model(sequential 1..60 => ConfigTest);
}

#[test]
fn conflicting_sets_converge_in_any_order_and_are_counted() {
    let sets = sets();
    assert!(sets[1].head.id().conflicts_with(&sets[2].head.id()));
    let mut final_ids = Vec::new();
    for order in [[1, 2], [2, 1]] {
        let mut processes = ConfigTest::init_test(&ReferenceState {
            published: SET_COUNT,
            visible: 1,
            min_held: [0; PROCESS_COUNT],
            pending_seeds: Default::default(),
            seed_ranks: [[0; PROCESS_COUNT]; PROCESS_COUNT],
        });
        (1..PROCESS_COUNT)
            .for_each(|j| processes.nodes[0].peer_unresponsive(processes.now, &vm(j)));
        for set in order {
            let head = processes.sets[set].head.clone();
            processes.nodes[0].receive_platform_head(processes.now, Ok(head));
            processes.answer_requests(0);
        }
        assert_eq!(processes.nodes[0].counters().conflicts, 1);
        final_ids.push(processes.nodes[0].set_id());
    }
    assert_eq!(final_ids, [Some(sets[2].head.id()); 2]);
}

#[test]
fn part_with_wrong_digest_is_rejected() {
    let mut processes = ConfigTest::init_test(&ReferenceState {
        published: 1,
        visible: 1,
        min_held: [0; PROCESS_COUNT],
        pending_seeds: Default::default(),
        seed_ranks: [[0; PROCESS_COUNT]; PROCESS_COUNT],
    });
    (1..PROCESS_COUNT).for_each(|j| processes.nodes[0].peer_unresponsive(processes.now, &vm(j)));
    let head = processes.sets[0].head.clone();
    processes.nodes[0].receive_platform_head(processes.now, Ok(head));
    let request = processes.nodes[0].take_outputs().into_iter().find_map(|output| match output {
        Output::RequestPart(source, digest) => Some((source, digest)),
        _ => None,
    });
    let (source, digest) = request.expect("request for a part");
    processes.nodes[0].receive_part(
        processes.now,
        &source,
        digest,
        Some(Arc::new([0u8; 4]).to_vec().into()),
    );
    assert_eq!(processes.nodes[0].set_id(), None);
    assert_eq!(processes.nodes[0].counters().corrupt, 1);
}
