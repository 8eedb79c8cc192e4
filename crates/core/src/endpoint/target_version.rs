//! The version that an endpoint pulls for its engine, from the manifest to the rollout.

use std::sync::Arc;

use crate::{
    declare::{Fleet, Role, Version, Vm},
    ids::{Digest, RegionId, VmId},
    proto::Heartbeat,
    time::Time,
    units::{ByteRate, Share, Span},
    weights::{
        Manifest, RendezvousOwners, Rollout, RolloutDecision, Topology, Transfer, TransferLimits,
    },
};

/// Number of peers that read the manifest from the same VM.
const MANIFEST_FAN_OUT: usize = 4;
/// Attempts to read the manifest from peers before any VM may read it from the origin.
const MAX_MANIFEST_TRIES: u32 = 8;
/// Rate of the origin's link, as a multiple of a VM's rate.
const ORIGIN_RATE_FACTOR: u64 = 2;

/// Time between two queries to the replicas of earlier rollout waves.
const REPLICA_QUERY_INTERVAL: Span = Span::secs(1);

/// Limits on pulling weights at an endpoint.
#[derive(Clone, Debug)]
pub struct PullSettings {
    /// The rate that weights may use of the VM's link, in bytes per second.
    pub rate: ByteRate,
    /// The maximum number of concurrent pulls.
    pub concurrency: u32,
    /// The region of the origin, if known.
    pub origin_region: Option<RegionId>,
}

/// The target version with its manifest, its transfer and its rollout.
#[derive(Clone, Debug)]
pub(super) struct TargetVersion {
    pub(super) version: Version,
    pub(super) manifest: Option<Arc<Manifest>>,
    pub(super) transfer: Option<Transfer>,
    pub(super) loading: bool,
    rollout: Option<Rollout>,
    last_query: Option<Time>,
    manifest_tries: u32,
}

impl TargetVersion {
    pub(super) fn new(version: Version) -> Self {
        Self {
            version,
            manifest: None,
            transfer: None,
            loading: false,
            rollout: None,
            last_query: None,
            manifest_tries: 0,
        }
    }

    pub(super) fn start_transfer(
        &mut self,
        manifest: Manifest,
        held: impl Fn(&Digest) -> bool,
        topology: Topology,
        settings: &PullSettings,
        now: Time,
    ) {
        let owners = RendezvousOwners {
            origin_rate: ByteRate(settings.rate.0.saturating_mul(ORIGIN_RATE_FACTOR)),
        };
        let limits = TransferLimits {
            rate: settings.rate,
            max_pulls: settings.concurrency,
            time_limit: None,
        };
        self.transfer = Some(Transfer::new(&manifest, held, topology, owners, limits, now));
        self.manifest = Some(Arc::new(manifest));
    }

    pub(super) fn is_complete(&self) -> bool {
        self.transfer.as_ref().is_some_and(Transfer::is_complete)
    }

    pub(super) fn missing(&self) -> usize {
        self.transfer.as_ref().map_or(0, Transfer::missing_count)
    }

    /// Returns the topology of the VMs whose pools use the weights of this version.
    pub(super) fn topology(&self, fleet: &Fleet, vm: &VmId, settings: &PullSettings) -> Topology {
        let has_weights = |other: &&Vm| match &other.role {
            Role::Endpoint(pool) => {
                fleet.pool_version(pool).is_some_and(|v| v.manifest == self.version.manifest)
            }
            Role::Entry => false,
        };
        Topology::new(
            vm,
            fleet.vms.values().filter(has_weights),
            fleet,
            settings.origin_region.as_ref(),
        )
    }

    /// Returns the peers to read the manifest from, and whether the origin is a fallback.
    pub(super) fn manifest_sources(&mut self, topology: &Topology) -> (Vec<VmId>, bool) {
        let digest = &self.version.manifest;
        let ahead = topology.predecessors(digest);
        let parent = ahead.len().saturating_sub(1) / MANIFEST_FAN_OUT;
        let upstream = topology.upstream_sources(digest, 1).concat();
        let peers = if ahead.is_empty() { upstream } else { vec![ahead[parent]] };
        self.manifest_tries += 1;
        let use_origin = ahead.is_empty() || self.manifest_tries > MAX_MANIFEST_TRIES;
        (peers.into_iter().map(|key| topology.vm(key).clone()).collect(), use_origin)
    }

    /// Returns whether the rollout lets this VM load now, and the replicas to query first.
    pub(super) fn rollout_decision(
        &mut self,
        now: Time,
        topology: &Topology,
        step: Share,
    ) -> (RolloutDecision, Vec<VmId>) {
        let (version, manifest) = (&self.version.name, &self.version.manifest);
        let new_rollout = || Rollout::new(topology, version.clone(), manifest, step, now);
        let rollout = self.rollout.get_or_insert_with(new_rollout);
        let decision = rollout.decide(now);
        if decision == RolloutDecision::Load
            || self.last_query.is_some_and(|last| now - last < REPLICA_QUERY_INTERVAL)
        {
            return (decision, vec![]);
        }
        self.last_query = Some(now);
        (decision, rollout.pending_replicas().cloned().collect())
    }

    /// Records the state that a replica reports for the rollout.
    pub(super) fn on_replica_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) {
        if let (Some(rollout), Some(load)) = (&mut self.rollout, &heartbeat.load) {
            rollout.observe(now, &heartbeat.vm, load.version.as_ref(), load.open);
        }
    }
}
