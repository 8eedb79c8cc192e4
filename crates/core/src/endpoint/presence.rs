//! Whether this VM leaves, and whether its process has just woken from a pause.

use crate::{
    refusal::{Reason, Refusal},
    time::Time,
    units::Span,
    vm_state::VmState,
};

/// Time for which the list must show the VM as live before one that left takes work again.
const HOLD: Span = Span::secs(30);
/// Time between two events of a running process after which it counts as paused.
const PAUSED: Span = Span::millis(1_500);
/// Time after a pause in which nothing passes, while the platform and peers are read again.
const WAKE: Span = Span::secs(2);

/// What the platform's list and the clock say of this process.
#[derive(Clone, Debug, Default)]
pub(super) struct Presence {
    left: Option<Time>,
    seen: Option<Time>,
    woken: Option<Time>,
}

impl Presence {
    /// Takes the state that the platform's list shows; nothing changes where it shows none.
    pub(super) fn list(&mut self, now: Time, state: Option<VmState>) {
        self.note(now);
        match (state, self.left) {
            (Some(VmState::Leaving), _) => self.left = Some(now),
            (Some(VmState::Live), Some(at)) if now >= at + HOLD => self.left = None,
            _ => {}
        }
    }

    /// Takes note that the process runs.
    pub(super) fn note(&mut self, now: Time) {
        if self.seen.is_some_and(|seen| now > seen + PAUSED) {
            self.woken = Some(now);
        }
        self.woken = self.woken.filter(|at| now <= *at + WAKE);
        self.seen = Some(now);
    }

    /// Returns whether the VM leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.left.is_some()
    }

    /// Refuses what waited for a paused process until it has had time to read the platform again.
    pub(super) fn admit(&mut self, now: Time) -> Result<(), Refusal> {
        self.note(now);
        match self.woken {
            Some(_) => Err(Refusal::retry_after(Reason::Leaving, WAKE)),
            None => Ok(()),
        }
    }
}
