//! The VMs that share weights, grouped by zone and region, and their order for a chunk.

use std::collections::BTreeMap;

use crate::{
    declare::{Fleet, Vm},
    ids::{Digest, RegionId, VmId, ZoneId},
    units::ByteRate,
};

/// The index of a VM in a topology; invalid in any other topology.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PeerKey(u32);

#[derive(Clone, Debug)]
struct Member {
    vm: VmId,
    seed: u64,
    zone: usize,
}

#[derive(Clone, Debug)]
struct Zone {
    seed: u64,
    region: usize,
    members: Vec<PeerKey>,
}

#[derive(Clone, Debug)]
struct Region {
    seed: u64,
    link: ByteRate,
    is_origin: bool,
}

/// The region of an availability zone and its network link.
#[derive(Clone, Debug)]
pub struct ZoneLink {
    /// The name of the region.
    pub region: String,
    /// The rate of the region's link, in bytes per second.
    pub link: ByteRate,
}

/// The VMs that share weights, seen from one of them.
#[derive(Clone, Debug)]
pub struct Topology {
    own: PeerKey,
    members: Vec<Member>,
    zones: Vec<Zone>,
    regions: Vec<Region>,
}

impl Topology {
    /// Builds the topology of declared VMs; `origin` is the region of the origin server, if known.
    pub fn new<'a>(
        own: &VmId,
        vms: impl IntoIterator<Item = &'a Vm>,
        fleet: &Fleet,
        origin: Option<&RegionId>,
    ) -> Self {
        let members = vms.into_iter().map(|vm| (&vm.name, &vm.zone));
        let links = |zone: &ZoneId| {
            let declared = fleet.zones.get(zone)?;
            Some(ZoneLink { region: declared.region.as_str().to_owned(), link: declared.link })
        };
        Self::from_members(own, members, links, origin)
    }

    /// Builds the topology of `members`, where `links` returns the region and link of a zone.
    ///
    /// A zone without a known link counts as a region of its own with an unlimited link.
    pub fn from_members<'a>(
        own: &VmId,
        members: impl IntoIterator<Item = (&'a VmId, &'a ZoneId)>,
        links: impl Fn(&ZoneId) -> Option<ZoneLink>,
        origin: Option<&RegionId>,
    ) -> Self {
        let mut members: Vec<(&VmId, &ZoneId)> = members.into_iter().collect();
        members.sort_by(|a, b| a.0.cmp(b.0));
        let mut topology =
            Self { own: PeerKey(0), members: vec![], zones: vec![], regions: vec![] };
        let (mut zones, mut regions) = (BTreeMap::new(), BTreeMap::new());
        for (i, (vm, zone)) in members.into_iter().enumerate() {
            let key = PeerKey(i as u32);
            let position = *zones.entry(zone).or_insert_with(|| {
                topology.add_zone(zone, links(zone), origin, &mut regions);
                topology.zones.len() - 1
            });
            topology.zones[position].members.push(key);
            let seed = name_seed(vm.as_str());
            topology.members.push(Member { vm: vm.clone(), seed, zone: position });
        }
        topology.own = topology.key(own).unwrap_or(PeerKey(0));
        topology
    }

    fn add_zone(
        &mut self,
        zone: &ZoneId,
        link: Option<ZoneLink>,
        origin: Option<&RegionId>,
        regions: &mut BTreeMap<String, usize>,
    ) {
        let name = link.as_ref().map_or(zone.as_str(), |link| link.region.as_str());
        let region = *regions.entry(name.to_owned()).or_insert_with(|| {
            self.regions.push(Region {
                seed: name_seed(name),
                link: link.as_ref().map_or(ByteRate(u64::MAX), |link| link.link),
                is_origin: origin.is_some_and(|origin| origin.as_str() == name),
            });
            self.regions.len() - 1
        });
        self.zones.push(Zone { seed: name_seed(zone.as_str()), region, members: vec![] });
    }

    /// Returns the VM that this topology is seen from.
    pub fn own(&self) -> PeerKey {
        self.own
    }

    /// Returns the key of a VM, if it is part of the topology.
    pub fn key(&self, vm: &VmId) -> Option<PeerKey> {
        let position = self.members.binary_search_by(|member| member.vm.cmp(vm));
        position.ok().map(|i| PeerKey(i as u32))
    }

    /// Returns the identifier of a VM.
    pub fn vm(&self, key: PeerKey) -> &VmId {
        &self.members[key.0 as usize].vm
    }

    /// Returns the VMs of the own zone, including the own VM.
    pub fn zone_members(&self) -> &[PeerKey] {
        &self.zones[self.zone(self.own)].members
    }

    /// Returns whether a VM is in the own zone.
    pub fn in_own_zone(&self, key: PeerKey) -> bool {
        self.zone(key) == self.zone(self.own)
    }

    /// Returns whether a VM is in the own region.
    pub fn in_own_region(&self, key: PeerKey) -> bool {
        self.region(self.zone(key)) == self.region(self.zone(self.own))
    }

    /// Returns the rate of the own region's link if pulls from the origin cross it.
    pub fn origin_link(&self) -> Option<ByteRate> {
        let region = &self.regions[self.region(self.zone(self.own))];
        let origin_known = self.regions.iter().any(|region| region.is_origin);
        let crosses_link = if origin_known { !region.is_origin } else { self.regions.len() > 1 };
        crosses_link.then_some(region.link)
    }

    /// Returns peers of the own zone: on a ring of its VMs, both neighbors at each power of two.
    pub fn ring_neighbors(&self, salt: u64) -> Vec<PeerKey> {
        let mut ring = self.zone_members().to_vec();
        ring.sort_by_key(|key| rendezvous_weight(self.members[key.0 as usize].seed, salt));
        let len = ring.len();
        let own = ring.iter().position(|key| *key == self.own).unwrap_or(0);
        let steps = std::iter::successors(Some(1), |step| Some(step * 2));
        let distances = steps.take_while(|step| *step <= len / 2);
        let indices = distances.flat_map(|step| [(own + step) % len, (own + len - step) % len]);
        let mut keys: Vec<PeerKey> = indices.map(|i| ring[i]).collect();
        keys.sort();
        keys.dedup();
        keys
    }

    /// Returns the VMs of the own zone that precede this one for a chunk, in rendezvous order.
    pub fn predecessors(&self, chunk: &Digest) -> Vec<PeerKey> {
        let seed = chunk_seed(chunk);
        let weight = |key: PeerKey| rendezvous_weight(self.members[key.0 as usize].seed, seed);
        let own = weight(self.own);
        let mut predecessors: Vec<(u64, PeerKey)> = self
            .zone_members()
            .iter()
            .map(|key| (weight(*key), *key))
            .filter(|(w, _)| *w > own)
            .collect();
        predecessors.sort_by(|a, b| b.cmp(a));
        predecessors.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns the number of VMs of the own zone that precede this one for a chunk.
    ///
    /// The VMs themselves are returned too if there are at most `limit`.
    pub fn rank(&self, chunk: &Digest, limit: usize) -> (usize, Vec<PeerKey>) {
        let seed = chunk_seed(chunk);
        let weight = |key: &PeerKey| rendezvous_weight(self.members[key.0 as usize].seed, seed);
        let own = weight(&self.own);
        let before = || self.zone_members().iter().filter(|key| weight(key) > own);
        let rank = before().count();
        (rank, if rank <= limit { before().copied().collect() } else { vec![] })
    }

    /// Returns the zones in the order in which a chunk is passed on, the origin's region first.
    fn zone_order(&self, seed: u64) -> Vec<usize> {
        let mut zones: Vec<usize> = (0..self.zones.len()).collect();
        zones.sort_by_key(|zone| {
            let (zone, region) = (&self.zones[*zone], &self.regions[self.zones[*zone].region]);
            let region_order =
                std::cmp::Reverse((region.is_origin, rendezvous_weight(region.seed, seed)));
            (region_order, std::cmp::Reverse(rendezvous_weight(zone.seed, seed)))
        });
        zones
    }

    /// Returns the number of regions that precede the own one for a chunk.
    pub fn region_rank(&self, chunk: &Digest) -> usize {
        let order = self.zone_order(chunk_seed(chunk));
        let own = self.region(self.zone(self.own));
        let mut before: Vec<usize> =
            order.iter().map(|zone| self.region(*zone)).take_while(|r| *r != own).collect();
        before.dedup();
        before.len()
    }

    /// Returns the owner of a chunk in the next zone after the own one, if there is one.
    pub fn downstream_owner(&self, chunk: &Digest) -> Option<PeerKey> {
        let seed = chunk_seed(chunk);
        let order = self.zone_order(seed);
        let position = order.iter().position(|zone| *zone == self.zone(self.own))?;
        let next = order.get(position + 1)?;
        self.owners(*next, seed, 1).pop()
    }

    /// Returns the VMs of preceding zones to pull a chunk from, at most `per_zone` of each.
    ///
    /// Zones of the own region come first, then the first zone of each other region.
    pub fn upstream_sources(&self, chunk: &Digest, per_zone: usize) -> Vec<Vec<PeerKey>> {
        let seed = chunk_seed(chunk);
        let order = self.zone_order(seed);
        let own = self.zone(self.own);
        let position = order.iter().position(|zone| *zone == own).unwrap_or(0);
        let same_region = |zone: &&usize| self.region(**zone) == self.region(own);
        let before = &order[..position];
        let first_of_region = |zone: &&usize| {
            let head = before.iter().find(|z| self.region(**z) == self.region(**zone));
            head == Some(*zone)
        };
        let regional = before.iter().rev().filter(same_region);
        let remote = before.iter().rev().filter(|zone| !same_region(zone)).filter(first_of_region);
        regional.chain(remote).map(|zone| self.owners(*zone, seed, per_zone)).collect()
    }

    fn owners(&self, zone: usize, seed: u64, count: usize) -> Vec<PeerKey> {
        let weight = |key: PeerKey| rendezvous_weight(self.members[key.0 as usize].seed, seed);
        let mut owners = self.zones[zone].members.clone();
        owners.sort_by_key(|key| std::cmp::Reverse(weight(*key)));
        owners.truncate(count);
        owners
    }

    fn zone(&self, key: PeerKey) -> usize {
        self.members[key.0 as usize].zone
    }

    fn region(&self, zone: usize) -> usize {
        self.zones[zone].region
    }
}

/// Returns the rendezvous weight of a name's hash for a seed, which is the same on all VMs.
fn rendezvous_weight(hash: u64, seed: u64) -> u64 {
    let mut x = hash ^ seed.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn name_seed(name: &str) -> u64 {
    chunk_seed(&Digest::of(name.as_bytes()))
}

/// Returns the seed of a chunk's rendezvous order, taken from its digest.
pub(super) fn chunk_seed(chunk: &Digest) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&chunk.bytes()[..8]);
    u64::from_le_bytes(first)
}
