//! The gate of an endpoint: what its engine bears and what runs on it.

use std::collections::BTreeMap;

use crate::{
    ids::{Incarnation, RequestId, VersionId, VmId},
    refuse::{RETRY, Reason, Refusal},
};

/// The part of an engine's warm room that may be handed over without a sign that it is still warm.
const UNPROVED: u32 = 4;

/// A request, unique across entries.
pub type Ticket = (VmId, Incarnation, RequestId);

/// The number of a look at the engine, in the order in which looks begin.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct LookId(pub u64);

/// What an engine of the pool bears by declaration.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Bounds {
    /// The requests that it bears cold.
    pub cold: u32,
    /// The requests that it bears warm.
    pub slots: u32,
}

/// What the endpoint process has seen of its engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Seen {
    /// The start of the engine.
    pub incarnation: u64,
    /// The version that the engine holds whole.
    pub version: Option<VersionId>,
    /// The requests that the engine bears now.
    pub limit: u32,
    /// The requests that the engine says it runs.
    pub running: u32,
}

/// How a request that passed the gate has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// It broke off, or the engine did not take it.
    Broken,
    /// It was cancelled.
    Cancelled,
    /// The engine finished it.
    Whole,
}

/// What the last looks say of the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trust {
    /// Nothing that was seen up to this look counts any more.
    After(LookId),
    /// The engine is loading.
    Loading,
    /// The engine loaded before this look ended; it must show the wanted version.
    Loaded(LookId),
    /// The last look shows the engine's present state.
    Shown,
}

#[derive(Clone, Copy, Debug)]
struct Passed {
    look: LookId,
    epoch: u64,
    unproved: bool,
}

/// Decides which requests reach the engine.
#[derive(Clone, Debug)]
pub struct Gate {
    wanted: Option<VersionId>,
    bounds: Bounds,
    closed: bool,
    seen: Seen,
    trust: Trust,
    begun: LookId,
    taken: LookId,
    estimate: u32,
    epoch: u64,
    orphans: Option<u32>,
    passed: BTreeMap<Ticket, Passed>,
    spent: Vec<LookId>,
    low: Option<(LookId, u32)>,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            wanted: None,
            bounds: Bounds::default(),
            closed: false,
            seen: Seen::default(),
            trust: Trust::After(LookId::default()),
            begun: LookId::default(),
            taken: LookId::default(),
            estimate: 0,
            epoch: 0,
            orphans: None,
            passed: BTreeMap::new(),
            spent: vec![],
            low: None,
        }
    }
}

impl Gate {
    /// Sets the version that the configuration wants, `None` for a plain service.
    pub fn want(&mut self, version: Option<VersionId>, bounds: Bounds) {
        self.wanted = version;
        self.bounds = bounds;
        self.estimate = self.estimate.max(bounds.cold);
    }

    /// Opens or closes the gate for new work.
    pub fn close(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Takes note that a look at the engine begins and returns its number.
    pub fn begin_look(&mut self) -> LookId {
        self.begun.0 += 1;
        self.begun
    }

    /// Takes the state that the engine showed at a look, `None` where it did not answer.
    pub fn observe(&mut self, look: LookId, seen: Option<Seen>) {
        if look <= self.taken {
            return;
        }
        self.taken = look;
        let Some(mut seen) = seen else { return self.invalidate() };
        self.low = self.low.filter(|(head, _)| look <= *head);
        seen.limit = self.low.map_or(seen.limit, |(_, limit)| limit.min(seen.limit));
        let same = self.seen.incarnation == seen.incarnation && self.seen.version == seen.version;
        if !same || self.orphans.is_none() {
            self.turn_cold();
        }
        let turned = self.orphans.is_some() && self.seen.version != seen.version;
        if turned && seen.version != self.wanted && self.trust != Trust::Loading {
            self.trust = Trust::Loaded(look);
        }
        self.estimate = self.estimate.min(seen.limit).max(self.bounds.cold);
        self.orphans = Some(self.orphans.map_or(seen.running, |n| n.min(seen.running)));
        for passed in self.passed.values_mut().filter(|passed| passed.look < look) {
            passed.unproved = false;
        }
        self.spent.retain(|spent| *spent >= look);
        let shown = match self.trust {
            Trust::After(stale) => look > stale,
            Trust::Loaded(stale) => look > stale && seen.version == self.wanted,
            Trust::Loading => false,
            Trust::Shown => true,
        };
        if shown {
            self.trust = Trust::Shown;
        }
        self.seen = seen;
    }

    /// Closes the gate until a look that begins later shows the engine's state.
    pub fn invalidate(&mut self) {
        self.trust = match self.trust {
            Trust::Loading => Trust::Loading,
            Trust::Loaded(_) => Trust::Loaded(self.begun),
            Trust::After(_) | Trust::Shown => Trust::After(self.begun),
        };
    }

    /// Takes note that the engine is ordered to load: it is cold and its version is open.
    pub fn load_begins(&mut self) {
        self.trust = Trust::Loading;
        self.turn_cold();
    }

    /// Takes note that an order to load has ended, in whichever way.
    pub fn load_ended(&mut self) {
        self.trust = Trust::Loaded(self.begun);
    }

    /// Takes the limit that the engine showed with the head of an answer; no look that has begun before
    /// may raise it.
    pub fn head(&mut self, ticket: &Ticket, limit: u32) {
        let Some(passed) = self.passed.get_mut(ticket) else { return };
        passed.unproved = false;
        let low = self.low.filter(|(head, _)| *head == self.begun);
        self.low = Some((self.begun, low.map_or(limit, |(_, low)| low.min(limit))));
        self.seen.limit = self.seen.limit.min(limit);
        self.estimate = self.estimate.min(limit).max(self.bounds.cold);
    }

    /// Forgets the requests that an earlier process may have handed over.
    pub fn forget_orphans(&mut self) {
        self.orphans = self.orphans.map(|_| 0);
    }

    /// Returns the requests that the engine bears now, as far as it has been shown.
    pub fn limit(&self) -> u32 {
        let estimate = if self.shown() { self.estimate } else { self.bounds.cold };
        estimate.min(self.seen.limit).min(self.bounds.slots)
    }

    /// Returns the most requests that may run now, by the gate's count and the engine's.
    pub fn running(&self) -> u32 {
        let own = self.passed.len() as u32;
        let since = self.passed.values().filter(|passed| passed.look >= self.taken).count() as u32;
        (own + self.orphans.unwrap_or(0)).max(self.seen.running + since)
    }

    /// Returns the requests that have passed and not ended.
    pub fn in_progress(&self) -> usize {
        self.passed.len()
    }

    /// Returns the version that the engine holds.
    pub fn version(&self) -> Option<&VersionId> {
        self.seen.version.as_ref()
    }

    /// Returns whether new work may pass, apart from the limit.
    pub fn open(&self) -> bool {
        !self.closed && self.shown() && self.holds()
    }

    /// Returns whether the last look shows the engine's present state.
    pub fn fresh(&self) -> bool {
        !matches!(self.trust, Trust::After(stale) if stale >= self.taken)
    }

    /// Returns whether the next request to pass would be one more than a cold engine bears, so that
    /// only a look that begins now shows whether the engine bears it.
    pub fn above_cold(&self) -> bool {
        self.open() && (self.bounds.cold..self.limit()).contains(&self.running())
    }

    /// Lets a request pass or refuses it.
    pub fn admit(&mut self, ticket: Ticket) -> Result<(), Refusal> {
        if self.closed {
            return Err(Refusal::after(Reason::Leaving, RETRY));
        }
        if !self.holds() {
            return Err(Refusal::after(Reason::Version, RETRY));
        }
        if !self.shown() {
            return Err(Refusal::after(Reason::NoEndpoint, RETRY));
        }
        let running = self.running();
        let unproved = running >= self.bounds.cold;
        if running >= self.limit() || unproved && self.unproved() >= self.window() {
            return Err(Refusal::after(Reason::Overload, RETRY));
        }
        let passed = Passed { look: self.begun, epoch: self.epoch, unproved };
        self.passed.insert(ticket, passed);
        Ok(())
    }

    /// Takes note that a request has ended.
    pub fn finish(&mut self, ticket: &Ticket, ended: Ended) {
        let Some(passed) = self.passed.remove(ticket) else { return };
        if passed.look < self.taken {
            self.seen.running = self.seen.running.saturating_sub(1);
        }
        if passed.unproved {
            self.spent.push(passed.look);
        }
        match ended {
            Ended::Whole if passed.epoch == self.epoch => {
                self.estimate = (self.estimate + 1).min(self.bounds.slots);
            }
            Ended::Broken => self.invalidate(),
            Ended::Cancelled | Ended::Whole => {}
        }
    }

    /// Returns the requests above the cold limit that may be handed over without a sign of warmth.
    pub fn window(&self) -> u32 {
        (self.bounds.slots.saturating_sub(self.bounds.cold) / UNPROVED).max(1)
    }

    fn unproved(&self) -> u32 {
        let running = self.passed.values().filter(|passed| passed.unproved).count();
        (running + self.spent.len()) as u32
    }

    fn shown(&self) -> bool {
        self.trust == Trust::Shown
    }

    fn holds(&self) -> bool {
        self.wanted.is_none() || self.seen.version.is_some()
    }

    fn turn_cold(&mut self) {
        self.epoch += 1;
        self.estimate = self.bounds.cold;
    }
}
