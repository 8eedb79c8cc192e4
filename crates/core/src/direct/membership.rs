//! Gossip membership of gateways and loaders, based on heartbeat counters.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use rand::{
    Rng,
    seq::{IndexedRandom as _, IteratorRandom as _},
};
use serde::{Deserialize, Serialize};

use super::mirror::Revision;
use crate::{
    ids::{Incarnation, VmId, ZoneId},
    time::Time,
    units::Span,
};

/// Interval between gossip rounds.
const GOSSIP_INTERVAL: Span = Span::millis(400);
/// Interval between gossip rounds while members are joining.
const JOIN_GOSSIP_INTERVAL: Span = Span::millis(200);
/// Number of live members that each round sends to.
const GOSSIP_FANOUT: usize = 3;
/// Maximum number of members in one message.
const MAX_MEMBERS: usize = 8;
/// Maximum number of members in one message while members are joining; fits into one datagram.
const JOIN_MAX_MEMBERS: usize = 16;
/// Time after the last new member during which members count as joining.
const JOIN_PERIOD: Span = Span::secs(3);
/// Time without a new heartbeat after which a member is no longer live.
const SILENCE_TIMEOUT: Span = Span::millis(3_200);
/// Time without a new heartbeat after which a member is removed; until then it may be alive behind
/// a network partition.
const REMOVAL_TIMEOUT: Span = Span::secs(60);

/// Time without a new member after which membership counts as settled, as one round reaches most
/// members.
const SETTLE_TIME: Span = Span::millis(250);
/// Time since the start at which membership counts as settled in any case, as no peer may be
/// reachable.
const SETTLE_DEADLINE: Time = Time(1_500_000);

/// Processes of each zone that watch the platform; two tolerate the undetected failure of one.
const WATCHERS_PER_ZONE: usize = 2;

/// The role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// Accepts requests of callers.
    Gateway,
    /// Transfers weights to the engine on its VM.
    Loader,
}

/// A member process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The VM that it runs on, which identifies it.
    pub vm: VmId,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its address for peers: UDP for gossip, TCP for calls.
    pub addr: SocketAddr,
    /// Its incarnation, derived from its start time.
    pub incarnation: Incarnation,
    /// Its heartbeat counter, which rises with each gossip round.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Whether the platform answers its reads, as far as it knows.
    #[serde(rename = "reads")]
    pub platform_reachable: bool,
}

/// A gossip message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// The sender.
    pub from: Member,
    /// A random selection of the live members known to the sender.
    pub members: Vec<Member>,
    /// The revision of the published state that the sender holds.
    pub at: Revision,
    /// Whether the sender requests a reply.
    pub ask: bool,
}

#[derive(Clone, Debug)]
struct PeerState {
    member: Member,
    last_heard: Time,
}

/// The members known to one process.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<VmId, PeerState>,
    joined: bool,
    last_join: Time,
}

impl Membership {
    /// Returns a membership that knows only its own process and the seed addresses.
    pub fn new(own: Member, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.addr).collect();
        Self { own, seeds, peers: BTreeMap::new(), joined: false, last_join: Time::default() }
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

    /// Returns the members whose heartbeats are current, without this process.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        let live = move |peer: &&PeerState| peer.last_heard + SILENCE_TIMEOUT > now;
        self.peers.values().filter(live).map(|peer| &peer.member)
    }

    /// Returns the live members of a role, without this process.
    pub fn live_with_role(&self, now: Time, role: Role) -> impl Iterator<Item = &Member> {
        self.live(now).filter(move |member| member.role == role)
    }

    /// Returns the number of known processes of a role, including this one and silent ones.
    pub fn count_with_role(&self, role: Role) -> usize {
        let peers = self.peers.values().filter(|peer| peer.member.role == role).count();
        peers + usize::from(self.own.role == role)
    }

    /// Sets whether the platform answers the reads of this process.
    pub fn set_platform_reachable(&mut self, reachable: bool) {
        self.own.platform_reachable = reachable;
    }

    /// Returns whether this process watches the platform for its zone.
    ///
    /// Watchers are the first live processes in the order of role and VM, gateways before loaders.
    /// Other processes that cannot reach the platform are skipped.
    pub fn is_watcher(&self, now: Time) -> bool {
        let own = (self.own.role, &self.own.vm);
        let local = self
            .live(now)
            .filter(|member| member.zone == self.own.zone && member.platform_reachable);
        local.filter(|member| (member.role, &member.vm) < own).count() < WATCHERS_PER_ZONE
    }

    /// Returns the live members of the zone of this process.
    pub fn live_in_zone(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.live(now).filter(|member| member.zone == self.own.zone)
    }

    /// Returns the time until the next gossip round.
    pub fn round_interval(&self, now: Time) -> Span {
        if self.has_recent_join(now) { JOIN_GOSSIP_INTERVAL } else { GOSSIP_INTERVAL }
    }

    fn has_recent_join(&self, now: Time) -> bool {
        now < self.last_join + JOIN_PERIOD
    }

    /// Starts a gossip round and returns its message and recipients.
    pub fn start_round(
        &mut self,
        now: Time,
        at: Revision,
        rng: &mut impl Rng,
    ) -> (Gossip, Vec<SocketAddr>) {
        self.own.heartbeat += 1;
        self.peers.retain(|_, peer| peer.last_heard + REMOVAL_TIMEOUT > now);
        let live: Vec<&Member> = self.live(now).collect();
        let mut targets: Vec<SocketAddr> =
            live.choose_multiple(rng, GOSSIP_FANOUT).map(|member| member.addr).collect();
        let silent = |peer: &&PeerState| peer.last_heard + SILENCE_TIMEOUT <= now;
        if let Some(peer) = self.peers.values().filter(silent).choose(rng) {
            targets.push(peer.member.addr);
        }
        if targets.len() < GOSSIP_FANOUT {
            targets.extend(self.seeds.iter().filter(|seed| !self.knows_ip(seed.ip())));
        } else if let Some(seed) = self.seeds.choose(rng)
            && rng.random_ratio(1, 8)
        {
            targets.push(*seed);
        }
        targets.sort();
        targets.dedup();
        let ask = !self.joined;
        (self.build_message(now, at, ask, rng), targets)
    }

    /// Returns the reply to a message that requests one.
    pub fn reply(&self, now: Time, at: Revision, rng: &mut impl Rng) -> Gossip {
        self.build_message(now, at, false, rng)
    }

    /// Merges a received message and returns whether it contained a new member.
    pub fn merge_gossip(&mut self, now: Time, gossip: &Gossip) -> bool {
        if gossip.from.vm == self.own.vm {
            return false;
        }
        self.joined = true;
        let mut new = self.merge_member(now, &gossip.from, true);
        for member in &gossip.members {
            new |= self.merge_member(now, member, false);
        }
        new
    }

    fn merge_member(&mut self, now: Time, member: &Member, direct: bool) -> bool {
        if member.vm == self.own.vm {
            if member.incarnation > self.own.incarnation {
                self.own.incarnation = member.incarnation.next();
            }
            return false;
        }
        let Some(peer) = self.peers.get_mut(&member.vm) else {
            self.peers
                .insert(member.vm.clone(), PeerState { member: member.clone(), last_heard: now });
            self.last_join = now;
            return true;
        };
        let order = |member: &Member| (member.incarnation, member.heartbeat);
        let newer = order(member) > order(&peer.member);
        let restarted = direct && member.incarnation != peer.member.incarnation;
        if newer || restarted {
            *peer = PeerState { member: member.clone(), last_heard: now };
        }
        false
    }

    fn knows_ip(&self, ip: IpAddr) -> bool {
        self.peers.values().any(|peer| peer.member.addr.ip() == ip)
    }

    fn build_message(&self, now: Time, at: Revision, ask: bool, rng: &mut impl Rng) -> Gossip {
        let max_members = if self.has_recent_join(now) { JOIN_MAX_MEMBERS } else { MAX_MEMBERS };
        let chosen: Vec<&Member> = self.live(now).choose_multiple(rng, max_members);
        let members = chosen.into_iter().cloned().collect();
        Gossip { from: self.own.clone(), members, at, ask }
    }
}
