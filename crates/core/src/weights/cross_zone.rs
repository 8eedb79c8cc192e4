//! Decides which VM pulls which chunk from outside its availability zone, and when.

use super::topology::{PeerKey, Topology};
use crate::{
    ids::Digest,
    units::{ByteRate, Bytes, Span},
};

/// Maximum number of predecessors that a VM watches, to take over when all of them fail.
const MAX_PREDECESSORS: usize = 3;
/// Maximum number of VMs of another zone to pull a chunk from.
const SOURCES_PER_ZONE: usize = 3;
/// Delay of a region after the previous one, in durations of one chunk.
const REGION_DELAY_CHUNKS: u64 = 3;

/// Percentage of the rate of the region's link that pulls are scheduled at.
const LINK_SHARE_PERCENT: u64 = 90;

/// The part of one VM in pulling one chunk into its zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PullPlan {
    /// The number of VMs of the zone that precede this one for the chunk.
    pub rank: usize,
    /// The VMs that precede this one, or none if there are too many to watch.
    pub predecessors: Vec<PeerKey>,
    /// The delay after the start of the transfer before the chunk is pulled.
    pub delay: Span,
}

/// A policy that decides which VMs pull a chunk from outside the zone, and from where.
pub trait CrossZonePolicy {
    /// Returns the plan of the own VM for a chunk at position `index` among the missing ones.
    fn plan(&self, topology: &Topology, chunk: &Digest, index: usize, size: Bytes) -> PullPlan;
    /// Returns the VMs of other zones to pull the chunk from, by zone; the origin comes last.
    fn sources(&self, topology: &Topology, chunk: &Digest) -> Vec<Vec<PeerKey>>;
}

/// Assigns each chunk one owner per zone by rendezvous hashing.
#[derive(Clone, Copy, Debug)]
pub struct RendezvousOwners {
    /// The total rate at which the fleet pulls from the origin.
    pub origin_rate: ByteRate,
}

impl CrossZonePolicy for RendezvousOwners {
    fn plan(&self, topology: &Topology, chunk: &Digest, index: usize, size: Bytes) -> PullPlan {
        let (rank, predecessors) = topology.rank(chunk, MAX_PREDECESSORS);
        let rate = topology.origin_link().map_or(self.origin_rate, |link| {
            ByteRate(link.0 / 100 * LINK_SHARE_PERCENT).min(self.origin_rate)
        });
        let region_delay = REGION_DELAY_CHUNKS * topology.region_rank(chunk) as u64;
        let delay = Span(rate.transfer_time(size).0 * (index as u64 + region_delay));
        PullPlan { rank, predecessors, delay }
    }

    fn sources(&self, topology: &Topology, chunk: &Digest) -> Vec<Vec<PeerKey>> {
        topology.upstream_sources(chunk, SOURCES_PER_ZONE)
    }
}
