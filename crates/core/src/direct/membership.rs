//! Membership of gateways and loaders by probes and rumours, after SWIM.
//!
//! Load pattern: hundreds of processes, of which many start, stop or are cut off at once. The cost
//! of each process does not grow with the fleet: a round probes [`PROBES`] members, and messages
//! carry recent changes only. A member that answers neither a probe nor one relayed by others is
//! suspected; it refutes the suspicion by raising its heartbeat counter (Das, Gupta, Motivala:
//! SWIM, DSN 2002).

mod message;

use std::{
    collections::{BTreeMap, VecDeque},
    net::{IpAddr, SocketAddr},
};

use rand::{
    Rng,
    seq::{IndexedRandom as _, IteratorRandom as _, SliceRandom as _},
};

pub use self::message::{Envelope, Gossip, Member, Relay, Role};
use super::mirror::Revision;
use crate::{ids::VmId, time::Time, units::Span};

/// Interval between gossip rounds.
const ROUND_INTERVAL: Span = Span::millis(400);
/// Interval between gossip rounds while members are joining.
const JOIN_ROUND_INTERVAL: Span = Span::millis(200);
/// Number of members that each round probes.
const PROBES: usize = 2;
/// Number of members asked to relay a probe that was not answered.
const RELAYS: usize = 3;
/// Time after a probe at which it is repeated through other members.
const PROBE_TIMEOUT: Span = Span::millis(350);
/// Time after a probe at which a member without an answer is suspected; includes that of the
/// relayed ones.
const SUSPICION_TIMEOUT: Span = Span::millis(1_150);
/// Time between two rounds after which this process counts as paused, and its probes as not sent.
const PAUSE_TIMEOUT: Span = Span::millis(1_000);
/// Maximum number of recent changes in one message.
const MAX_CHANGES: usize = 16;
/// Number of other members in one message.
const MAX_SAMPLES: usize = 2;
/// Maximum number of recent changes in one message while members are joining.
const JOIN_MAX_CHANGES: usize = 4;
/// Number of members in one message while members are joining; fits into one datagram.
const JOIN_MAX_MEMBERS: usize = 20;
/// Times that a suspicion or its refutation is sent, for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 4;
/// Times that a new member is sent as a change; those that miss it find that they know fewer live
/// members than others, and ask for them.
const NEW_MEMBER_SENDS: u32 = 4;
/// Time after the last new member during which members count as joining.
const JOIN_PERIOD: Span = Span::secs(3);
/// Time since the start during which a process that knows fewer members than others counts as
/// joining.
const CATCH_UP_PERIOD: Time = Time(20_000_000);
/// Time after the start of a suspicion at which a member is removed; until then it may be alive
/// behind a network partition.
const REMOVAL_TIMEOUT: Span = Span::secs(60);

/// Time without a new member after which membership counts as settled, as one round reaches most
/// members.
const SETTLE_TIME: Span = Span::millis(250);
/// Time since the start at which membership counts as settled in any case, as no peer may be
/// reachable.
const SETTLE_DEADLINE: Time = Time(1_500_000);

/// Processes of each zone that watch the platform; two tolerate the undetected failure of one.
const WATCHERS_PER_ZONE: usize = 2;

#[derive(Clone, Debug)]
struct PeerState {
    member: Member,
    suspected_at: Option<Time>,
    probe: Option<Probe>,
    sends_left: u32,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    sent: Time,
    relayed: bool,
}

/// The members known to one process.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<VmId, PeerState>,
    probe_order: Vec<VmId>,
    sample_order: Vec<VmId>,
    changes: VecDeque<VmId>,
    joined: bool,
    last_join: Time,
    last_round: Time,
}

impl Membership {
    /// Returns a membership that knows only its own process and the seed addresses.
    pub fn new(own: Member, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.addr).collect();
        Self {
            own,
            seeds,
            peers: BTreeMap::new(),
            probe_order: vec![],
            sample_order: vec![],
            changes: VecDeque::new(),
            joined: false,
            last_join: Time::default(),
            last_round: Time::default(),
        }
    }

    /// Returns the member of this process.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns whether a message of another process has been received.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Returns whether membership counts as settled, `now` being the time since the start.
    pub fn is_settled(&self, now: Time) -> bool {
        now >= SETTLE_DEADLINE || self.joined && now >= self.last_join + SETTLE_TIME
    }

    /// Returns the members that are not suspected to have failed, without this process.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member).filter(|member| !member.suspected)
    }

    /// Returns the live members of a role, without this process.
    pub fn live_with_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.live().filter(move |member| member.role == role)
    }

    /// Returns the known members of a role, also silent ones, without this process.
    pub fn known_with_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member).filter(move |member| member.role == role)
    }

    /// Returns the number of known processes of a role, including this one and silent ones.
    pub fn count_with_role(&self, role: Role) -> usize {
        let peers = self.peers.values().filter(|peer| peer.member.role == role).count();
        peers + usize::from(self.own.role == role)
    }

    /// Sets whether the platform answers the reads of this process.
    pub fn set_platform_reachable(&mut self, reachable: bool) {
        if self.own.platform_reachable != reachable {
            self.own.platform_reachable = reachable;
            self.own.heartbeat += 1;
        }
    }

    /// Returns whether this process watches the platform for its zone.
    ///
    /// Watchers are the first live processes in the order of role and VM, gateways before loaders.
    /// Other processes that cannot reach the platform are skipped.
    pub fn is_watcher(&self) -> bool {
        let own = (self.own.role, &self.own.vm);
        let local =
            self.live().filter(|member| member.zone == self.own.zone && member.platform_reachable);
        local.filter(|member| (member.role, &member.vm) < own).count() < WATCHERS_PER_ZONE
    }

    /// Returns the first members of the zone that watch the platform or would take that over.
    pub fn next_watchers(&self) -> Vec<&Member> {
        let reachable = |member: &&Member| member.platform_reachable;
        let mut members: Vec<&Member> = self.live_in_zone().filter(reachable).collect();
        members.sort_by_key(|member| (member.role, &member.vm));
        members.truncate(2 * WATCHERS_PER_ZONE);
        members
    }

    /// Returns the live members of the zone of this process.
    pub fn live_in_zone(&self) -> impl Iterator<Item = &Member> {
        self.live().filter(|member| member.zone == self.own.zone)
    }

    /// Returns the time until the next gossip round.
    pub fn round_interval(&self, now: Time) -> Span {
        if self.has_recent_join(now) { JOIN_ROUND_INTERVAL } else { ROUND_INTERVAL }
    }

    fn has_recent_join(&self, now: Time) -> bool {
        now < self.last_join + JOIN_PERIOD
    }

    /// Starts a gossip round: judges earlier probes and returns the messages to send.
    pub fn start_round(&mut self, now: Time, at: Revision, rng: &mut impl Rng) -> Vec<Envelope> {
        if self.last_round + PAUSE_TIMEOUT < now {
            self.peers.values_mut().for_each(|peer| peer.probe = None);
        }
        self.last_round = now;
        let expired =
            |peer: &PeerState| peer.suspected_at.is_some_and(|at| at + REMOVAL_TIMEOUT <= now);
        self.peers.retain(|_, peer| !expired(peer));
        self.suspect_silent(now);
        let mut messages = self.relay_probes(now, at, rng);
        let mut recipients = self.next_probes(now, rng);
        let silent = |peer: &&PeerState| peer.member.suspected;
        if let Some(peer) = self.peers.values().filter(silent).choose(rng) {
            recipients.push(peer.member.addr);
        }
        if recipients.len() < PROBES {
            recipients.extend(self.seeds.iter().filter(|seed| !self.knows_ip(seed.ip())));
        } else if let Some(seed) = self.seeds.choose(rng)
            && rng.random_ratio(1, 8)
        {
            recipients.push(*seed);
        }
        recipients.sort();
        recipients.dedup();
        let joining = self.has_recent_join(now);
        let gossip = Gossip { ask: true, ..self.build_message(joining, at, recipients.len(), rng) };
        messages.push(Envelope { gossip, recipients });
        messages
    }

    /// Returns the reply to a message that requests one, or that contained a new member.
    ///
    /// It makes up for changes that the sender missed: a sender that knows fewer live members gets
    /// more of them, one that knows more gets the suspected ones.
    pub fn reply(
        &mut self,
        now: Time,
        at: Revision,
        request: &Gossip,
        rng: &mut impl Rng,
    ) -> Gossip {
        let relay = request.relay.filter(|relay| request.ask && matches!(relay, Relay::For(_)));
        let live = self.live_count();
        let joining = request.live < live || request.live == live && self.has_recent_join(now);
        let mut reply = Gossip { relay, ..self.build_message(joining, at, 1, rng) };
        if request.live > live {
            let suspected = self.peers.values().filter(|peer| peer.member.suspected);
            let room = JOIN_MAX_MEMBERS.saturating_sub(reply.members.len());
            let suspected = suspected.choose_multiple(rng, room).into_iter();
            reply.members.extend(suspected.map(|peer| peer.member.clone()));
        }
        reply
    }

    /// Returns the messages by which this process relays a probe or the answer to one.
    pub fn relay(&mut self, gossip: &Gossip, rng: &mut impl Rng) -> Option<Envelope> {
        match gossip.relay? {
            Relay::To(target) => {
                let relay = Some(Relay::For(gossip.from.addr));
                let message = self.build_message(false, gossip.at, 1, rng);
                let gossip = Gossip { ask: true, relay, at: Revision::default(), ..message };
                Some(Envelope { gossip, recipients: vec![target] })
            }
            Relay::For(origin) if !gossip.ask && origin != self.own.addr => {
                let gossip = Gossip { relay: None, ..gossip.clone() };
                Some(Envelope { gossip, recipients: vec![origin] })
            }
            Relay::For(_) => None,
        }
    }

    /// Merges a received message and returns whether the sender is owed a reply: it was unknown, it
    /// named a new member, or it is suspected and can refute that.
    pub fn merge_gossip(&mut self, now: Time, gossip: &Gossip) -> bool {
        if gossip.from.vm == self.own.vm {
            return false;
        }
        self.joined = true;
        // Later, replies alone make up for missed changes: faster rounds of many processes at once
        // would congest the links between regions, and the probes lost there keep them going.
        if now < CATCH_UP_PERIOD && gossip.live > self.live_count() {
            self.last_join = now;
        }
        let mut owed = self.merge_member(now, &gossip.from, true);
        for member in &gossip.members {
            owed |= self.merge_member(now, member, false);
        }
        let max_sends = self.max_sends();
        if let Some(peer) = self.peers.get_mut(&gossip.from.vm) {
            peer.probe = None;
            if peer.member.suspected {
                announce(&mut self.changes, peer, max_sends);
                owed = true;
            }
        }
        owed
    }

    fn merge_member(&mut self, now: Time, member: &Member, direct: bool) -> bool {
        if member.vm == self.own.vm {
            self.refute(member);
            return false;
        }
        let max_sends = self.max_sends();
        let suspected_at = member.suspected.then_some(now);
        let Some(peer) = self.peers.get_mut(&member.vm) else {
            // A suspicion of an unknown member would bring back those that were removed.
            if member.suspected {
                return false;
            }
            let mut peer = PeerState::new(member.clone());
            announce(&mut self.changes, &mut peer, NEW_MEMBER_SENDS);
            self.peers.insert(member.vm.clone(), peer);
            self.last_join = now;
            return true;
        };
        let order = |member: &Member| (member.incarnation, member.heartbeat, member.suspected);
        let newer = order(member) > order(&peer.member);
        let restarted = direct && member.incarnation != peer.member.incarnation;
        if newer || restarted {
            if member.incarnation != peer.member.incarnation {
                peer.probe = None;
            }
            peer.member = member.clone();
            peer.suspected_at = suspected_at;
            announce(&mut self.changes, peer, max_sends);
        }
        false
    }

    /// Raises the own heartbeat above a suspicion, or the own incarnation above a later one.
    fn refute(&mut self, member: &Member) {
        if member.incarnation > self.own.incarnation {
            self.own.incarnation = member.incarnation.next();
        } else if member.suspected
            && member.incarnation == self.own.incarnation
            && member.heartbeat >= self.own.heartbeat
        {
            self.own.heartbeat = member.heartbeat + 1;
        }
    }

    /// Suspects the members that answered neither a probe nor a relayed one.
    fn suspect_silent(&mut self, now: Time) {
        let max_sends = self.max_sends();
        for peer in self.peers.values_mut() {
            if peer.probe.is_some_and(|probe| probe.sent + SUSPICION_TIMEOUT <= now) {
                peer.probe = None;
                if !peer.member.suspected {
                    peer.member.suspected = true;
                    peer.suspected_at = Some(now);
                    announce(&mut self.changes, peer, max_sends);
                }
            }
        }
    }

    /// Returns the requests to relay the probes that were not answered in time.
    fn relay_probes(&mut self, now: Time, at: Revision, rng: &mut impl Rng) -> Vec<Envelope> {
        let mut overdue = vec![];
        for peer in self.peers.values_mut().filter(|peer| !peer.member.suspected) {
            if let Some(probe) = &mut peer.probe
                && !probe.relayed
                && probe.sent + PROBE_TIMEOUT <= now
            {
                probe.relayed = true;
                overdue.push(peer.member.addr);
            }
        }
        let mut messages = vec![];
        for target in overdue {
            let others = self.live().filter(|member| member.addr != target);
            let relays: Vec<SocketAddr> =
                others.map(|member| member.addr).choose_multiple(rng, RELAYS);
            let message = self.build_message(false, at, 0, rng);
            let gossip = Gossip { relay: Some(Relay::To(target)), ..message };
            messages.push(Envelope { gossip, recipients: relays });
        }
        messages
    }

    /// Returns the addresses of the members to probe next, each once before any a second time.
    fn next_probes(&mut self, now: Time, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut targets = vec![];
        let mut refilled = false;
        while targets.len() < PROBES {
            let Some(vm) = self.probe_order.pop() else {
                if std::mem::replace(&mut refilled, true) {
                    break;
                }
                self.probe_order = self.live().map(|member| member.vm.clone()).collect();
                self.probe_order.shuffle(rng);
                continue;
            };
            let Some(peer) = self.peers.get_mut(&vm).filter(|peer| !peer.member.suspected) else {
                continue;
            };
            if peer.probe.is_none() {
                peer.probe = Some(Probe { sent: now, relayed: false });
                targets.push(peer.member.addr);
            }
        }
        targets
    }

    fn live_count(&self) -> u32 {
        self.live().count() as u32 + 1
    }

    fn knows_ip(&self, ip: IpAddr) -> bool {
        self.peers.values().any(|peer| peer.member.addr.ip() == ip)
    }

    /// Returns how often a change is sent until all members have it with high probability.
    fn max_sends(&self) -> u32 {
        (self.peers.len() as u32 + 2).ilog2() * SENDS_PER_DOUBLING
    }

    fn build_message(
        &mut self,
        joining: bool,
        at: Revision,
        recipients: usize,
        rng: &mut impl Rng,
    ) -> Gossip {
        let max_changes = if joining { JOIN_MAX_CHANGES } else { MAX_CHANGES };
        let mut members = self.next_changes(max_changes, recipients as u32);
        let samples = if joining { JOIN_MAX_MEMBERS - members.len() } else { MAX_SAMPLES };
        self.sample(samples, rng, &mut members);
        let live = self.live_count();
        Gossip { from: self.own.clone(), members, live, at, ask: false, relay: None }
    }

    /// Returns the changes for the next message, the newest first.
    fn next_changes(&mut self, max: usize, recipients: u32) -> Vec<Member> {
        let mut members = vec![];
        for _ in 0..self.changes.len().min(max) {
            let Some(vm) = self.changes.pop_front() else { break };
            let Some(peer) = self.peers.get_mut(&vm) else { continue };
            members.push(peer.member.clone());
            peer.sends_left = peer.sends_left.saturating_sub(recipients);
            if peer.sends_left > 0 {
                self.changes.push_back(vm);
            }
        }
        members
    }

    /// Adds live members in random order, each once before any a second time.
    fn sample(&mut self, count: usize, rng: &mut impl Rng, members: &mut Vec<Member>) {
        if self.sample_order.len() < count {
            self.sample_order = self.live().map(|member| member.vm.clone()).collect();
            self.sample_order.shuffle(rng);
        }
        let sampled = self.sample_order.len().saturating_sub(count);
        for vm in self.sample_order.drain(sampled..) {
            let Some(peer) = self.peers.get(&vm) else { continue };
            if !peer.member.suspected && members.iter().all(|member| member.vm != vm) {
                members.push(peer.member.clone());
            }
        }
    }
}

impl PeerState {
    fn new(member: Member) -> Self {
        Self { member, suspected_at: None, probe: None, sends_left: 0 }
    }
}

/// Sends the state of a member as a change in the next messages.
fn announce(changes: &mut VecDeque<VmId>, peer: &mut PeerState, sends: u32) {
    if peer.sends_left == 0 {
        changes.push_front(peer.member.vm.clone());
    }
    peer.sends_left = sends;
}
