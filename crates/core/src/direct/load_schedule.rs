//! Staggers the loading of a new version, so that not all engines of a zone pause at the same time.
//!
//! Load pattern: live traffic while operators announce a version that must be in use everywhere
//! within a few seconds. An engine with a load order accepts no new requests until those in
//! progress have ended. Each loader computes its start time independently from the members of its
//! zone, as there is no time to wait for the engines before it.

use crate::{ids::VmId, rendezvous::rank_nodes, time::Time, units::Span};

/// Number of groups of engines that load one after another.
const GROUPS: usize = 3;
/// Fraction of the rollout time after which the first group starts to load.
const FIRST_GROUP_FRACTION: f64 = 0.55;
/// Fraction of the rollout time between the starts of two groups.
const GROUP_INTERVAL_FRACTION: f64 = 0.14;

/// Returns when a loader may order its engine to load `item`, which was announced at `since` and
/// must be in use within `rollout`.
pub fn load_start(own: &VmId, zone: &[VmId], item: &str, since: Time, rollout: Span) -> Time {
    let vms: Vec<&str> = zone.iter().map(VmId::as_str).collect();
    let ranking = rank_nodes(vms, item.as_bytes());
    let rank = ranking.iter().position(|vm| *vm == own.as_str()).unwrap_or(0);
    let group_size = ranking.len().div_ceil(GROUPS).max(1);
    let fraction = FIRST_GROUP_FRACTION + GROUP_INTERVAL_FRACTION * (rank / group_size) as f64;
    since + Span((rollout.0 as f64 * fraction) as u64)
}
