//! A version on its way to the engine.

use std::sync::Arc;

use crate::{
    declare::{Fleet, Role, Version, Vm},
    ids::{Digest, RegionId, VmId},
    proto::Heartbeat,
    time::Time,
    units::{ByteRate, Share, Span},
    weights::{Limits, Manifest, Owners, Rollout, Topology, Transfer, Turn},
};

/// Peers that draw the manifest from one VM.
const FAN_OUT: usize = 4;
/// Failures to read the manifest after which the origin is asked by any VM.
const MANIFEST_TRIES: u32 = 8;
/// Rate of the origin's link in rates of a VM's link.
const ORIGIN_RATE: u64 = 2;

/// Time between two questions to the replicas of earlier waves.
const WAVE: Span = Span::secs(1);

/// How an endpoint draws weights.
#[derive(Clone, Debug)]
pub struct Drawing {
    /// The rate of the VM's link that weights may use.
    pub rate: ByteRate,
    /// The chunks that are drawn at the same time.
    pub draws: u32,
    /// The region where the origin lies, if known.
    pub region: Option<RegionId>,
}

/// A version on its way to the engine.
#[derive(Clone, Debug)]
pub(super) struct Wanted {
    pub(super) version: Version,
    pub(super) manifest: Option<Arc<Manifest>>,
    pub(super) transfer: Option<Transfer>,
    pub(super) loading: bool,
    rollout: Option<Rollout>,
    asked: Option<Time>,
    tries: u32,
}

impl Wanted {
    pub(super) fn new(version: Version) -> Self {
        Self {
            version,
            manifest: None,
            transfer: None,
            loading: false,
            rollout: None,
            asked: None,
            tries: 0,
        }
    }

    pub(super) fn start(
        &mut self,
        manifest: Manifest,
        held: impl Fn(&Digest) -> bool,
        topology: Topology,
        own: &Drawing,
        now: Time,
    ) {
        let owners = Owners { origin: ByteRate(own.rate.0.saturating_mul(ORIGIN_RATE)) };
        let limits = Limits { rate: own.rate, draws: own.draws, within: None };
        self.transfer = Some(Transfer::new(&manifest, held, topology, owners, limits, now));
        self.manifest = Some(Arc::new(manifest));
    }

    pub(super) fn is_whole(&self) -> bool {
        self.transfer.as_ref().is_some_and(Transfer::is_whole)
    }

    pub(super) fn missing(&self) -> usize {
        self.transfer.as_ref().map_or(0, Transfer::missing)
    }

    /// Returns the VMs that share the version's weights.
    pub(super) fn topology(&self, fleet: &Fleet, vm: &VmId, own: &Drawing) -> Topology {
        let shares = |other: &&Vm| match &other.role {
            Role::Endpoint(pool) => {
                fleet.pool_version(pool).is_some_and(|v| v.manifest == self.version.manifest)
            }
            Role::Entry => false,
        };
        Topology::new(vm, fleet.vms.values().filter(shares), fleet, own.region.as_ref())
    }

    /// Returns the VMs to read the manifest from, and whether the origin may be asked after them.
    pub(super) fn manifest_from(&mut self, topology: &Topology) -> (Vec<VmId>, bool) {
        let digest = &self.version.manifest;
        let ahead = topology.ahead(digest);
        let parent = ahead.len().saturating_sub(1) / FAN_OUT;
        let far = topology.upstream(digest, 1).concat();
        let from = if ahead.is_empty() { far } else { vec![ahead[parent]] };
        self.tries += 1;
        let origin = ahead.is_empty() || self.tries > MANIFEST_TRIES;
        (from.into_iter().map(|key| topology.vm(key).clone()).collect(), origin)
    }

    /// Returns whether the whole weights may be loaded now, and the replicas to ask for their state.
    pub(super) fn turn(
        &mut self,
        now: Time,
        topology: &Topology,
        step: Share,
    ) -> (Turn, Vec<VmId>) {
        let (version, manifest) = (&self.version.name, &self.version.manifest);
        let make = || Rollout::new(topology, version.clone(), manifest, step, now);
        let rollout = self.rollout.get_or_insert_with(make);
        let turn = rollout.turn(now);
        if turn == Turn::Load || self.asked.is_some_and(|asked| now - asked < WAVE) {
            return (turn, vec![]);
        }
        self.asked = Some(now);
        (turn, rollout.asks().cloned().collect())
    }

    /// Takes the state that a replica tells.
    pub(super) fn sees(&mut self, now: Time, beat: &Heartbeat) {
        if let (Some(rollout), Some(load)) = (&mut self.rollout, &beat.load) {
            rollout.sees(now, &beat.vm, load.version.as_ref(), load.open);
        }
    }
}
