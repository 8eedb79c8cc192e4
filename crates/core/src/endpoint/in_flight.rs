//! The requests in flight at an engine, and whom its crashes record_crash.

use std::collections::BTreeMap;

use crate::{
    gate::Ticket,
    ids::VmId,
    once::CallOutcome,
    refuse::{Reason, Refusal},
    suspect::{Crash, Print, Standing, Suspects},
    time::Time,
    units::Span,
};

/// The time after which a suspected request may come again while another suspect runs.
const SUSPECT_RETRY: Span = Span::secs(1);

/// The requests in flight and the suspects.
#[derive(Clone, Debug, Default)]
pub(super) struct InFlight {
    pub(super) suspects: Suspects,
    engine: Option<u64>,
    running: BTreeMap<Ticket, Print>,
    unresolved: Vec<Print>,
}

impl InFlight {
    /// Returns the start of the engine as it was seen last.
    pub(super) fn engine(&self) -> u64 {
        self.engine.unwrap_or_default()
    }

    /// Lets a request start, or refuses it: condemned ones always, suspects beside another one.
    pub(super) fn admit(&self, print: Print) -> Result<(), Refusal> {
        match self.suspects.standing(print) {
            Standing::Clear => Ok(()),
            Standing::Condemned => Err(Refusal::new(Reason::Suspect)),
            Standing::Suspect => {
                let suspected = |print: &Print| self.suspects.standing(*print) != Standing::Clear;
                match self.running.values().any(suspected) {
                    true => Err(Refusal::after(Reason::Suspect, SUSPECT_RETRY)),
                    false => Ok(()),
                }
            }
        }
    }

    /// Takes note that a request is handed over.
    pub(super) fn start(&mut self, ticket: Ticket, print: Print) {
        self.running.insert(ticket, print);
    }

    /// Takes note of how a request ended.
    pub(super) fn finish(&mut self, ticket: &Ticket, end: &CallOutcome) {
        let Some(print) = self.running.remove(ticket) else { return };
        match end {
            CallOutcome::Answered(_) => self.suspects.clear(print),
            CallOutcome::NotRun => {}
            CallOutcome::Unknown => self.unresolved.push(print),
        }
    }

    /// Takes the start that the engine shows; another one than before means that it crashed.
    pub(super) fn observe_engine(&mut self, now: Time, vm: &VmId, engine: u64) {
        let unresolved = std::mem::take(&mut self.unresolved);
        let before = self.engine.replace(engine).filter(|before| *before != engine);
        let Some(before) = before else { return };
        let prints: Vec<Print> = self.running.values().copied().chain(unresolved).collect();
        if !prints.is_empty() {
            self.suspects.record_crash(now, Crash { vm: vm.clone(), engine: before, prints });
        }
    }
}
