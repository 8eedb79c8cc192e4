//! The processes that a process exchanges gossip with, and the readers of the platform.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    declare::{Fleet, Vm},
    ids::{VmId, ZoneId},
    rendezvous::rank_nodes,
    time::Time,
    units::Span,
    vm_state::VmState,
};

/// The time for which a silent process is passed over.
const SILENCE: Span = Span::secs(10);
/// Ranks that may read the platform, as a multiple of the number of readers.
pub(super) const READER_RANKS: usize = 4;
/// Ranked processes that are kept, as a multiple of the fan-out.
const SPARE: usize = 4;

/// The processes that a process exchanges gossip with, by rendezvous hashing.
#[derive(Clone, Debug, Default)]
pub struct Neighbors {
    /// The own rank among the readers of the zone, `None` where the VM is not declared.
    rank: Option<usize>,
    /// The processes of the own zone, the nearest first.
    near: Vec<(VmId, SocketAddr)>,
    /// The readers of each other zone, the first ranked first.
    far: Vec<Vec<(VmId, SocketAddr)>>,
    silent: BTreeMap<VmId, Time>,
}

impl Neighbors {
    /// Ranks the processes of a fleet for one of its VMs.
    pub fn new(
        fleet: &Fleet,
        own: &VmId,
        zone: &ZoneId,
        list: &BTreeMap<VmId, VmState>,
        (fanout, readers): (usize, usize),
    ) -> Self {
        let alive = |vm: &&Vm| list.is_empty() || list.get(&vm.name) == Some(&VmState::Live);
        let mut zones: BTreeMap<&ZoneId, BTreeMap<&str, &Vm>> = BTreeMap::new();
        for vm in fleet.vms.values().filter(alive) {
            zones.entry(&vm.zone).or_default().insert(vm.name.as_str(), vm);
        }
        let same = zones.remove(zone).unwrap_or_default();
        let item = zone.as_str().as_bytes();
        let rank =
            rank_nodes(same.keys().copied(), item).into_iter().position(|vm| vm == own.as_str());
        let others = same.keys().copied().filter(|vm| *vm != own.as_str());
        let near = rank_nodes(others, own.as_str().as_bytes()).into_iter().take(fanout * SPARE);
        let near = near.map(|vm| (same[vm].name.clone(), same[vm].addr)).collect();
        let far = match rank {
            Some(rank) if rank < readers * READER_RANKS => zones
                .iter()
                .map(|(zone, vms)| {
                    let order = rank_nodes(vms.keys().copied(), zone.as_str().as_bytes());
                    let first = order.into_iter().take(readers * READER_RANKS);
                    first.map(|vm| (vms[vm].name.clone(), vms[vm].addr)).collect()
                })
                .collect(),
            _ => vec![],
        };
        Self { rank, near, far, silent: BTreeMap::new() }
    }

    /// Returns the own rank among the readers of the zone.
    pub fn rank(&self) -> Option<usize> {
        self.rank
    }

    /// Takes note that a process did not answer.
    pub fn silent(&mut self, now: Time, vm: &VmId) {
        let bound = self.near.len() + self.far.iter().map(Vec::len).sum::<usize>();
        if self.silent.len() < bound.max(1) {
            self.silent.insert(vm.clone(), now);
        }
    }

    /// Takes note that a process answered.
    pub fn answered(&mut self, vm: &VmId) {
        self.silent.remove(vm);
    }

    /// Returns the processes of the own zone to exchange gossip with.
    pub fn near(&self, now: Time, fanout: usize) -> Vec<(VmId, SocketAddr)> {
        self.near.iter().filter(|(vm, _)| self.answers(now, vm)).take(fanout).cloned().collect()
    }

    /// Returns one reader of each other zone; `round` moves on among the first ranked.
    pub fn far(&self, now: Time, round: usize, readers: usize) -> Vec<(VmId, SocketAddr)> {
        let one = |zone: &Vec<(VmId, SocketAddr)>| {
            let answering: Vec<_> =
                zone.iter().filter(|(vm, _)| self.answers(now, vm)).take(readers).collect();
            let i = round.checked_rem(answering.len())?;
            Some(answering[i].clone())
        };
        self.far.iter().filter_map(one).collect()
    }

    fn answers(&self, now: Time, vm: &VmId) -> bool {
        self.silent.get(vm).is_none_or(|at| now - *at > SILENCE)
    }
}
