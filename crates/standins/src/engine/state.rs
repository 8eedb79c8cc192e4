//! State of the simulated engine.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use bytes::Bytes;
use sequoiahold_core::ids::{Digest, FenceToken, VersionId};
use tokio::sync::mpsc;

use super::cache::Cache;

/// A request that the engine received.
#[derive(Clone, Debug)]
pub struct StartedRequest {
    /// Time at which it was received.
    pub at: Instant,
    /// Value of its `x-request-id` header.
    pub id: String,
    /// Concatenated contents of its messages.
    pub prompt: String,
}

/// A request whose answer is in progress or can be resumed.
#[derive(Debug)]
pub struct Run {
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Index among all received requests; lower ones are served first within a priority.
    pub number: usize,
    /// Events of the answer so far.
    pub events: Vec<Bytes>,
    /// Whether the answer is complete.
    pub complete: bool,
    /// Reader of the answer, and the index of the first event to send to it.
    pub reader: Option<(mpsc::UnboundedSender<Bytes>, usize)>,
}

impl Run {
    /// Appends an event and sends it to the reader; returns whether the reader is still connected.
    pub fn push_event(&mut self, event: Bytes) -> bool {
        let number = self.events.len();
        self.events.push(event.clone());
        let disconnected = |(reader, from): &(mpsc::UnboundedSender<Bytes>, usize)| {
            if number < *from { reader.is_closed() } else { reader.send(event).is_err() }
        };
        if self.reader.as_ref().is_some_and(disconnected) {
            self.reader = None;
        }
        self.reader.is_some()
    }
}

/// State and counters of an engine.
#[derive(Debug)]
pub struct State {
    /// Number of the engine start, from 1; each crash increments it.
    pub incarnation: u64,
    /// Uploaded chunks by digest.
    pub chunks: BTreeMap<Digest, Bytes>,
    /// The loaded version, the digest of its manifest and the fingerprint of the loaded chunks.
    pub version: Option<(VersionId, Digest, Digest)>,
    /// Role set by the last role order.
    pub role: Option<String>,
    /// Tokens generated since the last cold start.
    pub tokens: u64,
    /// Requests whose answers are in progress or can be resumed, by id.
    pub running: BTreeMap<String, Run>,
    /// All received requests in order.
    pub started: Vec<StartedRequest>,
    /// Requests received above capacity.
    pub overloads: u64,
    /// Time of the last reset to cold capacity without a restart.
    pub turned_cold: Option<Instant>,
    /// Time from the last such reset to each overload after it.
    pub overload_delays: Vec<Duration>,
    /// Number of crashes.
    pub crashes: u64,
    /// Requests cancelled before their answers were complete.
    pub cancelled: u64,
    /// Orders refused for an outdated fencing token.
    pub fence_refusals: u64,
    /// Highest fencing token seen.
    pub fence: FenceToken,
    /// Cached prompt prefixes.
    pub cache: Cache,
    /// Recorded loads: time, limit and number of active requests.
    load_history: VecDeque<(Instant, u32, u32)>,
}

impl State {
    /// Returns the state of a new engine; `cache_bytes` is the memory for prefixes in bytes.
    pub fn new(cache_bytes: usize) -> Self {
        Self {
            incarnation: 1,
            chunks: BTreeMap::new(),
            version: None,
            role: None,
            tokens: 0,
            running: BTreeMap::new(),
            started: vec![],
            overloads: 0,
            turned_cold: None,
            overload_delays: vec![],
            crashes: 0,
            cancelled: 0,
            fence_refusals: 0,
            fence: FenceToken::default(),
            cache: Cache::new(cache_bytes),
            load_history: VecDeque::new(),
        }
    }

    /// Drops all requests, chunks and cached prefixes, and starts a new incarnation.
    pub fn crash(&mut self) {
        self.incarnation += 1;
        self.crashes += 1;
        self.running.clear();
        self.version = None;
        self.role = None;
        self.chunks.clear();
        self.cache.clear();
        self.tokens = 0;
    }

    /// Returns the number of requests whose answers are not complete.
    pub fn active(&self) -> u32 {
        self.running.values().filter(|run| !run.complete).count() as u32
    }

    /// Returns whether a request is among the first `batch` active ones by priority and age.
    pub fn in_batch(&self, id: &str, batch: u32) -> bool {
        let Some(request) = self.running.get(id) else { return false };
        let rank = (request.priority, request.number);
        let active = self.running.values().filter(|run| !run.complete);
        active.filter(|run| (run.priority, run.number) < rank).count() < batch as usize
    }

    /// Records the current load and returns the limit and the active requests of `lag` ago.
    pub fn lagging_load(&mut self, limit: u32, lag: Duration) -> (u32, u32) {
        let now = Instant::now();
        self.load_history.push_back((now, limit, self.active()));
        while self.load_history.get(1).is_some_and(|(at, ..)| now - *at >= lag) {
            self.load_history.pop_front();
        }
        self.load_history.front().map_or((limit, 0), |(_, limit, running)| (*limit, *running))
    }
}
