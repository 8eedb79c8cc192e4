//! Pulling the weights of the target version and loading them into the engine.

use std::sync::Arc;

use super::{BlobSource, Endpoint, LifecycleEvent, Output, Timer, target_version::TargetVersion};
use crate::{
    declare::Fleet,
    ids::{Digest, VersionId, VmId},
    proto::Heartbeat,
    time::Time,
    units::{Bytes, Span},
    weights::{ChunkOutcome, ChunkSource, Manifest, PullError, RolloutDecision, Topology},
};

/// Delay before a failed manifest read is retried.
const MANIFEST_RETRY: Span = Span::millis(500);
/// Delay before a failed load command is retried.
const LOAD_RETRY: Span = Span::millis(500);

impl Endpoint {
    /// Starts the transfer of a version from its manifest, or schedules a retry if it is `None`.
    pub fn on_manifest(
        &mut self,
        now: Time,
        version: &VersionId,
        manifest: Option<Manifest>,
        held: impl Fn(&Digest) -> bool,
    ) {
        let Some(manifest) = manifest else {
            self.timers.schedule(now + MANIFEST_RETRY, Timer::ReadManifest);
            return;
        };
        let Some(topology) = self.topology() else { return };
        let Some(target) = self.target.as_mut().filter(|target| target.version.name == *version)
        else {
            return;
        };
        target.start_transfer(manifest, held, topology, &self.own.pull, now);
        self.outputs.extend(target.manifest.clone().map(Output::RetainChunks));
        self.poll_peers(now);
        self.advance_load(now);
    }

    /// Handles a pulled chunk or the error of the pull, and starts further pulls.
    pub fn on_chunk(
        &mut self,
        now: Time,
        digest: Digest,
        data: Result<&[u8], PullError>,
    ) -> ChunkOutcome {
        self.active_pulls = self.active_pulls.saturating_sub(1);
        let transfer = self.target.as_mut().and_then(|target| target.transfer.as_mut());
        let outcome = match (transfer, data) {
            (Some(transfer), Ok(data)) => transfer.on_chunk(now, digest, data),
            (Some(transfer), Err(error)) => {
                transfer.on_pull_failed(now, &digest, error);
                ChunkOutcome::Unwanted
            }
            (None, _) => ChunkOutcome::Unwanted,
        };
        self.pull_chunks(now);
        self.advance_load(now);
        outcome
    }

    /// Records the bitmap of the chunks that a peer holds, or `None` if it did not answer.
    pub fn on_chunk_bitmap(&mut self, now: Time, peer: &VmId, bits: Option<&[u8]>) {
        let transfer = self.target.as_mut().and_then(|target| target.transfer.as_mut());
        match (transfer, bits) {
            (Some(transfer), Some(bits)) => transfer.on_held_chunks(now, peer, bits),
            (Some(transfer), None) => transfer.on_query_unanswered(peer),
            (None, _) => {}
        }
        self.pull_chunks(now);
    }

    /// Handles the heartbeat of another endpoint.
    pub fn on_peer_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) {
        if let Some(target) = &mut self.target {
            target.on_replica_heartbeat(now, heartbeat);
        }
    }

    /// Records whether the engine accepted a load command; a rejected one is retried.
    pub fn on_load_finished(&mut self, now: Time, version: &VersionId, accepted: bool) {
        if let Some(target) = self.target.as_mut().filter(|target| target.version.name == *version)
        {
            target.loading = false;
        }
        self.gate.load_ended();
        self.probe_engine();
        if !accepted {
            self.timers.schedule(now + LOAD_RETRY, Timer::AdvanceLoad);
        }
    }

    /// Returns the manifest of the target version if it has this digest.
    pub fn known_manifest(&self, digest: Digest) -> Option<Arc<Manifest>> {
        let target = self.target.as_ref().filter(|target| target.version.manifest == digest)?;
        target.manifest.clone()
    }

    /// Returns the chunk size of the target version, `None` while its manifest is unknown.
    pub fn chunk_size(&self) -> Option<Bytes> {
        Some(self.target.as_ref()?.manifest.as_ref()?.chunk)
    }

    /// Returns the number of chunks of the target version that are still missing.
    pub fn missing(&self) -> usize {
        self.target.as_ref().map_or(0, TargetVersion::missing)
    }

    pub(super) fn read_manifest(&mut self) {
        let (Some(fleet), Some(topology)) = (self.fleet(), self.topology()) else { return };
        let Some(target) = self.target.as_mut().filter(|t| t.manifest.is_none()) else { return };
        let (peers, use_origin) = target.manifest_sources(&topology);
        let sources = peers.into_iter().filter_map(|vm| peer_source(&fleet, &vm));
        let sources = sources.chain(use_origin.then_some(BlobSource::Origin)).collect();
        let version = &target.version;
        self.outputs.push(Output::ReadManifest(version.name.clone(), version.manifest, sources));
    }

    pub(super) fn poll_peers(&mut self, now: Time) {
        let Some(fleet) = self.fleet() else { return };
        let Some(target) = self.target.as_mut() else { return };
        let manifest = target.version.manifest;
        let Some(transfer) = target.transfer.as_mut() else { return };
        for vm in transfer.peers_to_query(now) {
            match peer_source(&fleet, &vm) {
                Some(BlobSource::Peer(vm, addr)) => {
                    self.outputs.push(Output::RequestChunkBitmap(manifest, vm, addr));
                }
                _ => transfer.on_query_unanswered(&vm),
            }
        }
        let next = transfer.next_wakeup().map(|wake| self.timers.schedule(wake, Timer::PollPeers));
        if let Some(old) = std::mem::replace(&mut self.poll_timer, next) {
            self.timers.cancel(old);
        }
        self.pull_chunks(now);
    }

    fn pull_chunks(&mut self, now: Time) {
        let Some(fleet) = self.fleet() else { return };
        let transfer = self.target.as_mut().and_then(|target| target.transfer.as_mut());
        let Some(transfer) = transfer else { return };
        while self.active_pulls < self.own.pull.concurrency {
            let Some(pull) = transfer.next_pull(now) else { return };
            let source = match pull.source {
                ChunkSource::Origin => Some(BlobSource::Origin),
                ChunkSource::Peer(vm) => peer_source(&fleet, &vm),
            };
            let Some(source) = source else {
                transfer.on_pull_failed(now, &pull.digest, PullError::Silent);
                continue;
            };
            self.active_pulls += 1;
            self.outputs.push(Output::PullChunk(pull.digest, source, pull.timeout));
        }
    }

    /// Advances the lifecycle: to serving if the engine has the target version or none is required,
    /// else to loading once all chunks are stored and the rollout allows it.
    pub(super) fn advance_load(&mut self, now: Time) {
        let Some(state) = &self.engine else { return };
        let loaded = self.verified_version(state);
        let Some(target) = self.target.as_mut() else {
            self.lifecycle.apply(LifecycleEvent::Serve);
            return;
        };
        if loaded.as_ref() == Some(&target.version.name) {
            self.lifecycle.apply(LifecycleEvent::Serve);
            return;
        }
        if target.loading || !target.is_complete() || !self.fencing.may_command() {
            return;
        }
        let Some(manifest) = target.manifest.clone() else { return };
        if loaded.is_some() && !self.may_load(now) {
            return;
        }
        let Some(target) = self.target.as_mut() else { return };
        self.lifecycle.apply(LifecycleEvent::WeightsComplete);
        self.lifecycle.apply(LifecycleEvent::Lost);
        target.loading = true;
        let fence = self.fencing.fence();
        self.outputs.push(Output::LoadVersion(target.version.name.clone(), manifest, fence));
    }

    /// Returns whether the rollout lets an engine that serves another version load the target now.
    fn may_load(&mut self, now: Time) -> bool {
        let (Some(fleet), Some(topology)) = (self.fleet(), self.topology()) else { return false };
        let Some(target) = self.target.as_mut() else { return false };
        let Some(pool) = fleet.pool_of(&self.own.vm) else { return false };
        let (decision, replicas) = target.rollout_decision(now, &topology, pool.step);
        let queries =
            replicas.iter().filter_map(|vm| peer_source(&fleet, vm)).filter_map(|source| {
                match source {
                    BlobSource::Peer(vm, addr) => Some(Output::RequestHeartbeat(vm, addr)),
                    BlobSource::Origin => None,
                }
            });
        self.outputs.extend(queries);
        decision == RolloutDecision::Load
    }

    /// Returns the topology of the VMs whose pools use the weights of the target version.
    pub(super) fn topology(&self) -> Option<Topology> {
        let fleet = self.fleet()?;
        Some(self.target.as_ref()?.topology(&fleet, &self.own.vm, &self.own.pull))
    }
}

fn peer_source(fleet: &Fleet, vm: &VmId) -> Option<BlobSource> {
    fleet.vms.get(vm).map(|vm| BlobSource::Peer(vm.name.clone(), vm.addr))
}
