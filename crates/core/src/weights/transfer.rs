//! The plan of a transfer: which chunk to draw next, and from where.

use std::collections::{BTreeMap, BTreeSet};

use super::Manifest;
use crate::{
    ids::{Digest, VmId},
    peers::ranked,
    time::Time,
    units::Span,
};

/// The time after which the next in rank may draw a chunk from outside.
const RANK_STEP: Span = Span::secs(2);
/// The time that one draw may take.
const DRAW_TIMEOUT: Span = Span::secs(10);

/// Where a chunk is drawn from.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Supplier {
    /// The origin of weights.
    Origin,
    /// Another VM.
    Peer(VmId),
}

/// What became of a chunk that arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransferOutcome {
    /// The chunk is kept.
    Kept,
    /// All chunks are held now.
    Whole,
    /// The chunk has another digest and was dropped.
    Corrupt,
    /// The chunk is not wanted.
    Unwanted,
}

/// Decides what one VM draws to make a version whole.
#[derive(Clone, Debug)]
pub struct Transfer {
    vm: VmId,
    start: Time,
    missing: BTreeSet<Digest>,
    drawing: BTreeMap<Digest, (Supplier, Time)>,
    holders: BTreeMap<Digest, BTreeSet<VmId>>,
    ranks: BTreeMap<Digest, usize>,
}

impl Transfer {
    /// Starts a transfer of the chunks that `held` does not hold, among `peers` of the zone.
    pub fn new(
        vm: VmId,
        manifest: &Manifest,
        held: impl Fn(&Digest) -> bool,
        peers: &[VmId],
        now: Time,
    ) -> Self {
        let missing: BTreeSet<Digest> =
            manifest.chunks.iter().filter(|digest| !held(digest)).copied().collect();
        let names: Vec<&str> = peers.iter().map(VmId::as_str).collect();
        let rank = |digest: &Digest| {
            let order = ranked(names.iter().copied(), digest.bytes());
            order.iter().position(|name| *name == vm.as_str()).unwrap_or(0)
        };
        let ranks = missing.iter().map(|digest| (*digest, rank(digest))).collect();
        let (drawing, holders) = Default::default();
        Self { vm, start: now, missing, drawing, holders, ranks }
    }

    /// Returns whether all chunks are held.
    pub fn is_whole(&self) -> bool {
        self.missing.is_empty()
    }

    /// Returns how many chunks are missing.
    pub fn missing(&self) -> usize {
        self.missing.len()
    }

    /// Takes note that a peer holds chunks.
    pub fn holds(&mut self, peer: &VmId, digests: impl IntoIterator<Item = Digest>) {
        for digest in digests.into_iter().filter(|d| self.missing.contains(d)) {
            self.holders.entry(digest).or_default().insert(peer.clone());
        }
    }

    /// Returns the next draw, or `None` while there is nothing to draw.
    pub fn next(&mut self, now: Time) -> Option<(Digest, Supplier)> {
        self.drawing.retain(|_, (_, since)| now - *since < DRAW_TIMEOUT);
        let idle = self.missing.iter().filter(|digest| !self.drawing.contains_key(digest));
        let choice = idle.filter_map(|digest| Some((*digest, self.source(digest, now)?))).next()?;
        self.drawing.insert(choice.0, (choice.1.clone(), now));
        Some(choice)
    }

    /// Takes a chunk that arrived.
    pub fn arrived(&mut self, digest: Digest, data: &[u8]) -> TransferOutcome {
        if !self.missing.contains(&digest) {
            return TransferOutcome::Unwanted;
        }
        if Digest::of(data) != digest {
            self.failed(&digest);
            return TransferOutcome::Corrupt;
        }
        self.drawing.remove(&digest);
        self.missing.remove(&digest);
        self.holders.remove(&digest);
        if self.is_whole() { TransferOutcome::Whole } else { TransferOutcome::Kept }
    }

    /// Takes note that a draw failed; its source is not asked for this chunk again until it tells anew.
    pub fn failed(&mut self, digest: &Digest) {
        let Some((Supplier::Peer(peer), _)) = self.drawing.remove(digest) else { return };
        if let Some(holders) = self.holders.get_mut(digest) {
            holders.remove(&peer);
        }
    }

    fn source(&self, digest: &Digest, now: Time) -> Option<Supplier> {
        let holders = self.holders.get(digest).filter(|holders| !holders.is_empty());
        if let Some(holders) = holders {
            let names: Vec<&str> = holders.iter().map(VmId::as_str).collect();
            let seed = [digest.bytes().as_slice(), self.vm.as_str().as_bytes()].concat();
            let first = ranked(names, &seed).first().and_then(|name| name.parse().ok());
            return first.map(Supplier::Peer);
        }
        let rank = self.ranks.get(digest).copied().unwrap_or(0) as u64;
        let turn = self.start + Span(RANK_STEP.0 * rank);
        (now >= turn).then_some(Supplier::Origin)
    }
}
