//! What the driver asks of a VM's side of a transfer.

use sequoiahold_core::{
    ids::{Digest, VmId},
    time::Time,
    units::{Bytes, Span},
    weights::{
        ChunkOutcome, ChunkSet, ChunkSource, CrossZonePolicy, Manifest, PeerKey, Pull, PullError,
        PullPlan, Topology, Transfer, UploadLimits,
    },
};

/// One VM's side of a transfer.
pub trait Node {
    /// Starts the transfer.
    fn start(&mut self, now: Time);
    /// Returns the next draw.
    fn next(&mut self, now: Time) -> Option<Pull>;
    /// Returns the peers to ask for their chunks now.
    fn asks(&mut self, now: Time) -> Vec<VmId>;
    /// Takes the chunks that a peer holds.
    fn have(&mut self, now: Time, peer: &VmId, bits: &[u8]);
    /// Takes note that a peer gave no answer.
    fn silent(&mut self, peer: &VmId);
    /// Takes a chunk.
    fn arrived(&mut self, now: Time, digest: Digest, data: &[u8]) -> ChunkOutcome;
    /// Takes note that a draw failed.
    fn failed(&mut self, now: Time, digest: Digest, error: PullError);
    /// Returns when to call again without an event.
    fn wake(&self) -> Option<Time>;
    /// Returns the pause that a peer must make before its draw, `None` to give it the chunk.
    fn give(&mut self, uploads: u32, chunk: Bytes) -> Option<Span>;
}

/// Time between two questions of a line to its parent.
const ROUND: Span = Span::millis(250);

/// The core's transfer, with the plan `O` of who draws from outside.
pub struct Swarm<O, F> {
    make: F,
    uploads: UploadLimits,
    transfer: Option<Transfer<O>>,
}

impl<O: CrossZonePolicy, F: Fn(Time) -> Transfer<O>> Swarm<O, F> {
    /// Returns a side whose transfer is made when it starts.
    pub fn new(uploads: UploadLimits, make: F) -> Self {
        Self { make, uploads, transfer: None }
    }
}

impl<O: CrossZonePolicy, F: Fn(Time) -> Transfer<O>> Node for Swarm<O, F> {
    fn start(&mut self, now: Time) {
        self.transfer = Some((self.make)(now));
    }

    fn next(&mut self, now: Time) -> Option<Pull> {
        self.transfer.as_mut()?.next_pull(now)
    }

    fn asks(&mut self, now: Time) -> Vec<VmId> {
        self.transfer.as_mut().map(|transfer| transfer.peers_to_query(now)).unwrap_or_default()
    }

    fn have(&mut self, now: Time, peer: &VmId, bits: &[u8]) {
        if let Some(transfer) = &mut self.transfer {
            transfer.on_held_chunks(now, peer, bits);
        }
    }

    fn silent(&mut self, peer: &VmId) {
        if let Some(transfer) = &mut self.transfer {
            transfer.on_query_unanswered(peer);
        }
    }

    fn arrived(&mut self, now: Time, digest: Digest, data: &[u8]) -> ChunkOutcome {
        let transfer = self.transfer.as_mut();
        transfer.map_or(ChunkOutcome::Unwanted, |t| t.on_chunk(now, digest, data))
    }

    fn failed(&mut self, now: Time, digest: Digest, error: PullError) {
        if let Some(transfer) = &mut self.transfer {
            transfer.on_pull_failed(now, &digest, error);
        }
    }

    fn wake(&self) -> Option<Time> {
        self.transfer.as_ref()?.next_wakeup()
    }

    fn give(&mut self, uploads: u32, chunk: Bytes) -> Option<Span> {
        self.uploads.retry_delay(uploads, chunk)
    }
}

/// Draws all chunks from one place in the order of the manifest.
pub struct Line {
    parent: Option<VmId>,
    chunks: Vec<Digest>,
    timeout: Span,
    known: ChunkSet,
    missing: ChunkSet,
    flying: ChunkSet,
    round: Time,
}

impl Line {
    /// Returns the side of a VM that draws from `parent`, or from the origin.
    pub fn new(parent: Option<VmId>, manifest: &Manifest, held: &[bool], timeout: Span) -> Self {
        let len = held.len();
        let mut missing = ChunkSet::new(len);
        (0..len).filter(|i| !held[*i]).for_each(|i| missing.insert(i));
        let mut known = ChunkSet::new(len);
        if parent.is_none() {
            known = missing.clone();
        }
        let chunks = manifest.chunks.clone();
        let (flying, round) = (ChunkSet::new(len), Time::default());
        Self { parent, chunks, timeout, known, missing, flying, round }
    }

    fn place(&self, digest: &Digest) -> Option<usize> {
        self.chunks.iter().position(|chunk| chunk == digest)
    }
}

impl Node for Line {
    fn start(&mut self, _now: Time) {}

    fn next(&mut self, _now: Time) -> Option<Pull> {
        let mut idle = self.known.clone();
        idle.intersect_with(&self.missing);
        idle.subtract(&self.flying);
        let chunk = idle.iter().next()?;
        self.flying.insert(chunk);
        let supplier = self.parent.clone().map_or(ChunkSource::Origin, ChunkSource::Peer);
        Some(Pull { digest: self.chunks[chunk], source: supplier, timeout: self.timeout })
    }

    fn asks(&mut self, now: Time) -> Vec<VmId> {
        if now < self.round {
            return vec![];
        }
        self.round = now + ROUND;
        self.parent.clone().into_iter().collect()
    }

    fn have(&mut self, _now: Time, _peer: &VmId, bits: &[u8]) {
        self.known = ChunkSet::from_bytes(bits, self.chunks.len());
    }

    fn silent(&mut self, _peer: &VmId) {}

    fn arrived(&mut self, _now: Time, digest: Digest, data: &[u8]) -> ChunkOutcome {
        let Some(chunk) = self.place(&digest) else { return ChunkOutcome::Unwanted };
        self.flying.remove(chunk);
        if Digest::of(data) != digest {
            return ChunkOutcome::Corrupt;
        }
        self.missing.remove(chunk);
        if self.missing.is_empty() { ChunkOutcome::Complete } else { ChunkOutcome::Accepted }
    }

    fn failed(&mut self, _now: Time, digest: Digest, _error: PullError) {
        self.place(&digest).into_iter().for_each(|chunk| self.flying.remove(chunk));
    }

    fn wake(&self) -> Option<Time> {
        Some(self.round)
    }

    fn give(&mut self, _uploads: u32, _chunk: Bytes) -> Option<Span> {
        None
    }
}

/// Each VM that knows no peer with a chunk draws it from the origin.
#[derive(Clone, Copy, Debug)]
pub struct Anyone;

impl CrossZonePolicy for Anyone {
    fn plan(&self, topology: &Topology, chunk: &Digest, _place: usize, _size: Bytes) -> PullPlan {
        let (rank, _) = topology.rank(chunk, 0);
        PullPlan { rank: 0, predecessors: vec![], delay: Span(rank as u64) }
    }

    fn sources(&self, _topology: &Topology, _chunk: &Digest) -> Vec<Vec<PeerKey>> {
        vec![]
    }
}
