//! What an engine holds and runs.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use bytes::Bytes;
use sequoiahold_core::ids::{Digest, FenceToken, VersionId};
use tokio::sync::mpsc;

use super::cache::Cache;

/// A request that an engine began.
#[derive(Clone, Debug)]
pub struct StartedRequest {
    /// When.
    pub at: Instant,
    /// Its id.
    pub id: String,
    /// What it asks.
    pub prompt: String,
}

/// A request that runs.
#[derive(Debug)]
pub struct Run {
    /// Its priority; 0 goes first.
    pub priority: u32,
    /// Its place among the requests that began.
    pub number: usize,
    /// The events of its answer so far.
    pub events: Vec<Bytes>,
    /// Whether its answer is whole.
    pub complete: bool,
    /// The reader of its answer, and the first event that it gets.
    pub reader: Option<(mpsc::UnboundedSender<Bytes>, usize)>,
}

impl Run {
    /// Adds an event and gives it to the reader; returns whether there is still one.
    pub fn push_event(&mut self, event: Bytes) -> bool {
        let number = self.events.len();
        self.events.push(event.clone());
        let gone = |(reader, from): &(mpsc::UnboundedSender<Bytes>, usize)| {
            if number < *from { reader.is_closed() } else { reader.send(event).is_err() }
        };
        if self.reader.as_ref().is_some_and(gone) {
            self.reader = None;
        }
        self.reader.is_some()
    }
}

/// What a test reads of an engine.
#[derive(Debug)]
pub struct State {
    /// The start of the engine.
    pub incarnation: u64,
    /// The chunks that were handed over.
    pub chunks: BTreeMap<Digest, Bytes>,
    /// The version, its manifest and the fingerprint of what is really held.
    pub version: Option<(VersionId, Digest, Digest)>,
    /// The role that was ordered.
    pub role: Option<String>,
    /// The tokens since the last cold start.
    pub tokens: u64,
    /// The requests that run, by id.
    pub running: BTreeMap<String, Run>,
    /// The requests that began.
    pub started: Vec<StartedRequest>,
    /// Times at which more was given than the engine bears.
    pub overloads: u64,
    /// The last time at which the engine turned cold without warning.
    pub turned_cold: Option<Instant>,
    /// The times from such a turn to each overload after it.
    pub overload_delays: Vec<Duration>,
    /// Times at which the engine crashed.
    pub crashes: u64,
    /// Requests that were cancelled while they ran.
    pub cancelled: u64,
    /// Orders that were refused for an old fencing number.
    pub fence_refusals: u64,
    /// The highest fencing number seen.
    pub fence: FenceToken,
    /// The cached prefixes.
    pub cache: Cache,
    load_history: VecDeque<(Instant, u32, u32)>,
}

impl State {
    /// Returns the state of an engine that holds nothing.
    pub fn new(cache: usize) -> Self {
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
            cache: Cache::new(cache),
            load_history: VecDeque::new(),
        }
    }

    /// Ends all requests in progress and starts anew, holding nothing.
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

    /// Returns the requests that are not whole yet.
    pub fn active(&self) -> u32 {
        self.running.values().filter(|run| !run.complete).count() as u32
    }

    /// Returns whether a request is among the first `batch` by priority and age.
    pub fn in_batch(&self, id: &str, batch: u32) -> bool {
        let Some(own) = self.running.get(id) else { return false };
        let rank = (own.priority, own.number);
        let active = self.running.values().filter(|run| !run.complete);
        active.filter(|run| (run.priority, run.number) < rank).count() < batch as usize
    }

    /// Records the load of now and returns the one of `lag` ago: the limit and what runs.
    pub fn lagging_load(&mut self, limit: u32, lag: Duration) -> (u32, u32) {
        let now = Instant::now();
        self.load_history.push_back((now, limit, self.active()));
        while self.load_history.get(1).is_some_and(|(at, ..)| now - *at >= lag) {
            self.load_history.pop_front();
        }
        self.load_history.front().map_or((limit, 0), |(_, limit, running)| (*limit, *running))
    }
}
