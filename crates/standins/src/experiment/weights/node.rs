//! What the driver asks of a VM's side of a transfer.

use sequoiahold_core::{
    ids::{Digest, VmId},
    time::Time,
    units::Span,
    weights::{Manifest, Supplier, Transfer, TransferOutcome},
};

/// A draw that is to start.
#[derive(Clone, Debug)]
pub struct Draw {
    /// The chunk.
    pub digest: Digest,
    /// Where it is drawn from.
    pub supplier: Supplier,
    /// The time that the draw may take.
    pub timeout: Span,
}

/// Why a draw ended without a chunk.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DrawError {
    /// The supplier does not hold the chunk.
    Absent,
    /// The supplier takes the draw after this time.
    Later(Span),
    /// The supplier gave no answer in time.
    Silent,
}

/// One VM's side of a transfer.
pub trait Node {
    /// Starts the transfer.
    fn start(&mut self, now: Time);
    /// Returns the next draw.
    fn next(&mut self, now: Time) -> Option<Draw>;
    /// Returns the peers to ask for their chunks now.
    fn asks(&mut self, now: Time) -> Vec<VmId>;
    /// Takes the chunks that a peer holds.
    fn have(&mut self, now: Time, peer: &VmId, bits: &[u8]);
    /// Takes note that a peer gave no answer.
    fn silent(&mut self, now: Time, peer: &VmId);
    /// Takes a chunk.
    fn arrived(&mut self, now: Time, digest: Digest, data: &[u8]) -> TransferOutcome;
    /// Takes note that a draw failed.
    fn failed(&mut self, now: Time, digest: Digest, error: DrawError);
    /// Returns when to call again without an event.
    fn wake(&self, now: Time) -> Time;
    /// Returns the pause that a peer must make before its draw, `None` to give it the chunk.
    fn give(&mut self, now: Time, uploads: u32) -> Option<Span>;
}

/// Time between two questions to a peer about its chunks.
const HAVE: Span = Span::millis(200);

/// The transfer as it stands: peers of the zone only, all asked at a fixed pace.
pub struct Present {
    vm: VmId,
    manifest: Manifest,
    held: Vec<bool>,
    peers: Vec<VmId>,
    asked: Time,
    transfer: Option<Transfer>,
}

impl Present {
    /// Returns the side of a VM among the VMs of its zone.
    pub fn new(vm: VmId, manifest: Manifest, held: Vec<bool>, peers: Vec<VmId>) -> Self {
        Self { vm, manifest, held, peers, asked: Time::default(), transfer: None }
    }
}

impl Node for Present {
    fn start(&mut self, now: Time) {
        let held = |digest: &Digest| {
            self.manifest.chunks.iter().zip(&self.held).any(|(d, held)| *held && d == digest)
        };
        let transfer = Transfer::new(self.vm.clone(), &self.manifest, held, &self.peers, now);
        self.transfer = Some(transfer);
    }

    fn next(&mut self, now: Time) -> Option<Draw> {
        let (digest, supplier) = self.transfer.as_mut()?.next(now)?;
        Some(Draw { digest, supplier, timeout: Span::secs(10) })
    }

    fn asks(&mut self, now: Time) -> Vec<VmId> {
        if now < self.asked + HAVE {
            return vec![];
        }
        self.asked = now;
        self.peers.iter().filter(|peer| **peer != self.vm).cloned().collect()
    }

    fn have(&mut self, _now: Time, peer: &VmId, bits: &[u8]) {
        let held = |i: usize| bits.get(i / 8).is_some_and(|byte| byte & (1 << (i % 8)) != 0);
        let chunks = self.manifest.chunks.iter().enumerate();
        let digests = chunks.filter(|(i, _)| held(*i)).map(|(_, digest)| *digest);
        if let Some(transfer) = &mut self.transfer {
            transfer.holds(peer, digests);
        }
    }

    fn silent(&mut self, _now: Time, _peer: &VmId) {}

    fn arrived(&mut self, _now: Time, digest: Digest, data: &[u8]) -> TransferOutcome {
        self.transfer.as_mut().map_or(TransferOutcome::Unwanted, |t| t.arrived(digest, data))
    }

    fn failed(&mut self, _now: Time, digest: Digest, _error: DrawError) {
        if let Some(transfer) = &mut self.transfer {
            transfer.failed(&digest);
        }
    }

    fn wake(&self, now: Time) -> Time {
        (self.asked + HAVE).max(now + Span::millis(1))
    }

    fn give(&mut self, _now: Time, _uploads: u32) -> Option<Span> {
        None
    }
}
