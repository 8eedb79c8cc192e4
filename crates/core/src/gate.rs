//! Admission control of an endpoint: limits the requests in progress to the capacity of its engine.

use std::collections::BTreeMap;

use crate::{
    ids::{Incarnation, RequestId, VersionId, VmId},
    refusal::{DEFAULT_RETRY_DELAY, Reason, Refusal},
};

/// Divisor of the capacity above the cold limit; requests without evidence that the engine is still
/// warm may use the quotient.
const UNPROVEN_DIVISOR: u32 = 4;

/// Identifies a request across all entries: entry VM, incarnation of the entry, request number.
pub type RunId = (VmId, Incarnation, RequestId);

/// The sequence number of a state probe of the engine, in the order in which probes start.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ProbeId(pub u64);

/// The concurrency limits that the configuration declares for an engine of the pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineLimits {
    /// The requests that a cold engine can run at the same time.
    pub cold: u32,
    /// The requests that a warm engine can run at the same time.
    pub slots: u32,
}

/// The state of the engine as returned by a probe.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineSnapshot {
    /// The incarnation of the engine; it changes with each start.
    pub incarnation: u64,
    /// The version that the engine has loaded completely.
    pub version: Option<VersionId>,
    /// The requests that the engine can run at the same time now.
    pub limit: u32,
    /// The requests in progress, as counted by the engine.
    pub running: u32,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The connection broke, or the engine did not accept the request.
    Aborted,
    /// The request was cancelled.
    Cancelled,
    /// The engine completed the request.
    Completed,
}

/// Whether the snapshot shows the engine's current state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SnapshotState {
    /// The results of probes up to and including this one are stale.
    StaleUntil(ProbeId),
    /// The engine is loading a version.
    Loading,
    /// A load ended; only a probe after this one that shows the target version confirms the state.
    AwaitVersion(ProbeId),
    /// The snapshot shows the engine's current state.
    Confirmed,
}

#[derive(Clone, Copy, Debug)]
struct Admitted {
    /// The last probe that had started at the time of admission.
    probe: ProbeId,
    epoch: u64,
    /// Whether the request was admitted above the cold limit, without a later probe or answer head.
    unproven: bool,
}

/// Admits requests to the engine within its current concurrency limit.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    target: Option<VersionId>,
    limits: EngineLimits,
    closed: bool,
    snapshot: EngineSnapshot,
    snapshot_state: SnapshotState,
    last_started: ProbeId,
    last_recorded: ProbeId,
    /// The cold limit, raised by 1 with each request completed since the engine turned cold, and
    /// lowered to each limit that the engine reports.
    estimate: u32,
    /// Increases when the engine turns cold, so that earlier requests do not raise the estimate.
    epoch: u64,
    /// The requests that an earlier process may have left at the engine, `None` before the first
    /// probe.
    orphans: Option<u32>,
    admitted: BTreeMap<RunId, Admitted>,
    /// The unproven requests that ended since the last recorded probe, by the probe at admission.
    ended_unproven: Vec<ProbeId>,
    /// The lowest limit in an answer head, and the last probe that had started by then.
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
            last_recorded: ProbeId::default(),
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
    /// Sets the version that the configuration requires, `None` for a plain service, and the
    /// limits.
    pub fn set_target(&mut self, version: Option<VersionId>, limits: EngineLimits) {
        self.target = version;
        self.limits = limits;
        self.estimate = self.estimate.max(limits.cold);
    }

    /// Closes the gate to new requests, or reopens it.
    pub fn set_closed(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Starts a probe of the engine and returns its sequence number.
    pub fn begin_probe(&mut self) -> ProbeId {
        self.last_started.0 += 1;
        self.last_started
    }

    /// Records the result of a probe, `None` if the engine did not answer; ignores results that
    /// arrive out of order.
    pub fn record_probe(&mut self, probe: ProbeId, snapshot: Option<EngineSnapshot>) {
        if probe <= self.last_recorded {
            return;
        }
        self.last_recorded = probe;
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

    /// Marks the snapshot as stale: the gate stays closed until a probe that starts later succeeds.
    pub fn invalidate(&mut self) {
        self.snapshot_state = match self.snapshot_state {
            SnapshotState::Loading => SnapshotState::Loading,
            SnapshotState::AwaitVersion(_) => SnapshotState::AwaitVersion(self.last_started),
            SnapshotState::StaleUntil(_) | SnapshotState::Confirmed => {
                SnapshotState::StaleUntil(self.last_started)
            }
        };
    }

    /// Records that the engine was told to load a version: it is cold and its version is unknown.
    pub fn load_started(&mut self) {
        self.snapshot_state = SnapshotState::Loading;
        self.reset_to_cold();
    }

    /// Records that a load ended, whether or not it succeeded.
    pub fn load_ended(&mut self) {
        self.snapshot_state = SnapshotState::AwaitVersion(self.last_started);
    }

    /// Records the limit that the engine sent with the head of an answer; only probes that start
    /// later may raise it.
    pub fn record_head_limit(&mut self, run: &RunId, limit: u32) {
        let Some(admitted) = self.admitted.get_mut(run) else { return };
        admitted.unproven = false;
        let limit_cap = self.limit_cap.filter(|(capped_at, _)| *capped_at == self.last_started);
        self.limit_cap =
            Some((self.last_started, limit_cap.map_or(limit, |(_, lowest)| lowest.min(limit))));
        self.snapshot.limit = self.snapshot.limit.min(limit);
        self.estimate = self.estimate.min(limit).max(self.limits.cold);
    }

    /// Stops counting the requests that an earlier endpoint process may have sent to the engine.
    pub fn forget_orphans(&mut self) {
        self.orphans = self.orphans.map(|_| 0);
    }

    /// Returns the number of requests that the engine is known to be able to run at the same time
    /// now.
    pub fn limit(&self) -> u32 {
        let estimate = if self.is_confirmed() { self.estimate } else { self.limits.cold };
        estimate.min(self.snapshot.limit).min(self.limits.slots)
    }

    /// Returns an upper bound of the requests in progress, from the gate's count and the engine's.
    pub fn running(&self) -> u32 {
        let own = self.admitted.len() as u32;
        let after_probe =
            self.admitted.values().filter(|admitted| admitted.probe >= self.last_recorded).count()
                as u32;
        (own + self.orphans.unwrap_or(0)).max(self.snapshot.running + after_probe)
    }

    /// Returns the number of admitted requests that have not ended.
    pub fn in_progress(&self) -> usize {
        self.admitted.len()
    }

    /// Returns the version that the engine has loaded, by the last successful probe.
    pub fn version(&self) -> Option<&VersionId> {
        self.snapshot.version.as_ref()
    }

    /// Returns whether new requests may be admitted, regardless of the limit.
    pub fn is_open(&self) -> bool {
        !self.closed && self.is_confirmed() && self.has_required_version()
    }

    /// Returns whether the last recorded probe has not become stale.
    pub fn is_fresh(&self) -> bool {
        !matches!(self.snapshot_state, SnapshotState::StaleUntil(stale) if stale >= self.last_recorded)
    }

    /// Returns whether the next request would exceed the cold limit but not the current one, so
    /// that only a probe that starts now shows whether the engine is still warm enough to run it.
    pub fn exceeds_cold_limit(&self) -> bool {
        self.is_open() && (self.limits.cold..self.limit()).contains(&self.running())
    }

    /// Admits a request, or returns the refusal.
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
        if running >= self.limit() || unproven && self.unproven_count() >= self.unproven_window() {
            return Err(Refusal::retry_after(Reason::Overload, DEFAULT_RETRY_DELAY));
        }
        let admitted = Admitted { probe: self.last_started, epoch: self.epoch, unproven };
        self.admitted.insert(run, admitted);
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn finish(&mut self, run: &RunId, end: RequestEnd) {
        let Some(admitted) = self.admitted.remove(run) else { return };
        if admitted.probe < self.last_recorded {
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

    /// Returns the number of requests above the cold limit that may be admitted without new
    /// evidence that the engine is warm, at least 1.
    pub fn unproven_window(&self) -> u32 {
        (self.limits.slots.saturating_sub(self.limits.cold) / UNPROVEN_DIVISOR).max(1)
    }

    fn unproven_count(&self) -> u32 {
        let running = self.admitted.values().filter(|admitted| admitted.unproven).count();
        (running + self.ended_unproven.len()) as u32
    }

    fn is_confirmed(&self) -> bool {
        self.snapshot_state == SnapshotState::Confirmed
    }

    /// Returns whether the engine has loaded any version, if the service needs one.
    fn has_required_version(&self) -> bool {
        self.target.is_none() || self.snapshot.version.is_some()
    }

    fn reset_to_cold(&mut self) {
        self.epoch += 1;
        self.estimate = self.limits.cold;
    }
}
