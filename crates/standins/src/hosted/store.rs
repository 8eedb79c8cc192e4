//! Simulated key-value store of the hosted platform, with range reads and watches.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Request, Response};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use sequoiahold::http;
use serde_json::{Value, json};

use crate::reply::{self, Body, KeepAlive};

/// Time between two checks of a waiting watch for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct State {
    /// The current values by key, each with the revision that wrote it.
    items: BTreeMap<String, (u64, Value)>,
    /// All writes as revision, key and value; `None` for a removal.
    log: Vec<(u64, String, Option<Value>)>,
    revision: u64,
    /// Number of the state's copy in use, from 1.
    era: u64,
    /// The revision up to which the history of changes is discarded.
    compacted: u64,
    delay: Duration,
    down: bool,
    calls: u64,
    watch_stalls: u64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            log: vec![],
            revision: 0,
            era: 1,
            compacted: 0,
            delay: Duration::ZERO,
            down: false,
            calls: 0,
            watch_stalls: 0,
        }
    }
}

/// A copy of the state of a store.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    items: BTreeMap<String, (u64, Value)>,
    revision: u64,
}

/// A running key-value store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// The keep-alive timeout that the store announces.
    pub keep_alive: KeepAlive,
    state: Rc<RefCell<State>>,
}

impl Store {
    /// Starts an empty store on `addr`; fails if the address cannot be bound.
    pub async fn start(addr: SocketAddr) -> anyhow::Result<Self> {
        let store = Self::default();
        let server = store.clone();
        http::serve(addr, move |request| {
            let server = server.clone();
            async move { server.keep_alive.add_to(server.clone().handle(request).await) }
        })
        .await?;
        Ok(store)
    }

    /// Writes a value under a new revision; `None` removes the key.
    pub fn put(&self, key: &str, value: Option<Value>) {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => state.items.insert(key.to_owned(), (revision, value.clone())),
            None => state.items.remove(key),
        };
        state.log.push((revision, key.to_owned(), value));
    }

    /// Returns a copy of the current state.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.borrow();
        StoreCopy { items: state.items.clone(), revision: state.revision }
    }

    /// Goes back to a copy of the state: later writes are lost, and their revisions are given out
    /// again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.borrow_mut();
        state.items.clone_from(&copy.items);
        state.revision = copy.revision;
        state.log.retain(|(at, ..)| *at <= copy.revision);
        state.compacted = state.compacted.min(copy.revision);
        state.era += 1;
    }

    /// Returns the keys that have a value.
    pub fn keys(&self) -> Vec<String> {
        self.state.borrow().items.keys().cloned().collect()
    }

    /// Sets whether the store answers all calls with status 503.
    pub fn set_down(&self, down: bool) {
        self.state.borrow_mut().down = down;
    }

    /// Sets the time by which each answer is late.
    pub fn set_delay(&self, delay: Duration) {
        self.state.borrow_mut().delay = delay;
    }

    /// Discards the history of changes: watches from earlier revisions get status 410.
    pub fn compact(&self) {
        let mut state = self.state.borrow_mut();
        state.compacted = state.revision;
        state.log.clear();
    }

    /// Never answers the watches that are waiting now; later calls are answered.
    pub fn stall_watches(&self) {
        self.state.borrow_mut().watch_stalls += 1;
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    async fn handle(self, request: Request) -> Response<Body> {
        let response = self.answer(request).await;
        let era = self.state.borrow().era.to_string();
        reply::with_headers(response, &[("store-era", &era)])
    }

    async fn answer(&self, request: Request) -> Response<Body> {
        self.state.borrow_mut().calls += 1;
        let delay = self.state.borrow().delay;
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        if self.state.borrow().down {
            return reply::status(503);
        }
        let query = request.uri().query().unwrap_or_default().to_owned();
        let number_param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        match request.path() {
            "/-/kv-range" => self.page(),
            "/-/kv-watch" => {
                let after = number_param("after").unwrap_or(0);
                self.watch(after, number_param("wait_ms").unwrap_or(0)).await
            }
            _ => reply::status(404),
        }
    }

    fn page(&self) -> Response<Body> {
        let state = self.state.borrow();
        let items: Vec<Value> = state
            .items
            .iter()
            .map(|(key, (revision, value))| item_json(key, *revision, Some(value)))
            .collect();
        reply::json(&json!({ "items": items, "has_more": false, "at": state.revision }))
    }

    async fn watch(&self, after: u64, wait_ms: u64) -> Response<Body> {
        let (watch_stalls, era) = {
            let state = self.state.borrow();
            (state.watch_stalls, state.era)
        };
        if after > self.state.borrow().revision {
            return reply::status(410);
        }
        for _ in 0..=wait_ms / WATCH_POLL_INTERVAL.as_millis() as u64 {
            if self.state.borrow().revision > after {
                break;
            }
            actix_rt::time::sleep(WATCH_POLL_INTERVAL).await;
            if self.state.borrow().watch_stalls > watch_stalls {
                std::future::pending::<()>().await;
            }
            if self.state.borrow().era > era {
                return reply::status(503);
            }
        }
        let state = self.state.borrow();
        if after < state.compacted {
            return reply::status(410);
        }
        let later = state.log.iter().filter(|(revision, ..)| *revision > after);
        let events: Vec<Value> =
            later.map(|(revision, key, value)| item_json(key, *revision, value.as_ref())).collect();
        reply::json(&json!({ "events": events, "at": state.revision }))
    }
}

fn item_json(key: &str, revision: u64, value: Option<&Value>) -> Value {
    match value {
        Some(value) => {
            let text = STANDARD.encode(value.to_string());
            json!({ "key": key, "value": text, "revision": revision, "created": 1, "lease": 0 })
        }
        None => json!({ "key": key, "revision": revision, "tombstone": true }),
    }
}
