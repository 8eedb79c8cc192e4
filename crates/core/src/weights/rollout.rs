//! Staged rollout, which limits how many replicas of a zone load a version at the same time.

use std::collections::BTreeMap;

use super::topology::{PeerKey, Topology};
use crate::{
    ids::{Digest, VersionId, VmId},
    time::Time,
    units::{Share, Span},
};

/// Time without an observed change after which pending replicas halt the rollout, or are skipped if
/// none of them has answered.
const REPLICA_TIMEOUT: Span = Span::secs(60);

/// Whether a replica may load weights that it has completely.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutDecision {
    /// The replica may load the weights.
    Load,
    /// Some replicas of earlier waves are not known to serve the version yet.
    Wait,
    /// A replica of an earlier wave answers but does not serve the version; the rollout stops.
    Halt,
}

/// The last observed state of a replica of an earlier wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ObservedState {
    Serving,
    Other,
}

/// The rollout of one version in one zone, as one replica sees it.
#[derive(Clone, Debug)]
pub struct Rollout {
    version: VersionId,
    earlier_replicas: Vec<VmId>,
    observed: BTreeMap<VmId, ObservedState>,
    last_change: Time,
}

impl Rollout {
    /// Determines the replicas that load before this one, in waves of the share `step` of the zone.
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

    /// Returns the earlier replicas that are not known to serve the version.
    pub fn pending_replicas(&self) -> impl Iterator<Item = &VmId> {
        self.earlier_replicas
            .iter()
            .filter(|vm| self.observed.get(*vm) != Some(&ObservedState::Serving))
    }

    /// Records the version that a replica serves and whether it accepts requests.
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

    /// Returns whether this replica may load the weights now.
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
