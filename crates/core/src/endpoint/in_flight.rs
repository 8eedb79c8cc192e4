//! The requests in flight at an engine, and the suspects of its crashes.

use std::collections::BTreeMap;

use crate::{
    gate::RunId,
    ids::VmId,
    once::CallOutcome,
    refusal::{Reason, Refusal},
    suspect::{Crash, Fingerprint, Suspects, Suspicion},
    time::Time,
    units::Span,
};

/// Retry delay for a suspected request while another suspect runs.
const SUSPECT_RETRY: Span = Span::secs(1);

/// The requests in flight and the requests that are suspected of crashing engines.
#[derive(Clone, Debug, Default)]
pub(super) struct InFlight {
    pub(super) suspects: Suspects,
    engine: Option<u64>,
    running: BTreeMap<RunId, Fingerprint>,
    /// Requests of unknown outcome since the last observation; a crash blames them too.
    unresolved: Vec<Fingerprint>,
}

impl InFlight {
    /// Returns the last observed incarnation of the engine, 0 before the first.
    pub(super) fn engine(&self) -> u64 {
        self.engine.unwrap_or_default()
    }

    /// Admits a request, or refuses it if it is condemned or if it and a running one are suspects.
    pub(super) fn admit(&self, print: Fingerprint) -> Result<(), Refusal> {
        match self.suspects.suspicion(print) {
            Suspicion::Clear => Ok(()),
            Suspicion::Blocked => Err(Refusal::new(Reason::Suspect)),
            Suspicion::Suspect => {
                let suspected =
                    |print: &Fingerprint| self.suspects.suspicion(*print) != Suspicion::Clear;
                match self.running.values().any(suspected) {
                    true => Err(Refusal::retry_after(Reason::Suspect, SUSPECT_RETRY)),
                    false => Ok(()),
                }
            }
        }
    }

    /// Records that a request is handed over to the engine.
    pub(super) fn start(&mut self, ticket: RunId, print: Fingerprint) {
        self.running.insert(ticket, print);
    }

    /// Records the outcome of a request.
    pub(super) fn finish(&mut self, ticket: &RunId, end: &CallOutcome) {
        let Some(print) = self.running.remove(ticket) else { return };
        match end {
            CallOutcome::Answered(_) => self.suspects.clear(print),
            CallOutcome::NotRun => {}
            CallOutcome::Unknown => self.unresolved.push(print),
        }
    }

    /// Records the engine's incarnation; a change since the last one means that the engine crashed.
    pub(super) fn observe_engine(&mut self, now: Time, vm: &VmId, engine: u64) {
        let unresolved = std::mem::take(&mut self.unresolved);
        let before = self.engine.replace(engine).filter(|before| *before != engine);
        let Some(before) = before else { return };
        let prints: Vec<Fingerprint> = self.running.values().copied().chain(unresolved).collect();
        if !prints.is_empty() {
            self.suspects.record_crash(
                now,
                Crash { vm: vm.clone(), incarnation: before, fingerprints: prints },
            );
        }
    }
}
