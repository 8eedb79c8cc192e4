//! Simulated VMs that take part in a weight transfer.

use sequoiahold_core::{
    ids::{Digest, VmId},
    time::Time,
    units::{Bytes, Span},
    weights::{
        ChunkOutcome, ChunkSet, ChunkSource, CrossZonePolicy, Manifest, PeerKey, Pull, PullError,
        PullPlan, Topology, Transfer, UploadLimits,
    },
};

/// A VM that fetches and uploads chunks.
pub trait Node {
    /// Starts the transfer.
    fn start(&mut self, now: Time);
    /// Returns the next chunk to fetch, `None` if there is none at present.
    fn next_pull(&mut self, now: Time) -> Option<Pull>;
    /// Returns the peers to query for their chunks now.
    fn peers_to_query(&mut self, now: Time) -> Vec<VmId>;
    /// Handles the bitmap of the chunks that a peer holds.
    fn on_held_chunks(&mut self, now: Time, peer: &VmId, bits: &[u8]);
    /// Handles a query that a peer did not answer.
    fn on_query_unanswered(&mut self, peer: &VmId);
    /// Handles the data of a fetched chunk.
    fn on_chunk(&mut self, now: Time, digest: Digest, data: &[u8]) -> ChunkOutcome;
    /// Handles the failure of a chunk fetch.
    fn on_pull_failed(&mut self, now: Time, digest: Digest, error: PullError);
    /// Returns when the node must run again without an event, `None` if it need not.
    fn next_wakeup(&self) -> Option<Time>;
    /// Returns the delay after which a peer must retry a chunk, `None` to upload it now.
    fn upload_delay(&mut self, uploads: u32, chunk: Bytes) -> Option<Span>;
}

/// Time between two queries of a sequential node to its parent.
const QUERY_INTERVAL: Span = Span::millis(250);

/// A node that runs the core's transfer with the cross-zone policy `O`.
pub struct TransferNode<O, F> {
    make_transfer: F,
    uploads: UploadLimits,
    transfer: Option<Transfer<O>>,
}

impl<O: CrossZonePolicy, F: Fn(Time) -> Transfer<O>> TransferNode<O, F> {
    /// Returns a node that creates its transfer with `make_transfer` when it starts.
    pub fn new(uploads: UploadLimits, make_transfer: F) -> Self {
        Self { make_transfer, uploads, transfer: None }
    }
}

impl<O: CrossZonePolicy, F: Fn(Time) -> Transfer<O>> Node for TransferNode<O, F> {
    fn start(&mut self, now: Time) {
        self.transfer = Some((self.make_transfer)(now));
    }

    fn next_pull(&mut self, now: Time) -> Option<Pull> {
        self.transfer.as_mut()?.next_pull(now)
    }

    fn peers_to_query(&mut self, now: Time) -> Vec<VmId> {
        self.transfer.as_mut().map(|transfer| transfer.peers_to_query(now)).unwrap_or_default()
    }

    fn on_held_chunks(&mut self, now: Time, peer: &VmId, bits: &[u8]) {
        if let Some(transfer) = &mut self.transfer {
            transfer.on_held_chunks(now, peer, bits);
        }
    }

    fn on_query_unanswered(&mut self, peer: &VmId) {
        if let Some(transfer) = &mut self.transfer {
            transfer.on_query_unanswered(peer);
        }
    }

    fn on_chunk(&mut self, now: Time, digest: Digest, data: &[u8]) -> ChunkOutcome {
        let transfer = self.transfer.as_mut();
        transfer.map_or(ChunkOutcome::Unwanted, |t| t.on_chunk(now, digest, data))
    }

    fn on_pull_failed(&mut self, now: Time, digest: Digest, error: PullError) {
        if let Some(transfer) = &mut self.transfer {
            transfer.on_pull_failed(now, &digest, error);
        }
    }

    fn next_wakeup(&self) -> Option<Time> {
        self.transfer.as_ref()?.next_wakeup()
    }

    fn upload_delay(&mut self, uploads: u32, chunk: Bytes) -> Option<Span> {
        self.uploads.retry_delay(uploads, chunk)
    }
}

/// A node that fetches all chunks from one source in the order of the manifest.
pub struct SequentialNode {
    parent: Option<VmId>,
    chunks: Vec<Digest>,
    timeout: Span,
    known: ChunkSet,
    missing: ChunkSet,
    in_flight: ChunkSet,
    next_query: Time,
}

impl SequentialNode {
    /// Returns a node that fetches from `parent`, or from the origin if it is `None`.
    pub fn new(parent: Option<VmId>, manifest: &Manifest, held: &[bool], timeout: Span) -> Self {
        let len = held.len();
        let mut missing = ChunkSet::new(len);
        (0..len).filter(|i| !held[*i]).for_each(|i| missing.insert(i));
        let mut known = ChunkSet::new(len);
        if parent.is_none() {
            known = missing.clone();
        }
        let chunks = manifest.chunks.clone();
        let (in_flight, next_query) = (ChunkSet::new(len), Time::default());
        Self { parent, chunks, timeout, known, missing, in_flight, next_query }
    }

    fn chunk_index(&self, digest: &Digest) -> Option<usize> {
        self.chunks.iter().position(|chunk| chunk == digest)
    }
}

impl Node for SequentialNode {
    fn start(&mut self, _now: Time) {}

    fn next_pull(&mut self, _now: Time) -> Option<Pull> {
        let mut candidates = self.known.clone();
        candidates.intersect_with(&self.missing);
        candidates.subtract(&self.in_flight);
        let chunk = candidates.iter().next()?;
        self.in_flight.insert(chunk);
        let source = self.parent.clone().map_or(ChunkSource::Origin, ChunkSource::Peer);
        Some(Pull { digest: self.chunks[chunk], source, timeout: self.timeout })
    }

    fn peers_to_query(&mut self, now: Time) -> Vec<VmId> {
        if now < self.next_query {
            return vec![];
        }
        self.next_query = now + QUERY_INTERVAL;
        self.parent.clone().into_iter().collect()
    }

    fn on_held_chunks(&mut self, _now: Time, _peer: &VmId, bits: &[u8]) {
        self.known = ChunkSet::from_bytes(bits, self.chunks.len());
    }

    fn on_query_unanswered(&mut self, _peer: &VmId) {}

    fn on_chunk(&mut self, _now: Time, digest: Digest, data: &[u8]) -> ChunkOutcome {
        let Some(chunk) = self.chunk_index(&digest) else { return ChunkOutcome::Unwanted };
        self.in_flight.remove(chunk);
        if Digest::of(data) != digest {
            return ChunkOutcome::Corrupt;
        }
        self.missing.remove(chunk);
        if self.missing.is_empty() { ChunkOutcome::Complete } else { ChunkOutcome::Accepted }
    }

    fn on_pull_failed(&mut self, _now: Time, digest: Digest, _error: PullError) {
        self.chunk_index(&digest).into_iter().for_each(|chunk| self.in_flight.remove(chunk));
    }

    fn next_wakeup(&self) -> Option<Time> {
        Some(self.next_query)
    }

    fn upload_delay(&mut self, _uploads: u32, _chunk: Bytes) -> Option<Span> {
        None
    }
}

/// A policy under which any VM that knows no peer with a chunk fetches it from the origin.
#[derive(Clone, Copy, Debug)]
pub struct AnyVmPolicy;

impl CrossZonePolicy for AnyVmPolicy {
    fn plan(&self, topology: &Topology, chunk: &Digest, _place: usize, _size: Bytes) -> PullPlan {
        let (rank, _) = topology.rank(chunk, 0);
        PullPlan { rank: 0, predecessors: vec![], delay: Span(rank as u64) }
    }

    fn sources(&self, _topology: &Topology, _chunk: &Digest) -> Vec<Vec<PeerKey>> {
        vec![]
    }
}
