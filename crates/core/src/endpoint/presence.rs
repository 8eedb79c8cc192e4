//! Whether this VM leaves, and whether its process has just resumed_at from a pause.

use crate::{
    member::VmState,
    refuse::{Reason, Refusal},
    time::Time,
    units::Span,
};

/// Time for which the list must show the VM as live before one that left takes work again.
const REJOIN_DELAY: Span = Span::secs(30);
/// Time between two events of a running process after which it counts as paused.
const PAUSE_THRESHOLD: Span = Span::millis(1_500);
/// Time after a pause in which nothing passes, while the platform and peers are read again.
const RESUME_DELAY: Span = Span::secs(2);

/// What the platform's list and the clock say of this process.
#[derive(Clone, Debug, Default)]
pub(super) struct Presence {
    leaving_since: Option<Time>,
    last_event: Option<Time>,
    resumed_at: Option<Time>,
}

impl Presence {
    /// Takes the state that the platform's list shows; nothing changes where it shows none.
    pub(super) fn update(&mut self, now: Time, state: Option<VmState>) {
        self.record_activity(now);
        match (state, self.leaving_since) {
            (Some(VmState::Leaving), _) => self.leaving_since = Some(now),
            (Some(VmState::Live), Some(at)) if now >= at + REJOIN_DELAY => {
                self.leaving_since = None
            }
            _ => {}
        }
    }

    /// Takes note that the process runs.
    pub(super) fn record_activity(&mut self, now: Time) {
        if self.last_event.is_some_and(|last| now > last + PAUSE_THRESHOLD) {
            self.resumed_at = Some(now);
        }
        self.resumed_at = self.resumed_at.filter(|at| now <= *at + RESUME_DELAY);
        self.last_event = Some(now);
    }

    /// Returns whether the VM leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Refuses what waited for a paused process until it has had time to read the platform again.
    pub(super) fn admit(&mut self, now: Time) -> Result<(), Refusal> {
        self.record_activity(now);
        match self.resumed_at {
            Some(_) => Err(Refusal::after(Reason::Leaving, RESUME_DELAY)),
            None => Ok(()),
        }
    }
}
