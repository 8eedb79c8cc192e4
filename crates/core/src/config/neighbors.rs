//! The processes that a process exchanges gossip with, and the readers of the platform.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    declare::{Fleet, Vm},
    ids::{VmId, ZoneId},
    member::VmState,
    peers::ranked,
    time::Time,
    units::Span,
};

/// The time for which a silent process is passed over.
const UNRESPONSIVE_PERIOD: Span = Span::secs(10);
/// Ranks that may read the platform, as a multiple of the number of readers.
pub(super) const READER_RANK_FACTOR: usize = 4;
/// Ranked processes that are kept, as a multiple of the fan-out.
const ZONE_PEER_FACTOR: usize = 4;

/// The processes that a process exchanges gossip with, by rendezvous hashing.
#[derive(Clone, Debug, Default)]
pub struct Neighbors {
    /// The own rank among the readers of the zone, `None` where the VM is not declared.
    rank: Option<usize>,
    /// The processes of the own zone, the nearest first.
    zone_peers: Vec<(VmId, SocketAddr)>,
    /// The readers of each other zone, the first ranked first.
    remote_readers: Vec<Vec<(VmId, SocketAddr)>>,
    unresponsive: BTreeMap<VmId, Time>,
}

impl Neighbors {
    /// Ranks the processes of a fleet for one of its VMs.
    pub fn new(
        fleet: &Fleet,
        own_vm: &VmId,
        zone: &ZoneId,
        vm_states: &BTreeMap<VmId, VmState>,
        (fanout, readers): (usize, usize),
    ) -> Self {
        let alive =
            |vm: &&Vm| vm_states.is_empty() || vm_states.get(&vm.name) == Some(&VmState::Live);
        let mut zones: BTreeMap<&ZoneId, BTreeMap<&str, &Vm>> = BTreeMap::new();
        for vm in fleet.vms.values().filter(alive) {
            zones.entry(&vm.zone).or_default().insert(vm.name.as_str(), vm);
        }
        let same = zones.remove(zone).unwrap_or_default();
        let item = zone.as_str().as_bytes();
        let rank =
            ranked(same.keys().copied(), item).into_iter().position(|vm| vm == own_vm.as_str());
        let others = same.keys().copied().filter(|vm| *vm != own_vm.as_str());
        let zone_peers =
            ranked(others, own_vm.as_str().as_bytes()).into_iter().take(fanout * ZONE_PEER_FACTOR);
        let zone_peers = zone_peers.map(|vm| (same[vm].name.clone(), same[vm].addr)).collect();
        let remote_readers = match rank {
            Some(rank) if rank < readers * READER_RANK_FACTOR => zones
                .iter()
                .map(|(zone, vms)| {
                    let order = ranked(vms.keys().copied(), zone.as_str().as_bytes());
                    let first = order.into_iter().take(readers * READER_RANK_FACTOR);
                    first.map(|vm| (vms[vm].name.clone(), vms[vm].addr)).collect()
                })
                .collect(),
            _ => vec![],
        };
        Self { rank, zone_peers, remote_readers, unresponsive: BTreeMap::new() }
    }

    /// Returns the own rank among the readers of the zone.
    pub fn rank(&self) -> Option<usize> {
        self.rank
    }

    /// Takes note that a process did not answer.
    pub fn mark_unresponsive(&mut self, now: Time, vm: &VmId) {
        let bound = self.zone_peers.len() + self.remote_readers.iter().map(Vec::len).sum::<usize>();
        if self.unresponsive.len() < bound.max(1) {
            self.unresponsive.insert(vm.clone(), now);
        }
    }

    /// Takes note that a process answered.
    pub fn mark_responsive(&mut self, vm: &VmId) {
        self.unresponsive.remove(vm);
    }

    /// Returns the processes of the own zone to exchange gossip with.
    pub fn zone_peers(&self, now: Time, fanout: usize) -> Vec<(VmId, SocketAddr)> {
        self.zone_peers
            .iter()
            .filter(|(vm, _)| self.is_responsive(now, vm))
            .take(fanout)
            .cloned()
            .collect()
    }

    /// Returns one reader of each other zone; `round` moves on among the first ranked.
    pub fn remote_readers(
        &self,
        now: Time,
        round: usize,
        readers: usize,
    ) -> Vec<(VmId, SocketAddr)> {
        let one = |zone: &Vec<(VmId, SocketAddr)>| {
            let responsive: Vec<_> =
                zone.iter().filter(|(vm, _)| self.is_responsive(now, vm)).take(readers).collect();
            let i = round.checked_rem(responsive.len())?;
            Some(responsive[i].clone())
        };
        self.remote_readers.iter().filter_map(one).collect()
    }

    fn is_responsive(&self, now: Time, vm: &VmId) -> bool {
        self.unresponsive.get(vm).is_none_or(|at| now - *at > UNRESPONSIVE_PERIOD)
    }
}
