//! Who draws which chunk from outside its availability zone, and when.

use super::topology::{PeerKey, Topology};
use crate::{
    ids::Digest,
    units::{ByteRate, Bytes, Span},
};

/// Ranks whose VMs look after the ones before them.
const MAX_PREDECESSORS: usize = 3;
/// VMs of another zone that are tried for a chunk.
const SOURCES_PER_ZONE: usize = 3;
/// Draws by which a region starts after the one before it.
const REGION_DELAY_CHUNKS: u64 = 3;

/// Share of the region's link that draws are planned for, in hundredths.
const LINK_SHARE_PERCENT: u64 = 90;

/// What one VM owes its zone for one chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PullPlan {
    /// The VMs of the zone that go before this one.
    pub rank: usize,
    /// The VMs that go before this one, if they are few.
    pub predecessors: Vec<PeerKey>,
    /// The time after the start at which the chunk's turn comes.
    pub delay: Span,
}

/// Decides who draws a chunk from outside the zone.
pub trait CrossZonePolicy {
    /// Returns the duty of the VM for the chunk at `place` among the missing ones.
    fn plan(&self, topology: &Topology, chunk: &Digest, index: usize, size: Bytes) -> PullPlan;
    /// Returns the VMs outside the zone that may give the chunk, by zone; after them comes the origin.
    fn sources(&self, topology: &Topology, chunk: &Digest) -> Vec<Vec<PeerKey>>;
}

/// Each chunk has one owner in each zone, by rendezvous hashing.
#[derive(Clone, Copy, Debug)]
pub struct RendezvousOwners {
    /// The rate at which the origin is drawn from by the whole fleet.
    pub origin_rate: ByteRate,
}

impl CrossZonePolicy for RendezvousOwners {
    fn plan(&self, topology: &Topology, chunk: &Digest, index: usize, size: Bytes) -> PullPlan {
        let (rank, predecessors) = topology.rank(chunk, MAX_PREDECESSORS);
        let rate = topology.origin_link().map_or(self.origin_rate, |link| {
            ByteRate(link.0 / 100 * LINK_SHARE_PERCENT).min(self.origin_rate)
        });
        let region_delay = REGION_DELAY_CHUNKS * topology.region_rank(chunk) as u64;
        let delay = Span(rate.time_of(size).0 * (index as u64 + region_delay));
        PullPlan { rank, predecessors, delay }
    }

    fn sources(&self, topology: &Topology, chunk: &Digest) -> Vec<Vec<PeerKey>> {
        topology.upstream_sources(chunk, SOURCES_PER_ZONE)
    }
}
