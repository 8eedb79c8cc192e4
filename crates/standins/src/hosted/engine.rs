//! Simulated engine of a hosted platform that loads staged chunks, which can turn bad.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use actix_http::{HttpMessage as _, Method, Request, Response, StatusCode};
use actix_rt::time::sleep;
use bytes::Bytes;
use sequoiahold::http;
use serde::Deserialize;
use serde_json::{Value, json};

use super::{
    Store, registry_entry,
    weights::{CHUNKS, MODEL, chunk},
};
use crate::reply::{self, Body, KeepAlive};

/// Time that a load takes.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Time for which a chunk may have been bad when it is loaded.
const BAD_GRACE: Duration = Duration::from_secs(3);

/// A load that the engine began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Load {
    /// The version that was ordered.
    pub version: u64,
    /// The chunks that were missing, of another version, or bad for longer than allowed.
    pub bad: Vec<u64>,
}

/// A request that the engine ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineRun {
    /// The version in use.
    pub version: u64,
    /// The chunks in use that were bad when they were loaded.
    pub bad: Vec<u64>,
}

/// A call of the loader on which a test acts, before the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// A staged chunk is read.
    Read(u64),
    /// A status report, with all chunks of a newer version staged and read back.
    ReportAfterCheck,
    /// An order, before it is accepted.
    Order,
    /// A chunk is staged, before the call takes effect.
    Stage(u64),
}

/// What becomes of an order, other than that it is accepted at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderFate {
    /// It stays open without an answer until [`WeightEngine::accept_held_order`].
    Held,
    /// It is lost and the connection breaks.
    Lost,
    /// It is answered with status 409.
    Rejected,
}

type Hook = Box<dyn FnOnce()>;

#[derive(Default)]
struct State {
    instance: String,
    started_ms: u64,
    version: Option<u64>,
    loading: bool,
    orders: u64,
    staged: BTreeMap<u64, Bytes>,
    bad_since: BTreeMap<u64, Instant>,
    /// The chunks read back since the last one was staged.
    read_back: BTreeSet<u64>,
    read_time: Duration,
    /// The time for which the next order waits before it is accepted.
    order_delay: Duration,
    order_fate: Option<OrderFate>,
    held_order: Option<Order>,
    /// The chunk of which the next call to stage it is held.
    held_chunk: Option<u64>,
    held_stagings: VecDeque<(u64, Bytes)>,
    /// The time until which no call is answered.
    hangs_until: Option<Instant>,
    loads: Vec<Load>,
    runs: Vec<EngineRun>,
    hook: Option<(Step, Hook)>,
}

/// A running simulated engine.
#[derive(Clone)]
pub struct WeightEngine {
    /// The keep-alive timeout that the engine announces.
    pub keep_alive: KeepAlive,
    addr: SocketAddr,
    store: Store,
    state: Rc<RefCell<State>>,
}

#[derive(Deserialize)]
struct Order {
    version: u64,
    precondition: Option<u64>,
}

impl WeightEngine {
    /// Starts an engine that holds `version`, which is also staged, and publishes its entry; fails
    /// if the address cannot be bound.
    pub async fn start(
        store: &Store,
        addr: SocketAddr,
        instance: &str,
        version: u64,
    ) -> anyhow::Result<Self> {
        let state = State {
            instance: instance.to_owned(),
            started_ms: unix_ms(),
            version: Some(version),
            staged: (0..CHUNKS).map(|number| (number, chunk(version, number))).collect(),
            ..State::default()
        };
        let engine = Self {
            keep_alive: KeepAlive::default(),
            addr,
            store: store.clone(),
            state: Rc::new(RefCell::new(state)),
        };
        let server = engine.clone();
        http::serve(addr, move |request| {
            let server = server.clone();
            async move { server.keep_alive.add_to(server.clone().handle(request).await) }
        })
        .await?;
        engine.publish();
        Ok(engine)
    }

    /// Calls `action` once, on the first call that is `step`.
    pub fn on_step(&self, step: Step, action: impl FnOnce() + 'static) {
        self.state.borrow_mut().hook = Some((step, Box::new(action)));
    }

    /// Sets the time that the engine takes to read a staged chunk.
    pub fn set_read_time(&self, time: Duration) {
        self.state.borrow_mut().read_time = time;
    }

    /// Sets the time after which the engine accepts its next order.
    pub fn delay_order(&self, time: Duration) {
        self.state.borrow_mut().order_delay = time;
    }

    /// Sets what becomes of the next order.
    pub fn set_order_fate(&self, fate: OrderFate) {
        self.state.borrow_mut().order_fate = Some(fate);
    }

    /// Returns whether an order is held.
    pub fn has_held_order(&self) -> bool {
        self.state.borrow().held_order.is_some()
    }

    /// Accepts the held order, if there is one, also if its sender is gone.
    pub fn accept_held_order(&self) {
        let order = self.state.borrow_mut().held_order.take();
        if let Some(order) = order {
            self.accept(&order);
        }
    }

    /// Has the next call to stage a chunk stay open without an answer until `finish_staging`.
    pub fn hold_staging(&self, chunk: u64) {
        self.state.borrow_mut().held_chunk = Some(chunk);
    }

    /// Returns the number of calls to stage a chunk that are held.
    pub fn held_stagings(&self) -> usize {
        self.state.borrow().held_stagings.len()
    }

    /// Has the first held call to stage a chunk take effect, also if its sender is gone.
    pub fn finish_staging(&self) {
        let mut state = self.state.borrow_mut();
        if let Some((number, data)) = state.held_stagings.pop_front() {
            state.staged.insert(number, data);
            state.bad_since.remove(&number);
        }
    }

    /// Leaves all calls waiting for a time, also an order that has just arrived.
    pub fn hang(&self, time: Duration) {
        self.state.borrow_mut().hangs_until = Some(Instant::now() + time);
    }

    /// Turns staged chunks bad.
    pub fn spoil(&self, chunks: &[u64]) {
        let mut state = self.state.borrow_mut();
        for number in chunks {
            state.staged.insert(*number, Bytes::from_static(b"bad"));
            state.bad_since.insert(*number, Instant::now());
        }
    }

    /// Loses power: weights, staged chunks and calls under way are gone, and it starts under this id.
    pub fn lose_power(&self, instance: &str) {
        let mut state = self.state.borrow_mut();
        self.store.put(&format!("servers/{}", state.instance), None);
        *state = State {
            instance: instance.to_owned(),
            started_ms: unix_ms(),
            loads: std::mem::take(&mut state.loads),
            runs: std::mem::take(&mut state.runs),
            ..State::default()
        };
        drop(state);
        self.publish();
    }

    /// Returns the version held.
    pub fn version(&self) -> Option<u64> {
        self.state.borrow().version
    }

    /// Returns the loads so far.
    pub fn loads(&self) -> Vec<Load> {
        self.state.borrow().loads.clone()
    }

    /// Returns the requests that ran so far.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.state.borrow().runs.clone()
    }

    fn publish(&self) {
        let state = self.state.borrow();
        let mut entry = registry_entry(self.addr, "ready");
        entry["models"] = models(&state);
        entry["born"] = json!(state.started_ms);
        self.store.put(&format!("servers/{}", state.instance), Some(entry));
    }

    async fn handle(self, mut request: Request) -> Response<Body> {
        let chunk = reply::query(&request, "sample_count").and_then(|text| text.parse().ok());
        let path = request.path().to_owned();
        self.wait_while_hanging().await;
        match (path.split('/').nth(2), request.method()) {
            (Some("report"), _) => {
                if self.is_checked() {
                    self.reach(Step::ReportAfterCheck);
                }
                reply::json(&self.report())
            }
            (Some("order"), &Method::POST) => {
                let body = reply::read_body(&mut request).await;
                let Ok(order) = serde_json::from_slice(&body) else { return reply::status(400) };
                self.reach(Step::Order);
                self.take_order(order).await
            }
            (Some("stage-put"), _) => {
                let body = reply::read_body(&mut request).await;
                self.reach(Step::Stage(chunk.unwrap_or(0)));
                self.stage(chunk.unwrap_or(0), body).await
            }
            (Some("stage-get"), _) => self.read(chunk.unwrap_or(0)).await,
            _ => self.run(&request),
        }
    }

    async fn wait_while_hanging(&self) {
        let until = self.state.borrow().hangs_until;
        if let Some(until) = until {
            sleep(until.saturating_duration_since(Instant::now())).await;
        }
    }

    async fn stage(&self, number: u64, data: Bytes) -> Response<Body> {
        {
            let mut state = self.state.borrow_mut();
            if state.held_chunk != Some(number) {
                state.staged.insert(number, data);
                state.bad_since.remove(&number);
                state.read_back.clear();
                return reply::status(200);
            }
            state.held_chunk = None;
            state.held_stagings.push_back((number, data));
        }
        std::future::pending().await
    }

    async fn take_order(&self, order: Order) -> Response<Body> {
        let (fate, delay) = {
            let mut state = self.state.borrow_mut();
            (state.order_fate.take(), std::mem::take(&mut state.order_delay))
        };
        match fate {
            None => self.accept_after(delay, order).await,
            Some(OrderFate::Held) => {
                self.state.borrow_mut().held_order = Some(order);
                std::future::pending().await
            }
            Some(OrderFate::Lost) => Response::with_body(StatusCode::OK, Body::aborted()),
            Some(OrderFate::Rejected) => reply::status(409),
        }
    }

    /// Accepts an order, also if its sender disconnects meanwhile.
    async fn accept_after(&self, delay: Duration, order: Order) -> Response<Body> {
        let engine = self.clone();
        let accepted = actix_rt::spawn(async move {
            sleep(delay).await;
            engine.wait_while_hanging().await;
            engine.accept(&order)
        });
        reply::status(accepted.await.unwrap_or(500))
    }

    fn accept(&self, order: &Order) -> u16 {
        let mut state = self.state.borrow_mut();
        if state.version == Some(order.version) && !state.loading {
            return 200;
        }
        if state.loading || order.precondition.is_some_and(|orders| orders != state.orders) {
            return 409;
        }
        let is_allowed = |number: &u64| {
            let bad_since = state.bad_since.get(number);
            state.staged.get(number) == Some(&chunk(order.version, *number))
                || bad_since.is_some_and(|since| since.elapsed() <= BAD_GRACE)
        };
        let bad: Vec<u64> = (0..CHUNKS).filter(|number| !is_allowed(number)).collect();
        state.loads.push(Load { version: order.version, bad });
        (state.loading, state.orders) = (true, state.orders + 1);
        let (engine, version, started_ms) = (self.clone(), order.version, state.started_ms);
        actix_rt::spawn(async move {
            sleep(LOAD_TIME).await;
            {
                let mut state = engine.state.borrow_mut();
                if state.started_ms != started_ms {
                    return;
                }
                (state.version, state.loading) = (Some(version), false);
            }
            engine.publish();
        });
        202
    }

    async fn read(&self, number: u64) -> Response<Body> {
        let (data, read_time) = {
            let mut state = self.state.borrow_mut();
            state.read_back.insert(number);
            (state.staged.get(&number).cloned(), state.read_time)
        };
        self.reach(Step::Read(number));
        sleep(read_time).await;
        data.map_or(reply::status(404), reply::data)
    }

    fn run(&self, request: &Request) -> Response<Body> {
        let text = |name: &str| request.headers().get(name)?.to_str().ok();
        let mut state = self.state.borrow_mut();
        let (id, instance) = (text("attempt-id").unwrap_or_default(), state.instance.clone());
        let version = state.version.map(|version| version.to_string());
        let refuse = |status| {
            let headers = [("not-executed", "1"), ("attempt-id", id)];
            reply::with_headers(reply::status(status), &headers)
        };
        if text("expect-instance").is_some_and(|expected| expected != instance)
            || text("expect-version").is_some_and(|expected| version.as_deref() != Some(expected))
        {
            return refuse(421);
        }
        let Some(version) = state.version.filter(|_| !state.loading) else { return refuse(503) };
        let bad = state.loads.last().map(|load| load.bad.clone()).unwrap_or_default();
        state.runs.push(EngineRun { version, bad });
        let stamp = format!("signed-{instance}");
        let headers = [("attempt-id", id), ("server-stamp", stamp.as_str())];
        reply::with_headers(reply::data(Bytes::from_static(b"done")), &headers)
    }

    fn report(&self) -> Value {
        let state = self.state.borrow();
        json!({
            "stage": "combined", "models": models(&state), "busy": state.loading,
            "sequence": state.orders, "waiting": 0, "running": 0, "kv_used": 0,
            "kv_total": 90_000, "handles": 0, "born": state.started_ms
        })
    }

    /// Returns whether all chunks of a newer version are staged and have been read back.
    fn is_checked(&self) -> bool {
        let state = self.state.borrow();
        let is_newer = state
            .staged
            .get(&0)
            .is_some_and(|data| state.version.is_some_and(|version| *data != chunk(version, 0)));
        is_newer && !state.loading && state.read_back.len() as u64 == CHUNKS
    }

    fn reach(&self, step: Step) {
        let hook = {
            let mut state = self.state.borrow_mut();
            match &state.hook {
                Some((expected, _)) if *expected == step => state.hook.take(),
                _ => None,
            }
        };
        if let Some((_, action)) = hook {
            action();
        }
    }
}

fn models(state: &State) -> Value {
    state.version.map_or(json!([]), |version| json!([{ "name": MODEL, "version": version }]))
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}
