//! Fake engine or plain service in virtual time.

use std::collections::BTreeMap;

use sequoiahold_core::{
    endpoint::EngineState,
    gate::RunId,
    ids::{Digest, FenceToken, VersionId},
    weights::Manifest,
};

use super::CallId;

/// Requests that an engine must complete before it reaches its full capacity.
const WARM_UP_REQUESTS: u32 = 4;

/// A fake engine or plain service.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// Number of the engine start, from 1; each crash increments it.
    pub incarnation: u64,
    /// The loaded version and the digest of its manifest.
    pub version: Option<(VersionId, Digest)>,
    /// Requests in progress, with the version that was loaded when they started.
    pub running: BTreeMap<RunId, (CallId, Option<VersionId>)>,
    /// Requests completed since the last cold start.
    pub finished: u32,
    /// Requests received above capacity.
    pub overloads: u32,
    /// Number of crashes.
    pub crashes: u32,
    /// The highest fencing token seen.
    pub fence: FenceToken,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fence: bool,
    /// Whether the head of an answer reports the concurrency limit.
    pub reports_limit: bool,
    slots: u32,
    cold_slots: u32,
}

impl FakeEngine {
    /// Returns a cold engine without a loaded version.
    pub fn new(slots: u32, cold_slots: u32) -> Self {
        Self {
            incarnation: 1,
            version: None,
            running: BTreeMap::new(),
            finished: 0,
            overloads: 0,
            crashes: 0,
            fence: FenceToken::default(),
            checks_fence: true,
            reports_limit: true,
            slots,
            cold_slots,
        }
    }

    /// Returns the number of requests that the engine can run at present.
    pub fn capacity(&self) -> u32 {
        self.cold_slots
            + (self.slots - self.cold_slots) * self.finished.min(WARM_UP_REQUESTS)
                / WARM_UP_REQUESTS
    }

    /// Returns the state that the engine reports to its endpoint process.
    pub fn state(&self) -> EngineState {
        EngineState {
            incarnation: self.incarnation,
            version: self.version.as_ref().map(|(version, _)| version.clone()),
            manifest: self.version.as_ref().map(|(_, manifest)| *manifest),
            limit: self.capacity(),
            running: self.running.len() as u32,
            fence: self.fence,
        }
    }

    /// Returns the concurrency limit sent with the head of an answer, if the engine reports it.
    pub fn reported_limit(&self) -> Option<u32> {
        self.reports_limit.then(|| self.capacity())
    }

    /// Loads a version; returns false if the fencing token is outdated and the engine checks it.
    pub fn load(&mut self, version: &VersionId, manifest: &Manifest, fence: FenceToken) -> bool {
        if self.checks_fence && fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(fence);
        self.version = Some((version.clone(), manifest.digest()));
        self.finished = 0;
        true
    }

    /// Starts a request; returns false if it exceeds the capacity, which crashes the engine.
    pub fn start_request(&mut self, run_id: RunId, call: CallId) -> bool {
        if self.running.len() as u32 >= self.capacity() {
            self.overloads += 1;
            self.crash();
            return false;
        }
        let version = self.version.as_ref().map(|(version, _)| version.clone());
        self.running.insert(run_id, (call, version));
        true
    }

    /// Drops all requests and restarts the engine without a loaded version.
    pub fn crash(&mut self) {
        self.crashes += 1;
        self.incarnation += 1;
        self.running.clear();
        self.version = None;
        self.finished = 0;
    }
}
