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
    earlier: Vec<VmId>,
    seen: BTreeMap<VmId, ObservedState>,
    since: Time,
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
        let ahead = topology.ahead(manifest);
        let size = step.of(topology.near().len()).max(1);
        let wave = ahead.len() / size;
        let name = |key: &PeerKey| topology.vm(*key).clone();
        let earlier = ahead.iter().take(wave * size).map(name).collect();
        Self { version, earlier, seen: BTreeMap::new(), since: now }
    }

    /// Returns the replicas whose state is not yet known to be good.
    pub fn asks(&self) -> impl Iterator<Item = &VmId> {
        self.earlier.iter().filter(|vm| self.seen.get(*vm) != Some(&ObservedState::Serving))
    }

    /// Takes the version that a replica serves, and whether it is open for requests.
    pub fn sees(&mut self, now: Time, vm: &VmId, version: Option<&VersionId>, open: bool) {
        if !self.earlier.contains(vm) {
            return;
        }
        let serving = version == Some(&self.version) && open;
        let sight = if serving { ObservedState::Serving } else { ObservedState::Other };
        if self.seen.insert(vm.clone(), sight) != Some(sight) {
            self.since = now;
        }
    }

    /// Returns what this replica may do now.
    pub fn turn(&self, now: Time) -> RolloutDecision {
        let mut open = self.asks().peekable();
        if open.peek().is_none() {
            return RolloutDecision::Load;
        }
        if now - self.since < REPLICA_TIMEOUT {
            return RolloutDecision::Wait;
        }
        let answers = |vm: &VmId| self.seen.contains_key(vm);
        if open.any(answers) { RolloutDecision::Halt } else { RolloutDecision::Load }
    }
}
