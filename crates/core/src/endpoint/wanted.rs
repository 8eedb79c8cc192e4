//! A version on its way to the engine.

use std::sync::Arc;

use crate::{
    declare::Version,
    ids::{Digest, VmId},
    time::Time,
    weights::{Manifest, Transfer},
};

/// A version on its way to the engine.
#[derive(Clone, Debug)]
pub(super) struct Wanted {
    pub(super) version: Version,
    pub(super) manifest: Option<Arc<Manifest>>,
    pub(super) transfer: Option<Transfer>,
    pub(super) loading: bool,
}

impl Wanted {
    pub(super) fn new(version: Version) -> Self {
        Self { version, manifest: None, transfer: None, loading: false }
    }

    pub(super) fn start(
        &mut self,
        vm: VmId,
        manifest: Manifest,
        held: impl Fn(&Digest) -> bool,
        peers: &[VmId],
        now: Time,
    ) {
        self.transfer = Some(Transfer::new(vm, &manifest, held, peers, now));
        self.manifest = Some(Arc::new(manifest));
    }

    pub(super) fn is_whole(&self) -> bool {
        self.transfer.as_ref().is_some_and(Transfer::is_whole)
    }

    pub(super) fn missing(&self) -> usize {
        self.transfer.as_ref().map_or(0, Transfer::missing)
    }

    /// Takes note of the chunks that a peer holds, as bits in the order of the manifest.
    pub(super) fn holds(&mut self, peer: &VmId, bits: &[u8]) {
        let (Some(manifest), Some(transfer)) = (&self.manifest, &mut self.transfer) else {
            return;
        };
        let held = |i: usize| bits.get(i / 8).is_some_and(|byte| byte & (1 << (i % 8)) != 0);
        let chunks = manifest.chunks.iter().enumerate();
        transfer.holds(peer, chunks.filter(|(i, _)| held(*i)).map(|(_, digest)| *digest));
    }
}
