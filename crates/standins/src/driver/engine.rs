//! A fake engine or plain service in virtual time.

use std::collections::BTreeMap;

use sequoiahold_core::{
    endpoint::EngineState,
    gate::RunId,
    ids::{Digest, FenceToken, VersionId},
    weights::Manifest,
};

use super::CallId;

/// Requests that an engine must finish before it is warm.
const WARM_UP_REQUESTS: u32 = 4;

/// A fake engine or plain service.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// The start of the engine.
    pub incarnation: u64,
    /// The version it holds and the digest of its manifest.
    pub version: Option<(VersionId, Digest)>,
    /// The requests that run.
    pub running: BTreeMap<RunId, (CallId, Option<VersionId>)>,
    /// The requests that it finished since it turned cold.
    pub finished: u32,
    /// Times at which more was given than it bears.
    pub overloads: u32,
    /// Crashes of the engine.
    pub crashes: u32,
    /// The highest fencing number seen.
    pub fence: FenceToken,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Whether the head of an answer shows the limit.
    pub reports_limit: bool,
    slots: u32,
    cold_slots: u32,
}

impl FakeEngine {
    /// Returns an engine that holds nothing.
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

    /// Returns the requests that it bears now.
    pub fn capacity(&self) -> u32 {
        self.cold_slots
            + (self.slots - self.cold_slots) * self.finished.min(WARM_UP_REQUESTS)
                / WARM_UP_REQUESTS
    }

    /// Returns the state that it shows.
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

    /// Returns the limit that it shows with the head of an answer.
    pub fn reported_limit(&self) -> Option<u32> {
        self.reports_limit.then(|| self.capacity())
    }

    /// Takes an order to load, or refuses it by its fencing number, and returns which.
    pub fn load(&mut self, version: &VersionId, manifest: &Manifest, fence: FenceToken) -> bool {
        if self.checks_fence && fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(fence);
        self.version = Some((version.clone(), manifest.digest()));
        self.finished = 0;
        true
    }

    /// Begins a request; more than it bears makes it fall over, and returns false.
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

    /// Ends all requests and starts anew, holding nothing.
    pub fn crash(&mut self) {
        self.crashes += 1;
        self.incarnation += 1;
        self.running.clear();
        self.version = None;
        self.finished = 0;
    }
}
