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
    incarnation: Option<u64>,
    running: BTreeMap<RunId, Fingerprint>,
    /// Requests of unknown outcome since the last recorded incarnation; a crash blames them too.
    unresolved: Vec<Fingerprint>,
}

impl InFlight {
    /// Returns the last recorded incarnation of the engine, 0 before the first.
    pub(super) fn engine_incarnation(&self) -> u64 {
        self.incarnation.unwrap_or_default()
    }

    /// Admits a request, or refuses it if it is blocked or if it and a running one are suspects.
    pub(super) fn admit(&self, fingerprint: Fingerprint) -> Result<(), Refusal> {
        match self.suspects.suspicion(fingerprint) {
            Suspicion::Clear => Ok(()),
            Suspicion::Blocked => Err(Refusal::new(Reason::Suspect)),
            Suspicion::Suspect => {
                let suspected = |fingerprint: &Fingerprint| {
                    self.suspects.suspicion(*fingerprint) != Suspicion::Clear
                };
                match self.running.values().any(suspected) {
                    true => Err(Refusal::retry_after(Reason::Suspect, SUSPECT_RETRY)),
                    false => Ok(()),
                }
            }
        }
    }

    /// Records that a request is handed over to the engine.
    pub(super) fn start(&mut self, run_id: RunId, fingerprint: Fingerprint) {
        self.running.insert(run_id, fingerprint);
    }

    /// Records the outcome of a request.
    pub(super) fn finish(&mut self, run_id: &RunId, end: &CallOutcome) {
        let Some(fingerprint) = self.running.remove(run_id) else { return };
        match end {
            CallOutcome::Answered(_) => self.suspects.clear(fingerprint),
            CallOutcome::NotRun => {}
            CallOutcome::Unknown => self.unresolved.push(fingerprint),
        }
    }

    /// Records the engine's incarnation; a change since the last one means that the engine crashed.
    pub(super) fn record_incarnation(&mut self, now: Time, vm: &VmId, incarnation: u64) {
        let unresolved = std::mem::take(&mut self.unresolved);
        let before = self.incarnation.replace(incarnation).filter(|before| *before != incarnation);
        let Some(before) = before else { return };
        let fingerprints: Vec<Fingerprint> =
            self.running.values().copied().chain(unresolved).collect();
        if !fingerprints.is_empty() {
            self.suspects
                .record_crash(now, Crash { vm: vm.clone(), incarnation: before, fingerprints });
        }
    }
}
