//! Staged roll-out: which replicas of a zone may load a version at the same time.

use std::collections::BTreeMap;

use super::topology::{PeerKey, Topology};
use crate::{
    ids::{Digest, VersionId, VmId},
    time::Time,
    units::{Share, Span},
};

/// Time after which a replica that gives no answer no longer holds up the next wave.
const REPLICA_TIMEOUT: Span = Span::secs(60);

/// What a replica may do with whole weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutDecision {
    /// It loads them.
    Load,
    /// The replicas of earlier waves have not all been seen to serve the version.
    Wait,
    /// A replica of an earlier wave answers but does not serve; the roll-out stops there.
    Halt,
}

/// What a replica of an earlier wave was last seen to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ObservedState {
    Serving,
    Other,
}

/// The waves of one version in one zone, as one replica sees them.
#[derive(Clone, Debug)]
pub struct Rollout {
    version: VersionId,
    earlier_replicas: Vec<VmId>,
    observed: BTreeMap<VmId, ObservedState>,
    last_change: Time,
}

impl Rollout {
    /// Works out the replicas that load before this one, `step` of the zone at the same time.
    pub fn new(
        topology: &Topology,
        version: VersionId,
        manifest: &Digest,
        step: Share,
        now: Time,
    ) -> Self {
        let predecessors = topology.predecessors(manifest);
        let size = step.of(topology.zone_members().len()).max(1);
        let wave = predecessors.len() / size;
        let vm_id = |key: &PeerKey| topology.vm(*key).clone();
        let earlier_replicas = predecessors.iter().take(wave * size).map(vm_id).collect();
        Self { version, earlier_replicas, observed: BTreeMap::new(), last_change: now }
    }

    /// Returns the replicas whose state is not yet known to be good.
    pub fn pending_replicas(&self) -> impl Iterator<Item = &VmId> {
        self.earlier_replicas
            .iter()
            .filter(|vm| self.observed.get(*vm) != Some(&ObservedState::Serving))
    }

    /// Takes the version that a replica serves, and whether it is open for requests.
    pub fn observe(&mut self, now: Time, vm: &VmId, version: Option<&VersionId>, open: bool) {
        if !self.earlier_replicas.contains(vm) {
            return;
        }
        let serving = version == Some(&self.version) && open;
        let state = if serving { ObservedState::Serving } else { ObservedState::Other };
        if self.observed.insert(vm.clone(), state) != Some(state) {
            self.last_change = now;
        }
    }

    /// Returns what this replica may do now.
    pub fn decide(&self, now: Time) -> RolloutDecision {
        let mut pending = self.pending_replicas().peekable();
        if pending.peek().is_none() {
            return RolloutDecision::Load;
        }
        if now - self.last_change < REPLICA_TIMEOUT {
            return RolloutDecision::Wait;
        }
        let has_answered = |vm: &VmId| self.observed.contains_key(vm);
        if pending.any(has_answered) { RolloutDecision::Halt } else { RolloutDecision::Load }
    }
}
