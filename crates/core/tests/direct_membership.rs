//! Membership of fleets of up to hundreds of processes: completeness, detected and false failures.

use std::collections::HashMap;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;
use sequoiahold_core::{
    direct::{
        membership::{Envelope, Gossip, Member, Membership, Role},
        mirror::Revision,
    },
    ids::Incarnation,
    time::Time,
};

fn ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn member(number: u16) -> Member {
    let [high, low] = number.to_be_bytes();
    Member {
        vm: format!("vm-{number:04}").parse().expect("valid name"),
        role: if number.is_multiple_of(2) { Role::Gateway } else { Role::Loader },
        zone: format!("z{}", number % 5).parse().expect("valid name"),
        addr: ([127, 0, high, low], 7_700).into(),
        incarnation: Incarnation(1),
        heartbeat: 0,
        suspected: false,
        platform_reachable: true,
    }
}

/// A fleet whose messages may be lost or cut off.
struct Fleet {
    nodes: Vec<Membership>,
    next: Vec<Time>,
    index: HashMap<std::net::SocketAddr, usize>,
    rng: SmallRng,
    /// Fraction of the messages that are lost.
    loss: f64,
    /// Whether messages between two processes are cut off.
    cut: fn(usize, usize) -> bool,
    messages: usize,
}

impl Fleet {
    fn new(count: u16, loss: f64) -> Self {
        let seeds = [member(0).addr, member(1).addr, member(2).addr];
        let nodes: Vec<Membership> =
            (0..count).map(|number| Membership::new(member(number), seeds)).collect();
        let index =
            nodes.iter().enumerate().map(|(index, node)| (node.own().addr, index)).collect();
        let mut rng = SmallRng::seed_from_u64(1);
        let next = nodes.iter().map(|_| ms(rng.random_range(0..300))).collect();
        Self { nodes, next, index, rng, loss, cut: |_, _| false, messages: 0 }
    }

    fn run(&mut self, until: Time) {
        while let Some((sender, now)) =
            self.next.iter().copied().enumerate().min_by_key(|(_, at)| *at)
        {
            if now >= until {
                return;
            }
            self.next[sender] = now + self.nodes[sender].round_interval(now);
            let sent = self.nodes[sender].start_round(now, Revision::default(), &mut self.rng);
            sent.into_iter().for_each(|envelope| self.send(now, sender, &envelope));
        }
    }

    fn send(&mut self, now: Time, sender: usize, envelope: &Envelope) {
        for addr in &envelope.recipients {
            let to = self.index[addr];
            self.messages += 1;
            if (self.cut)(sender, to) || self.rng.random_bool(self.loss) {
                continue;
            }
            self.receive(now, sender, to, &envelope.gossip);
        }
    }

    fn receive(&mut self, now: Time, sender: usize, to: usize, gossip: &Gossip) {
        let owed = self.nodes[to].merge_gossip(now, gossip);
        let mut sent = vec![];
        if owed || gossip.ask {
            let gossip = self.nodes[to].reply(now, Revision::default(), gossip, &mut self.rng);
            sent.push(Envelope { gossip, recipients: vec![self.nodes[sender].own().addr] });
        }
        sent.extend(self.nodes[to].relay(gossip, &mut self.rng));
        sent.iter().for_each(|envelope| self.send(now, to, envelope));
    }

    /// Returns the least and greatest number of live members among the processes in `range`.
    fn live(&self, range: std::ops::Range<usize>) -> (usize, usize) {
        let counts = || self.nodes[range.clone()].iter().map(|node| node.live().count());
        (counts().min().unwrap_or(0), counts().max().unwrap_or(0))
    }
}

#[rstest]
#[case::small_site(24, 0.0)]
#[case::grown_site(91, 0.0)]
#[case::large_site(305, 0.0)]
#[case::large_site_with_loss(305, 0.025)]
fn healthy_processes_stay_live_everywhere(#[case] count: u16, #[case] loss: f64) {
    let mut fleet = Fleet::new(count, loss);
    // Traffic starts 14 s after the machines.
    for step in 14..=18 {
        fleet.run(ms(step * 1_000));
        let all = usize::from(count) - 1;
        assert_eq!(fleet.live(0..count.into()), (all, all), "after {step} s");
    }
    let watchers = fleet.nodes.iter().filter(|node| node.is_watcher()).count();
    assert_eq!(watchers, 10, "two in each of five zones");
}

#[test]
fn messages_of_a_process_do_not_grow_with_the_fleet() {
    let rate = |count: u16| {
        let mut fleet = Fleet::new(count, 0.0);
        fleet.run(ms(10_000));
        let before = fleet.messages;
        fleet.run(ms(20_000));
        (fleet.messages - before) as f64 / f64::from(count) / 10.0
    };
    let (small, large) = (rate(30), rate(300));
    assert!(large <= small * 1.3, "messages per second: {small} at 30, {large} at 300");
}

#[rstest]
#[case::small_site(24)]
#[case::large_site(305)]
fn failed_processes_are_noticed_by_all_within_five_seconds(#[case] count: u16) {
    let mut fleet = Fleet::new(count, 0.0);
    fleet.run(ms(14_000));
    let failed = usize::from(count) / 10;
    let survivors = usize::from(count) - failed;
    // Failed processes neither receive nor send.
    fleet.next[survivors..].fill(Time(u64::MAX));
    fleet.cut = match count {
        24 => |_, to| to >= 22,
        _ => |_, to| to >= 275,
    };
    fleet.run(ms(19_000));
    assert_eq!(fleet.live(0..survivors), (survivors - 1, survivors - 1));
}

#[test]
fn separated_zone_is_complete_within_itself_and_rejoins() {
    let mut fleet = Fleet::new(305, 0.0);
    fleet.run(ms(14_000));
    fleet.cut = |a, b| (a % 5 == 0) != (b % 5 == 0);
    for step in 15..=44 {
        fleet.run(ms(step * 1_000));
        let inside = || fleet.nodes.iter().step_by(5);
        assert!(inside().all(|node| node.live_in_zone().count() == 60), "after {step} s");
        assert_eq!(inside().filter(|node| node.is_watcher()).count(), 2, "after {step} s");
    }
    let inside: Vec<usize> =
        fleet.nodes.iter().step_by(5).map(|node| node.live().count()).collect();
    assert!(inside.iter().all(|live| *live == 60), "{inside:?}");
    fleet.cut = |_, _| false;
    // Service must be back 15 s after a fault.
    fleet.run(ms(59_000));
    assert_eq!(fleet.live(0..305), (304, 304));
}

#[test]
fn harmed_path_between_two_processes_fails_neither() {
    let mut fleet = Fleet::new(24, 0.0);
    fleet.run(ms(6_000));
    fleet.cut = |a, b| (a, b) == (1, 2) || (a, b) == (2, 1);
    for step in 7..20 {
        fleet.run(ms(step * 1_000));
        assert_eq!(fleet.live(0..24), (23, 23), "after {step} s");
    }
}

#[test]
fn paused_process_suspects_nobody_when_it_resumes() {
    let mut fleet = Fleet::new(24, 0.0);
    fleet.run(ms(6_000));
    let paused = fleet.next[3];
    fleet.next[3] = paused + sequoiahold_core::units::Span::secs(4);
    fleet.cut = |_, to| to == 3;
    fleet.run(fleet.next[3]);
    fleet.cut = |_, _| false;
    fleet.run(ms(10_600));
    assert_eq!(fleet.nodes[3].live().count(), 23);
    fleet.run(ms(14_000));
    assert_eq!(fleet.live(0..24), (23, 23));
}
