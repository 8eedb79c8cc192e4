//! Selection of gossip peers and of the platform readers of each zone by rendezvous hashing.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    declare::{Fleet, Vm},
    ids::{VmId, ZoneId},
    rendezvous::rank_nodes,
    time::Time,
    units::Span,
    vm_state::VmState,
};

/// Time for which a peer that did not answer is skipped.
const UNRESPONSIVE_PERIOD: Span = Span::secs(10);
/// Number of ranks that may read the platform, as a multiple of the number of readers.
pub(super) const READER_RANK_FACTOR: usize = 4;
/// Number of zone peers kept, as a multiple of the fan-out, to replace unresponsive ones.
const ZONE_PEER_FACTOR: usize = 4;

/// The gossip peers of a process.
#[derive(Clone, Debug, Default)]
pub struct Neighbors {
    /// The rank of this process among the readers of its zone, `None` if its VM is not declared.
    rank: Option<usize>,
    /// Peers in the same zone, the highest rendezvous weight first.
    zone_peers: Vec<(VmId, SocketAddr)>,
    /// The readers of each other zone by rank; empty if this process cannot become a reader.
    remote_readers: Vec<Vec<(VmId, SocketAddr)>>,
    unresponsive: BTreeMap<VmId, Time>,
}

impl Neighbors {
    /// Selects the peers of `own_vm` among the live VMs of a fleet, or all if `vm_states` is empty.
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
            rank_nodes(same.keys().copied(), item).into_iter().position(|vm| vm == own_vm.as_str());
        let others = same.keys().copied().filter(|vm| *vm != own_vm.as_str());
        let zone_peers = rank_nodes(others, own_vm.as_str().as_bytes())
            .into_iter()
            .take(fanout * ZONE_PEER_FACTOR);
        let zone_peers = zone_peers.map(|vm| (same[vm].name.clone(), same[vm].addr)).collect();
        let remote_readers = match rank {
            Some(rank) if rank < readers * READER_RANK_FACTOR => zones
                .iter()
                .map(|(zone, vms)| {
                    let order = rank_nodes(vms.keys().copied(), zone.as_str().as_bytes());
                    let first = order.into_iter().take(readers * READER_RANK_FACTOR);
                    first.map(|vm| (vms[vm].name.clone(), vms[vm].addr)).collect()
                })
                .collect(),
            _ => vec![],
        };
        Self { rank, zone_peers, remote_readers, unresponsive: BTreeMap::new() }
    }

    /// Returns the rank of this process among the readers of its zone.
    pub fn rank(&self) -> Option<usize> {
        self.rank
    }

    /// Marks a peer as unresponsive, so that it is skipped for `UNRESPONSIVE_PERIOD`.
    pub fn mark_unresponsive(&mut self, now: Time, vm: &VmId) {
        let bound = self.zone_peers.len() + self.remote_readers.iter().map(Vec::len).sum::<usize>();
        if self.unresponsive.len() < bound.max(1) {
            self.unresponsive.insert(vm.clone(), now);
        }
    }

    /// Marks a peer as responsive after an answer.
    pub fn mark_responsive(&mut self, vm: &VmId) {
        self.unresponsive.remove(vm);
    }

    /// Returns up to `fanout` responsive peers of the same zone.
    pub fn zone_peers(&self, now: Time, fanout: usize) -> Vec<(VmId, SocketAddr)> {
        self.zone_peers
            .iter()
            .filter(|(vm, _)| self.is_responsive(now, vm))
            .take(fanout)
            .cloned()
            .collect()
    }

    /// Returns a responsive reader of each other zone, rotating over the first `count` by `round`.
    pub fn remote_readers(&self, now: Time, round: usize, count: usize) -> Vec<(VmId, SocketAddr)> {
        let reader = |zone: &Vec<(VmId, SocketAddr)>| {
            let responsive: Vec<_> =
                zone.iter().filter(|(vm, _)| self.is_responsive(now, vm)).take(count).collect();
            let i = round.checked_rem(responsive.len())?;
            Some(responsive[i].clone())
        };
        self.remote_readers.iter().filter_map(reader).collect()
    }

    fn is_responsive(&self, now: Time, vm: &VmId) -> bool {
        self.unresponsive.get(vm).is_none_or(|at| now - *at > UNRESPONSIVE_PERIOD)
    }
}
