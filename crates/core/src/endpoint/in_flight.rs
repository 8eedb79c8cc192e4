//! The requests in flight at an engine, and whom its crashes record_crash.

use std::collections::BTreeMap;

use crate::{
    gate::RunId,
    ids::VmId,
    once::RunEnd,
    refusal::{Reason, Refusal},
    suspect::{Crash, Fingerprint, Suspects, Suspicion},
    time::Time,
    units::Span,
};

/// The time after which a suspected request may come again while another suspect runs.
const RETRY: Span = Span::secs(1);

/// The requests in flight and the suspects.
#[derive(Clone, Debug, Default)]
pub(super) struct InFlight {
    pub(super) suspects: Suspects,
    engine: Option<u64>,
    running: BTreeMap<RunId, Fingerprint>,
    broken: Vec<Fingerprint>,
}

impl InFlight {
    /// Returns the start of the engine as it was seen last.
    pub(super) fn engine(&self) -> u64 {
        self.engine.unwrap_or_default()
    }

    /// Lets a request start, or refuses it: condemned ones always, suspects beside another one.
    pub(super) fn admit(&self, print: Fingerprint) -> Result<(), Refusal> {
        match self.suspects.suspicion(print) {
            Suspicion::Clear => Ok(()),
            Suspicion::Blocked => Err(Refusal::new(Reason::Suspect)),
            Suspicion::Suspect => {
                let suspected =
                    |print: &Fingerprint| self.suspects.suspicion(*print) != Suspicion::Clear;
                match self.running.values().any(suspected) {
                    true => Err(Refusal::retry_after(Reason::Suspect, RETRY)),
                    false => Ok(()),
                }
            }
        }
    }

    /// Takes note that a request is handed over.
    pub(super) fn start(&mut self, ticket: RunId, print: Fingerprint) {
        self.running.insert(ticket, print);
    }

    /// Takes note of how a request ended.
    pub(super) fn end(&mut self, ticket: &RunId, end: &RunEnd) {
        let Some(print) = self.running.remove(ticket) else { return };
        match end {
            RunEnd::Answered(_) => self.suspects.clear(print),
            RunEnd::NotRun => {}
            RunEnd::Unknown => self.broken.push(print),
        }
    }

    /// Takes the start that the engine shows; another one than before means that it crashed.
    pub(super) fn look(&mut self, now: Time, vm: &VmId, engine: u64) {
        let broken = std::mem::take(&mut self.broken);
        let before = self.engine.replace(engine).filter(|before| *before != engine);
        let Some(before) = before else { return };
        let prints: Vec<Fingerprint> = self.running.values().copied().chain(broken).collect();
        if !prints.is_empty() {
            self.suspects.record_crash(
                now,
                Crash { vm: vm.clone(), incarnation: before, fingerprints: prints },
            );
        }
    }
}
