//! When a VM pulls a chunk in place of its owners.

use super::{CrossZonePolicy, PeerKey, PeerState, Transfer};
use crate::{
    time::Time,
    units::Span,
    weights::{state::TransferState, task::ChunkTask},
};

/// Stall timeouts after which a due owner that still makes some progress counts as too slow.
const SLOW_OWNER_FACTOR: u64 = 3;

impl<O: CrossZonePolicy> Transfer<O> {
    /// Records since when none of the chunks that this VM owns is due.
    pub(super) fn update_idle(&mut self, now: Time) {
        let own_due = |task: &ChunkTask| task.plan.rank == 0 && self.start + task.plan.delay <= now;
        let due = self.missing.iter().any(|chunk| self.tasks[chunk].as_ref().is_some_and(own_due));
        self.idle_since = if due { None } else { self.idle_since.or(Some(now)) };
    }

    /// Returns whether this VM pulls a chunk now, as its owner or in place of failed predecessors.
    pub(super) fn is_responsible(&self, task: &ChunkTask, now: Time) -> bool {
        let due = self.start + task.plan.delay;
        if now < due {
            return false;
        }
        if task.plan.rank == 0 {
            return true;
        }
        let timeout = self.stall_timeout();
        let late = Span(timeout.0.saturating_mul(1 + task.plan.rank as u64));
        // The origin that refuses this VM refuses the owners too.
        if self.origin_refusal.is_some_and(|at| now - at < late) {
            return false;
        }
        let stalled = self.state() == TransferState::Stalled;
        let watched = task.plan.rank == task.plan.predecessors.len();
        if !watched && !stalled {
            return false;
        }
        // Under a time limit, an owner on a slow link counts as failed even if it makes progress.
        // While this VM's own chunks are late too, the source is slow rather than the owner.
        let since = self.idle_since.map(|idle| due.max(idle));
        let overdue = since.is_some_and(|since| now - since >= Span(SLOW_OWNER_FACTOR * timeout.0));
        let slow = self.limits.time_limit.is_some() && overdue;
        let has_failed = |key: &PeerKey| {
            if slow {
                return true;
            }
            let stalled_peer =
                |peer: &PeerState| now - due >= timeout && peer.is_stalled(now, timeout);
            self.peers.get(key).is_some_and(|peer| peer.is_down() || stalled_peer(peer))
        };
        (watched && task.plan.predecessors.iter().all(has_failed))
            || (stalled && now - self.last_progress >= late)
    }
}
