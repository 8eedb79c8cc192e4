//! The gate of an endpoint: what its engine bears and what runs on it.

use std::collections::BTreeMap;

use crate::{
    ids::{Incarnation, RequestId, VersionId, VmId},
    refusal::{DEFAULT_RETRY_DELAY, Reason, Refusal},
};

/// The part of an engine's warm room that may be handed over without a sign that it is still warm.
const UNPROVEN_DIVISOR: u32 = 4;

/// A request, unique across entries.
pub type RunId = (VmId, Incarnation, RequestId);

/// The number of a look at the engine, in the order in which looks begin.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ProbeId(pub u64);

/// What an engine of the pool bears by declaration.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineLimits {
    /// The requests that it bears cold.
    pub cold: u32,
    /// The requests that it bears warm.
    pub slots: u32,
}

/// What the endpoint process has seen of its engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineSnapshot {
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
pub enum RequestEnd {
    /// It broke off, or the engine did not take it.
    Aborted,
    /// It was cancelled.
    Cancelled,
    /// The engine finished it.
    Completed,
}

/// What the last looks say of the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SnapshotState {
    /// Nothing that was seen up to this look counts any more.
    StaleUntil(ProbeId),
    /// The engine is loading.
    Loading,
    /// The engine loaded before this look ended; it must show the wanted version.
    AwaitVersion(ProbeId),
    /// The last look shows the engine's present state.
    Confirmed,
}

#[derive(Clone, Copy, Debug)]
struct Admitted {
    probe: ProbeId,
    epoch: u64,
    unproven: bool,
}

/// Decides which requests reach the engine.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    target: Option<VersionId>,
    limits: EngineLimits,
    closed: bool,
    snapshot: EngineSnapshot,
    snapshot_state: SnapshotState,
    last_started: ProbeId,
    last_observed: ProbeId,
    estimate: u32,
    epoch: u64,
    orphans: Option<u32>,
    admitted: BTreeMap<RunId, Admitted>,
    ended_unproven: Vec<ProbeId>,
    limit_cap: Option<(ProbeId, u32)>,
}

impl Default for AdmissionGate {
    fn default() -> Self {
        Self {
            target: None,
            limits: EngineLimits::default(),
            closed: false,
            snapshot: EngineSnapshot::default(),
            snapshot_state: SnapshotState::StaleUntil(ProbeId::default()),
            last_started: ProbeId::default(),
            last_observed: ProbeId::default(),
            estimate: 0,
            epoch: 0,
            orphans: None,
            admitted: BTreeMap::new(),
            ended_unproven: vec![],
            limit_cap: None,
        }
    }
}

impl AdmissionGate {
    /// Sets the version that the configuration wants, `None` for a plain service.
    pub fn set_target(&mut self, version: Option<VersionId>, limits: EngineLimits) {
        self.target = version;
        self.limits = limits;
        self.estimate = self.estimate.max(limits.cold);
    }

    /// Opens or closes the gate for new work.
    pub fn set_closed(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Takes note that a look at the engine begins and returns its number.
    pub fn begin_probe(&mut self) -> ProbeId {
        self.last_started.0 += 1;
        self.last_started
    }

    /// Takes the state that the engine showed at a look, `None` where it did not answer.
    pub fn record_probe(&mut self, probe: ProbeId, snapshot: Option<EngineSnapshot>) {
        if probe <= self.last_observed {
            return;
        }
        self.last_observed = probe;
        let Some(mut snapshot) = snapshot else { return self.invalidate() };
        self.limit_cap = self.limit_cap.filter(|(capped_at, _)| probe <= *capped_at);
        snapshot.limit =
            self.limit_cap.map_or(snapshot.limit, |(_, limit)| limit.min(snapshot.limit));
        let same = self.snapshot.incarnation == snapshot.incarnation
            && self.snapshot.version == snapshot.version;
        if !same || self.orphans.is_none() {
            self.reset_to_cold();
        }
        let version_changed = self.orphans.is_some() && self.snapshot.version != snapshot.version;
        if version_changed
            && snapshot.version != self.target
            && self.snapshot_state != SnapshotState::Loading
        {
            self.snapshot_state = SnapshotState::AwaitVersion(probe);
        }
        self.estimate = self.estimate.min(snapshot.limit).max(self.limits.cold);
        self.orphans = Some(self.orphans.map_or(snapshot.running, |n| n.min(snapshot.running)));
        for admitted in self.admitted.values_mut().filter(|admitted| admitted.probe < probe) {
            admitted.unproven = false;
        }
        self.ended_unproven.retain(|admitted_at| *admitted_at >= probe);
        let confirmed = match self.snapshot_state {
            SnapshotState::StaleUntil(stale) => probe > stale,
            SnapshotState::AwaitVersion(stale) => probe > stale && snapshot.version == self.target,
            SnapshotState::Loading => false,
            SnapshotState::Confirmed => true,
        };
        if confirmed {
            self.snapshot_state = SnapshotState::Confirmed;
        }
        self.snapshot = snapshot;
    }

    /// Closes the gate until a look that begins later shows the engine's state.
    pub fn invalidate(&mut self) {
        self.snapshot_state = match self.snapshot_state {
            SnapshotState::Loading => SnapshotState::Loading,
            SnapshotState::AwaitVersion(_) => SnapshotState::AwaitVersion(self.last_started),
            SnapshotState::StaleUntil(_) | SnapshotState::Confirmed => {
                SnapshotState::StaleUntil(self.last_started)
            }
        };
    }

    /// Takes note that the engine is ordered to load: it is cold and its version is open.
    pub fn load_started(&mut self) {
        self.snapshot_state = SnapshotState::Loading;
        self.reset_to_cold();
    }

    /// Takes note that an order to load has ended, in whichever way.
    pub fn load_ended(&mut self) {
        self.snapshot_state = SnapshotState::AwaitVersion(self.last_started);
    }

    /// Takes the limit that the engine showed with the head of an answer; no look that has begun before
    /// may raise it.
    pub fn record_head_limit(&mut self, run: &RunId, limit: u32) {
        let Some(admitted) = self.admitted.get_mut(run) else { return };
        admitted.unproven = false;
        let limit_cap = self.limit_cap.filter(|(capped_at, _)| *capped_at == self.last_started);
        self.limit_cap =
            Some((self.last_started, limit_cap.map_or(limit, |(_, lowest)| lowest.min(limit))));
        self.snapshot.limit = self.snapshot.limit.min(limit);
        self.estimate = self.estimate.min(limit).max(self.limits.cold);
    }

    /// Forgets the requests that an earlier process may have handed over.
    pub fn forget_orphans(&mut self) {
        self.orphans = self.orphans.map(|_| 0);
    }

    /// Returns the requests that the engine bears now, as far as it has been shown.
    pub fn limit(&self) -> u32 {
        let estimate = if self.is_confirmed() { self.estimate } else { self.limits.cold };
        estimate.min(self.snapshot.limit).min(self.limits.slots)
    }

    /// Returns the most requests that may run now, by the gate's count and the engine's.
    pub fn running(&self) -> u32 {
        let own = self.admitted.len() as u32;
        let since =
            self.admitted.values().filter(|admitted| admitted.probe >= self.last_observed).count()
                as u32;
        (own + self.orphans.unwrap_or(0)).max(self.snapshot.running + since)
    }

    /// Returns the requests that have passed and not ended.
    pub fn in_progress(&self) -> usize {
        self.admitted.len()
    }

    /// Returns the version that the engine holds.
    pub fn version(&self) -> Option<&VersionId> {
        self.snapshot.version.as_ref()
    }

    /// Returns whether new work may pass, apart from the limit.
    pub fn is_open(&self) -> bool {
        !self.closed && self.is_confirmed() && self.has_required_version()
    }

    /// Returns whether the last look shows the engine's present state.
    pub fn is_fresh(&self) -> bool {
        !matches!(self.snapshot_state, SnapshotState::StaleUntil(stale) if stale >= self.last_observed)
    }

    /// Returns whether the next request to pass would be one more than a cold engine bears, so that
    /// only a look that begins now shows whether the engine bears it.
    pub fn exceeds_cold_limit(&self) -> bool {
        self.is_open() && (self.limits.cold..self.limit()).contains(&self.running())
    }

    /// Lets a request pass or refuses it.
    pub fn admit(&mut self, run: RunId) -> Result<(), Refusal> {
        if self.closed {
            return Err(Refusal::retry_after(Reason::Leaving, DEFAULT_RETRY_DELAY));
        }
        if !self.has_required_version() {
            return Err(Refusal::retry_after(Reason::Version, DEFAULT_RETRY_DELAY));
        }
        if !self.is_confirmed() {
            return Err(Refusal::retry_after(Reason::NoEndpoint, DEFAULT_RETRY_DELAY));
        }
        let running = self.running();
        let unproven = running >= self.limits.cold;
        if running >= self.limit() || unproven && self.unproven() >= self.unproven_window() {
            return Err(Refusal::retry_after(Reason::Overload, DEFAULT_RETRY_DELAY));
        }
        let admitted = Admitted { probe: self.last_started, epoch: self.epoch, unproven };
        self.admitted.insert(run, admitted);
        Ok(())
    }

    /// Takes note that a request has ended.
    pub fn finish(&mut self, run: &RunId, end: RequestEnd) {
        let Some(admitted) = self.admitted.remove(run) else { return };
        if admitted.probe < self.last_observed {
            self.snapshot.running = self.snapshot.running.saturating_sub(1);
        }
        if admitted.unproven {
            self.ended_unproven.push(admitted.probe);
        }
        match end {
            RequestEnd::Completed if admitted.epoch == self.epoch => {
                self.estimate = (self.estimate + 1).min(self.limits.slots);
            }
            RequestEnd::Aborted => self.invalidate(),
            RequestEnd::Cancelled | RequestEnd::Completed => {}
        }
    }

    /// Returns the requests above the cold limit that may be handed over without a sign of warmth.
    pub fn unproven_window(&self) -> u32 {
        (self.limits.slots.saturating_sub(self.limits.cold) / UNPROVEN_DIVISOR).max(1)
    }

    fn unproven(&self) -> u32 {
        let running = self.admitted.values().filter(|admitted| admitted.unproven).count();
        (running + self.ended_unproven.len()) as u32
    }

    fn is_confirmed(&self) -> bool {
        self.snapshot_state == SnapshotState::Confirmed
    }

    fn has_required_version(&self) -> bool {
        self.target.is_none() || self.snapshot.version.is_some()
    }

    fn reset_to_cold(&mut self) {
        self.epoch += 1;
        self.estimate = self.limits.cold;
    }
}
