//! Detection of a VM that is leaving and of a process that has just resumed from a pause.

use crate::{
    refusal::{Reason, Refusal},
    time::Time,
    units::Span,
    vm_state::VmState,
};

/// Time after the VM was last listed as leaving before a live listing lets it accept requests.
const REJOIN_DELAY: Span = Span::secs(30);
/// Gap between two events after which the process counts as paused.
const PAUSE_THRESHOLD: Span = Span::millis(1_500);
/// Time after a pause in which requests are refused, while the platform and peers are read again.
const RESUME_DELAY: Span = Span::secs(2);

/// The state of this process by the platform's list of VMs and by the clock.
#[derive(Clone, Debug, Default)]
pub(super) struct Presence {
    /// When the VM was last listed as leaving.
    last_leaving: Option<Time>,
    last_event: Option<Time>,
    resumed_at: Option<Time>,
}

impl Presence {
    /// Applies the VM's state in the platform's list; `None` changes nothing.
    pub(super) fn update(&mut self, now: Time, state: Option<VmState>) {
        self.record_activity(now);
        match (state, self.last_leaving) {
            (Some(VmState::Leaving), _) => self.last_leaving = Some(now),
            (Some(VmState::Live), Some(at)) if now >= at + REJOIN_DELAY => self.last_leaving = None,
            _ => {}
        }
    }

    /// Records that the process runs, and detects a pause since the last event.
    pub(super) fn record_activity(&mut self, now: Time) {
        if self.last_event.is_some_and(|last| now > last + PAUSE_THRESHOLD) {
            self.resumed_at = Some(now);
        }
        self.resumed_at = self.resumed_at.filter(|at| now <= *at + RESUME_DELAY);
        self.last_event = Some(now);
    }

    /// Returns whether the VM is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.last_leaving.is_some()
    }

    /// Refuses requests that may have waited through a pause, until the platform can be read again.
    pub(super) fn admit(&mut self, now: Time) -> Result<(), Refusal> {
        self.record_activity(now);
        match self.resumed_at {
            Some(_) => Err(Refusal::retry_after(Reason::Leaving, RESUME_DELAY)),
            None => Ok(()),
        }
    }
}
