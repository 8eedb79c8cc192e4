//! Gossip membership, copies of the published state, retry limits, event streams and load order.

use bytes::Bytes;
use rand::{SeedableRng as _, rngs::SmallRng};
use rstest::rstest;
use sequoiahold_core::{
    direct::{
        event_splitter::{EventSplitter, SplitEvents, StreamError},
        load_schedule::load_start,
        membership::{Envelope, Gossip, Member, Membership, Role},
        mirror::{Change, Era, Mirror, Revision},
        retry_budget::{RetryBounds, RetryBudget},
    },
    ids::{Incarnation, ServiceId, VmId},
    time::Time,
    units::Span,
};

fn ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn member(number: u8, role: Role, incarnation: u64) -> Member {
    Member {
        vm: format!("vm-{number:02}").parse().expect("valid name"),
        role,
        zone: "z1".parse().expect("valid name"),
        addr: ([127, 0, 0, number], 7_700).into(),
        incarnation: Incarnation(incarnation),
        heartbeat: 0,
        suspected: false,
        platform_reachable: true,
    }
}

/// Runs gossip without message loss until `end`, where each member has its own interval.
fn run_gossip(nodes: &mut [Membership], end: Time, rng: &mut SmallRng) {
    run_gossip_between(nodes, Time::default(), end, rng);
}

fn run_gossip_between(nodes: &mut [Membership], start: Time, end: Time, rng: &mut SmallRng) {
    let mut next = vec![start; nodes.len()];
    while let Some(now) = next.iter().min().copied().filter(|now| *now < end) {
        for sender in 0..nodes.len() {
            if next[sender] > now {
                continue;
            }
            next[sender] = now + nodes[sender].round_interval(now);
            for Envelope { gossip, recipients } in
                nodes[sender].start_round(now, Revision::default(), rng)
            {
                for addr in recipients {
                    let Some(node) = nodes.iter_mut().find(|node| node.own().addr == addr) else {
                        continue;
                    };
                    let owed = node.merge_gossip(now, &gossip);
                    if owed || gossip.ask {
                        let answer = node.reply(now, Revision::default(), &gossip, rng);
                        nodes[sender].merge_gossip(now, &answer);
                    }
                }
            }
        }
    }
}

fn message(from: Member) -> Gossip {
    Gossip { from, members: vec![], live: 2, at: Revision::default(), ask: false, relay: None }
}

/// Runs rounds of a process that nobody answers from `start` until `end`.
fn run_alone(node: &mut Membership, start: Time, end: Time, rng: &mut SmallRng) {
    let mut now = start;
    while now < end {
        node.start_round(now, Revision::default(), rng);
        now = now + node.round_interval(now);
    }
}

#[test]
fn membership_is_unsettled_before_the_first_message() {
    let mut node = Membership::new(member(1, Role::Loader, 1), []);
    assert!(!node.is_settled(ms(1_400)), "no member has been seen");
    assert!(node.is_settled(ms(1_500)), "there may be no other member");
    let from = member(2, Role::Loader, 1);
    node.merge_gossip(ms(400), &message(from));
    assert!(!node.is_settled(ms(600)), "more members may follow the first");
    assert!(node.is_settled(ms(700)));
}

#[test]
fn settled_membership_is_nearly_complete() {
    let seed = ([127, 0, 0, 1], 7_700).into();
    let start = |number| Membership::new(member(number, Role::Loader, 1), [seed]);
    let mut nodes: Vec<Membership> = (1..=40).map(start).collect();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut known = vec![None; nodes.len()];
    for step in 0..8 {
        run_gossip_between(&mut nodes, ms(step * 200), ms((step + 1) * 200), &mut rng);
        let now = ms((step + 1) * 200);
        for (node, known) in nodes.iter().zip(&mut known) {
            if node.is_settled(now) && known.is_none() {
                *known = Some(node.live().count());
            }
        }
    }
    let least = known.iter().map(|known| known.unwrap_or(0)).min();
    assert!(least >= Some(36), "known members of 39: {known:?}");
}

#[test]
fn members_discover_each_other_from_one_seed_within_two_seconds() {
    let mut rng = SmallRng::seed_from_u64(1);
    let seed = member(1, Role::Gateway, 1).addr;
    let mut nodes: Vec<Membership> =
        (1..=40).map(|number| Membership::new(member(number, Role::Gateway, 1), [seed])).collect();
    run_gossip(&mut nodes, ms(2_000), &mut rng);
    let least = nodes.iter().map(|node| node.count_with_role(Role::Gateway)).min();
    assert_eq!(least, Some(40));
    assert!(nodes.iter().all(|node| node.count_with_role(Role::Gateway) == 40));
}

#[test]
fn process_restarted_with_an_earlier_clock_is_live() {
    let mut node = Membership::new(member(1, Role::Gateway, 1), []);
    let mut rng = SmallRng::seed_from_u64(3);
    let message = |incarnation, heartbeat| {
        message(Member { heartbeat, ..member(2, Role::Gateway, incarnation) })
    };
    node.merge_gossip(ms(0), &message(900, 50));
    run_alone(&mut node, ms(0), ms(4_000), &mut rng);
    assert_eq!(node.live().count(), 0);
    node.merge_gossip(ms(4_000), &message(300, 1));
    assert_eq!(node.live().count(), 1);
}

#[test]
fn silent_members_count_for_shares_until_they_expire() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut node = Membership::new(member(1, Role::Gateway, 1), []);
    node.merge_gossip(ms(0), &message(member(2, Role::Gateway, 1)));
    run_alone(&mut node, ms(0), ms(3_200), &mut rng);
    assert_eq!((node.live().count(), node.count_with_role(Role::Gateway)), (0, 2));
    run_alone(&mut node, ms(3_200), ms(10_000), &mut rng);
    assert_eq!((node.live().count(), node.count_with_role(Role::Gateway)), (0, 2));
    run_alone(&mut node, ms(10_000), ms(70_000), &mut rng);
    assert_eq!(node.count_with_role(Role::Gateway), 1);
}

#[test]
fn two_processes_of_a_zone_watch_and_others_replace_them() {
    let mut rng = SmallRng::seed_from_u64(4);
    let mut third = Membership::new(member(3, Role::Gateway, 1), []);
    assert!(third.is_watcher());
    third.merge_gossip(ms(0), &message(member(1, Role::Gateway, 1)));
    third.merge_gossip(ms(0), &message(member(2, Role::Gateway, 1)));
    assert!(!third.is_watcher());
    let unreachable =
        Member { platform_reachable: false, heartbeat: 1, ..member(2, Role::Gateway, 1) };
    third.merge_gossip(ms(200), &message(unreachable));
    assert!(third.is_watcher());
    let mut loader = Membership::new(member(0, Role::Loader, 1), []);
    loader.merge_gossip(ms(0), &message(member(1, Role::Gateway, 1)));
    loader.merge_gossip(ms(0), &message(member(2, Role::Gateway, 1)));
    assert!(!loader.is_watcher());
    run_alone(&mut loader, ms(0), ms(3_200), &mut rng);
    assert!(loader.is_watcher());
}

fn rev(number: u64) -> Revision {
    Revision::new(Era(1), number)
}

fn change(key: &str, revision: u64, value: Option<&'static str>) -> Change {
    let value = value.map(|text| Bytes::from_static(text.as_bytes()));
    Change { key: key.to_owned(), revision: rev(revision), value }
}

#[test]
fn old_revisions_are_ignored_and_full_lists_remove_absent_keys() {
    let mut mirror = Mirror::default();
    mirror.apply_snapshot(rev(5), vec![change("a", 3, Some("1")), change("b", 5, Some("1"))]);
    assert_eq!(mirror.apply(rev(6), vec![change("a", 6, Some("2"))]).len(), 1);
    assert!(mirror.apply(rev(4), vec![change("a", 3, Some("1"))]).is_empty());
    let changed = mirror.apply_snapshot(rev(9), vec![change("a", 6, Some("2"))]);
    assert_eq!(changed, [change("b", 9, None)]);
    assert_eq!(mirror.revision(), rev(9));
}

#[test]
fn changes_from_other_sources_during_a_watch_are_forwarded() {
    let mut watcher = Mirror::default();
    watcher.apply_snapshot(rev(96), vec![change("a", 90, Some("1"))]);
    let mut peer = watcher.clone();
    watcher.apply(rev(97), vec![change("config", 97, Some("29"))]);
    let answer = vec![change("config", 97, Some("29")), change("a", 98, None)];
    let (new, delta) = watcher.apply_watch(rev(98), answer);
    assert_eq!(new, [change("a", 98, None)]);
    assert_eq!(peer.apply_delta(delta).len(), 2);
    assert_eq!(peer.delta_since(rev(96)), watcher.delta_since(rev(96)));
}

#[test]
fn lagging_peer_gets_changes_or_all_items() {
    let mut source = Mirror::default();
    source.apply_snapshot(rev(5), vec![change("a", 3, Some("1"))]);
    source.apply(rev(7), vec![change("a", 7, None), change("b", 6, Some("1"))]);
    let mut near = Mirror::default();
    near.apply_snapshot(rev(5), vec![change("a", 3, Some("1"))]);
    assert_eq!(near.apply_delta(source.delta_since(near.revision())).len(), 2);
    let mut new = Mirror::default();
    let delta = source.delta_since(new.revision());
    assert!(delta.is_snapshot);
    assert_eq!(new.apply_delta(delta), [change("b", 6, Some("1"))]);
    assert!(new.apply_delta(source.delta_since(Revision::default())).is_empty());
}

#[test]
fn lagging_peer_gets_only_the_newest_version_of_a_value() {
    let mut source = Mirror::default();
    source.apply_snapshot(rev(1), vec![change("config", 1, Some("1"))]);
    let lagging = source.clone();
    for revision in 2..100 {
        source.apply(rev(revision), vec![change("config", revision, Some("2"))]);
    }
    let delta = source.delta_since(lagging.revision());
    assert!(!delta.is_snapshot);
    assert_eq!(delta.changes, [change("config", 99, Some("2"))]);
    let answer = (2..100).map(|revision| change("config", revision, Some("2"))).collect();
    let (new, delta) = lagging.clone().apply_watch(rev(99), answer);
    assert_eq!(
        (new.len(), delta.changes.len()),
        (1, 1),
        "every forwarded version would be decoded"
    );
}

#[test]
fn number_of_stored_removals_is_bounded() {
    let mut source = Mirror::default();
    source.apply_snapshot(rev(1), vec![change("config", 1, Some("1"))]);
    for number in 0..5_000 {
        let key = format!("servers/{number}");
        source.apply(rev(2 + 2 * number), vec![change(&key, 2 + 2 * number, Some("1"))]);
        source.apply(rev(3 + 2 * number), vec![change(&key, 3 + 2 * number, None)]);
    }
    assert!(source.delta_since(rev(1)).is_snapshot, "the oldest removals have been dropped");
    let recent = source.delta_since(rev(9_990));
    assert!(!recent.is_snapshot);
    assert_eq!(recent.changes.len(), 6);
    assert!(recent.changes.iter().all(|change| change.value.is_none()));
}

#[rstest]
#[case::eight_gateways(8)]
#[case::thirty_three_gateways(33)]
fn retries_of_all_gateways_stay_within_the_limit(#[case] gateways: usize) {
    let bounds = RetryBounds { ratio: 0.2, extra: 104.0, window: Span::secs(10) };
    let service: ServiceId = "llm".parse().expect("valid name");
    let mut all: Vec<RetryBudget> = (0..gateways).map(|_| RetryBudget::new(bounds)).collect();
    let mut retries = vec![];
    let mut requests = 0;
    for step in 0..1_000 {
        let now = ms(step * 10);
        for gateway in &mut all {
            if step % 4 == 0 {
                gateway.record_request(now, &service);
                requests += 1;
            }
            if gateway.try_spend(now, &service, gateways) {
                retries.push(step);
            }
        }
    }
    assert!(retries.len() as f64 <= f64::from(requests) * 0.2 + 104.0);
}

// Guards against each start of a gateway bringing a share of its own of the allowed retries.
#[test]
fn restarted_gateways_share_the_limit_with_their_earlier_processes() {
    const GATEWAYS: usize = 8;
    let bounds = RetryBounds { ratio: 0.2, extra: 104.0, window: Span::secs(10) };
    let service: ServiceId = "llm".parse().expect("valid name");
    let old = ms(60_000);
    let mut used = vec![];
    for _ in 0..GATEWAYS {
        let mut gateway = RetryBudget::new(bounds);
        let spent = (0..200).filter(|_| gateway.try_spend(old, &service, GATEWAYS)).count();
        assert!(spent > 0, "a gateway that has long run has no share");
        used.push(spent);
    }
    // Three more starts of all gateways within the window.
    for start in 0..3 {
        for _ in 0..GATEWAYS {
            let start = 60_000 + start * 3_000;
            let mut gateway = RetryBudget::restarted(bounds, ms(start));
            let times = start..start + 3_000;
            used.push(times.filter(|at| gateway.try_spend(ms(*at), &service, GATEWAYS)).count());
        }
    }
    let retries: usize = used.iter().sum();
    assert!(retries as f64 <= bounds.extra, "{retries} retries without a request");
    let mut gateway = RetryBudget::restarted(bounds, ms(60_000));
    assert!(gateway.try_spend(ms(70_000), &service, GATEWAYS), "no share after a window");
}

#[test]
fn only_complete_events_are_forwarded_in_order() {
    let mut events = EventSplitter::resume_after(Some(1));
    assert_eq!(events.push(b"id: 2\ndata: a\n"), SplitEvents::default());
    assert!(!events.is_complete());
    let passed = SplitEvents { events: Bytes::from_static(b"id: 2\ndata: a\n\n"), error: None };
    assert_eq!(events.push(b"\nid: 3\nda"), passed);
    events.discard_partial();
    assert_eq!((events.last_id(), events.is_complete()), (Some(2), true));
    let refused = Some(StreamError::OutOfOrder { last: 2, id: 2 });
    let split = events.push(b"id: 2\ndata: a\n\n");
    assert_eq!(split, SplitEvents { events: Bytes::new(), error: refused });
}

#[test]
fn engines_of_a_zone_load_in_groups_before_the_deadline() {
    let zone: Vec<VmId> =
        (0..9).map(|number| format!("vm-{number}").parse().expect("valid name")).collect();
    let starts = zone.iter().map(|own| load_start(own, &zone, "m/2", ms(1_000), Span::secs(8)));
    let mut starts: Vec<Time> = starts.collect();
    starts.sort();
    starts.dedup();
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|at| (ms(1_000)..ms(8_000)).contains(at)));
}
