//! Membership of the system's own processes by gossip of heartbeat counters.

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

/// Time between two rounds of gossip.
const GOSSIP_INTERVAL: Span = Span::millis(400);
/// Time between two rounds while members are new.
const JOIN_GOSSIP_INTERVAL: Span = Span::millis(200);
/// Members that a round tells.
const GOSSIP_FANOUT: usize = 3;
/// Members that one message describes.
const MAX_MEMBERS: usize = 8;
/// Members that one message describes while members are new; with it a message fits one datagram.
const JOIN_MAX_MEMBERS: usize = 16;
/// Time after the last new member in which members count as new.
const JOIN_PERIOD: Span = Span::secs(3);
/// Time without a new heartbeat after which a member counts as silent.
const SILENCE_TIMEOUT: Span = Span::millis(3_200);
/// Time after which a silent member is forgotten; it may be alive behind a partition until then.
const REMOVAL_TIMEOUT: Span = Span::secs(60);

/// Time without a new member after which the members count as known: one round reaches most of them.
const SETTLE_TIME: Span = Span::millis(250);
/// Time after the start at which they count as known in any case, as no peer may be in reach.
const SETTLE_DEADLINE: Time = Time(1_500_000);

/// Processes of a zone that watch the platform; two, so that one may fail unnoticed for a while.
const WATCHERS_PER_ZONE: usize = 2;

/// What a process of the system does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// It takes callers.
    Gateway,
    /// It brings weights to the engine on its VM.
    Loader,
}

/// A process of the system.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// What the process does.
    pub role: Role,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it listens for peers, by UDP for gossip and by TCP for calls.
    pub addr: SocketAddr,
    /// Its start.
    pub incarnation: Incarnation,
    /// Its heartbeat counter.
    pub beat: u64,
    /// Whether the platform answers it, as far as it has asked.
    pub reads: bool,
}

/// One message of gossip.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// The sender.
    pub from: Member,
    /// Members that the sender knows.
    pub members: Vec<Member>,
    /// The revision up to which the sender knows what is published.
    pub at: Revision,
    /// Whether the sender asks for an answer.
    pub ask: bool,
}

#[derive(Clone, Debug)]
struct PeerState {
    member: Member,
    last_heard: Time,
}

/// The members that one process knows.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<VmId, PeerState>,
    joined: bool,
    last_join: Time,
}

impl Membership {
    /// Returns a mesh that knows only its seeds.
    pub fn new(own: Member, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.addr).collect();
        Self { own, seeds, peers: BTreeMap::new(), joined: false, last_join: Time::default() }
    }

    /// Returns this process.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns whether another process has been heard of.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Returns whether the members count as known, `now` being the time since the start.
    pub fn is_settled(&self, now: Time) -> bool {
        now >= SETTLE_DEADLINE || self.joined && now >= self.last_join + SETTLE_TIME
    }

    /// Returns the members that are heard of regularly.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        let live = move |peer: &&PeerState| peer.last_heard + SILENCE_TIMEOUT > now;
        self.peers.values().filter(live).map(|peer| &peer.member)
    }

    /// Returns the members of a role that are heard of regularly.
    pub fn live_with_role(&self, now: Time, role: Role) -> impl Iterator<Item = &Member> {
        self.live(now).filter(move |member| member.role == role)
    }

    /// Returns how many processes of a role there may be, this one and silent ones included.
    pub fn count_with_role(&self, role: Role) -> usize {
        let peers = self.peers.values().filter(|peer| peer.member.role == role).count();
        peers + usize::from(self.own.role == role)
    }

    /// Sets whether the platform answers this process.
    pub fn set_platform_reachable(&mut self, reachable: bool) {
        self.own.reads = reachable;
    }

    /// Returns whether this process watches the platform for its zone: the first ones by name do,
    /// gateways before loaders; those that the platform does not answer are left out.
    pub fn is_watcher(&self, now: Time) -> bool {
        let own = (self.own.role, &self.own.vm);
        let local = self.live(now).filter(|member| member.zone == self.own.zone && member.reads);
        local.filter(|member| (member.role, &member.vm) < own).count() < WATCHERS_PER_ZONE
    }

    /// Returns the live members of the own zone.
    pub fn live_in_zone(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.live(now).filter(|member| member.zone == self.own.zone)
    }

    /// Returns the time from one round to the next.
    pub fn round_interval(&self, now: Time) -> Span {
        if self.has_recent_join(now) { JOIN_GOSSIP_INTERVAL } else { GOSSIP_INTERVAL }
    }

    fn has_recent_join(&self, now: Time) -> bool {
        now < self.last_join + JOIN_PERIOD
    }

    /// Starts a round: returns the message and whom to send it to.
    pub fn start_round(
        &mut self,
        now: Time,
        at: Revision,
        rng: &mut impl Rng,
    ) -> (Gossip, Vec<SocketAddr>) {
        self.own.beat += 1;
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

    /// Returns the answer to a message that asks for one.
    pub fn reply(&self, now: Time, at: Revision, rng: &mut impl Rng) -> Gossip {
        self.build_message(now, at, false, rng)
    }

    /// Takes a message; returns whether a member was heard of for the first time.
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
        let order = |member: &Member| (member.incarnation, member.beat);
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
