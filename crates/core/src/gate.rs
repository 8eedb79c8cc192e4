//! The gate of an endpoint: what its engine bears and what runs on it.

use std::collections::BTreeMap;

use crate::{
    ids::{Incarnation, RequestId, VersionId, VmId},
    refuse::{Reason, Refusal},
    units::Span,
};

/// The time after which a refused caller may come back when no better figure is known.
const RETRY: Span = Span::secs(1);

/// A request, unique across entries.
pub type Ticket = (VmId, Incarnation, RequestId);

/// What the endpoint process has seen of its engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Seen {
    /// The version that the engine holds whole.
    pub version: Option<VersionId>,
    /// The requests that the engine bears now.
    pub limit: u32,
    /// The requests that the engine says it runs.
    pub running: u32,
}

/// Decides which requests reach the engine.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    wanted: Option<VersionId>,
    model: bool,
    closed: bool,
    seen: Seen,
    running: BTreeMap<Ticket, ()>,
}

impl Gate {
    /// Sets the version that the configuration wants, `None` for a plain service.
    pub fn want(&mut self, version: Option<VersionId>) {
        self.model = version.is_some();
        self.wanted = version;
    }

    /// Opens or closes the gate for new work.
    pub fn close(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Takes the state that the engine shows.
    pub fn observe(&mut self, seen: Seen) {
        self.seen = seen;
    }

    /// Returns the requests that the engine bears now.
    pub fn limit(&self) -> u32 {
        self.seen.limit
    }

    /// Returns the requests that run, by the gate's count or the engine's, whichever is higher.
    pub fn running(&self) -> u32 {
        (self.running.len() as u32).max(self.seen.running)
    }

    /// Returns the requests that have passed and not ended.
    pub fn in_progress(&self) -> usize {
        self.running.len()
    }

    /// Returns the version that the engine holds.
    pub fn version(&self) -> Option<&VersionId> {
        self.seen.version.as_ref()
    }

    /// Returns whether new work may pass, apart from the limit.
    pub fn open(&self) -> bool {
        !self.closed && (!self.model || self.seen.version.is_some())
    }

    /// Lets a request pass or refuses it.
    pub fn admit(&mut self, ticket: Ticket) -> Result<(), Refusal> {
        if self.closed {
            return Err(Refusal::after(Reason::Leaving, RETRY));
        }
        if self.model && self.seen.version.is_none() {
            return Err(Refusal::after(Reason::Version, RETRY));
        }
        if self.running() >= self.seen.limit {
            return Err(Refusal::after(Reason::Overload, RETRY));
        }
        self.running.insert(ticket, ());
        Ok(())
    }

    /// Takes note that a request has ended.
    pub fn finish(&mut self, ticket: &Ticket) {
        if self.running.remove(ticket).is_some() {
            self.seen.running = self.seen.running.saturating_sub(1);
        }
    }
}
