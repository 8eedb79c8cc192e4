//! Who draws which chunk from outside its availability zone, and when.

use super::topology::{PeerKey, Topology};
use crate::{
    ids::Digest,
    units::{ByteRate, Bytes, Span},
};

/// Ranks whose VMs look after the ones before them.
const WATCHERS: usize = 3;
/// VMs of another zone that are tried for a chunk.
const PER_ZONE: usize = 3;
/// Draws by which a region starts after the one before it.
const LAG: u64 = 3;

/// Share of the region's link that draws are planned for, in hundredths.
const LOAD: u64 = 90;

/// What one VM owes its zone for one chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Duty {
    /// The VMs of the zone that go before this one.
    pub rank: usize,
    /// The VMs that go before this one, if they are few.
    pub ahead: Vec<PeerKey>,
    /// The time after the start at which the chunk's turn comes.
    pub turn: Span,
}

/// Decides who draws a chunk from outside the zone.
pub trait Outside {
    /// Returns the duty of the VM for the chunk at `place` among the missing ones.
    fn duty(&self, topology: &Topology, chunk: &Digest, place: usize, size: Bytes) -> Duty;
    /// Returns the VMs outside the zone that may give the chunk, by zone; after them comes the origin.
    fn sources(&self, topology: &Topology, chunk: &Digest) -> Vec<Vec<PeerKey>>;
}

/// Each chunk has one owner in each zone, by rendezvous hashing.
#[derive(Clone, Copy, Debug)]
pub struct Owners {
    /// The rate at which the origin is drawn from by the whole fleet.
    pub origin: ByteRate,
}

impl Outside for Owners {
    fn duty(&self, topology: &Topology, chunk: &Digest, place: usize, size: Bytes) -> Duty {
        let (rank, ahead) = topology.rank(chunk, WATCHERS);
        let rate = topology
            .link()
            .map_or(self.origin, |link| ByteRate(link.0 / 100 * LOAD).min(self.origin));
        let lag = LAG * topology.region_rank(chunk) as u64;
        let turn = Span(rate.transfer_time(size).0 * (place as u64 + lag));
        Duty { rank, ahead, turn }
    }

    fn sources(&self, topology: &Topology, chunk: &Digest) -> Vec<Vec<PeerKey>> {
        topology.upstream(chunk, PER_ZONE)
    }
}
