//! Simulated engine that holds a version of the weights, queues requests and can crash.

mod busy;
mod load;

use std::{
    cell::RefCell,
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use actix_http::{HttpMessage as _, HttpService, Method, Request, Response};
use actix_rt::{net::TcpListener, time::sleep};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, mpsc};

use self::{busy::BusyTimes, load::OrderHang};
use super::{
    journal::{AttemptId, Journal, Run},
    staged::StagedChunks,
};
use crate::{
    hosted::registry_entry,
    reply::{self, Body},
};

/// Number of events of a complete stream.
pub(super) const STREAM_EVENTS: u64 = 6;
/// Number of requests that run concurrently.
const SLOTS: usize = 4;
/// Number of requests that may wait for a slot.
const MAX_WAITING: u32 = 4;
/// Maximum time from the slot to the first token, in milliseconds.
const MAX_PREFILL_MS: u64 = 120;
/// The same of a slow engine.
const SLOW_PREFILL_MS: u64 = 3_000;
/// Maximum time of an answer that is not a stream, in milliseconds.
const MAX_ANSWER_MS: u64 = 250;
/// Maximum pause between two events, in milliseconds.
const MAX_EVENT_MS: u64 = 40;
/// One in so many answers of a flaky engine breaks off.
const FLAKY_RATIO: u32 = 8;

#[derive(Debug)]
struct State {
    instance: String,
    /// The version held, `None` after a start.
    version: Option<u64>,
    loading: bool,
    /// Number of load orders begun since the start.
    orders: u64,
    /// Number of starts; what an earlier start began is void.
    epoch: u64,
    started_ms: u64,
    running: u32,
    waiting: u32,
    flaky: bool,
    slow: bool,
    leaving: bool,
    /// Whether all answers say that it leaves.
    says_leaving: bool,
    pause: Option<Pause>,
    /// The requests per second that it takes from all gateways together.
    rate_limit: Option<u32>,
    /// The staged chunks; they outlive a crash.
    staged: StagedChunks,
    /// The chunks that were unusable as the version held was loaded.
    unusable: Vec<u64>,
    /// How it hangs with its next order.
    order_hang: Option<OrderHang>,
    /// The time until which it answers nothing.
    hangs_until: Option<Instant>,
    /// How it meets orders and staging calls in a storm.
    busy: Option<BusyTimes>,
    /// Number of loads begun since the start of the soak.
    loads: u32,
    rng: SmallRng,
}

/// The answer to requests while the engine turns them away.
#[derive(Clone, Debug)]
pub(super) struct Pause {
    /// The time that it asks for.
    pub(super) time: Duration,
    /// Whether it says that the request did not run.
    pub(super) not_run: bool,
}

/// A running simulated engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    state: Rc<RefCell<State>>,
    slots: Arc<Semaphore>,
    journal: Journal,
}

/// The head of a request as far as the engine uses it.
struct Head {
    attempt: AttemptId,
    version: Option<u64>,
    account: Option<String>,
    last_event: Option<u64>,
    deadline: Instant,
    stream: bool,
    arrived: Instant,
}

impl Engine {
    /// Starts an engine that holds `version`; fails if the address cannot be bound.
    pub(super) async fn start(
        addr: SocketAddr,
        instance: &str,
        version: u64,
        seed: u64,
        journal: &Journal,
    ) -> anyhow::Result<Self> {
        let state = State {
            instance: instance.to_owned(),
            version: Some(version),
            loading: false,
            orders: 0,
            epoch: 0,
            started_ms: unix_ms(),
            running: 0,
            waiting: 0,
            flaky: false,
            slow: false,
            leaving: false,
            says_leaving: false,
            pause: None,
            rate_limit: None,
            staged: StagedChunks::complete(version),
            unusable: vec![],
            order_hang: None,
            hangs_until: None,
            busy: None,
            loads: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        let engine = Self {
            state: Rc::new(RefCell::new(state)),
            slots: Arc::new(Semaphore::new(SLOTS)),
            journal: journal.clone(),
        };
        engine.clone().listen(addr).await?;
        Ok(engine)
    }

    /// Serves requests; one whose connection closes is dropped, also while it waits.
    async fn listen(self, addr: SocketAddr) -> anyhow::Result<()> {
        let listener = TcpListener::bind(addr).await?;
        let service = fn_service(move |request: Request| {
            let response = self.clone().handle(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let factory = HttpService::build().h1_allow_half_closed(false).h1(service).tcp();
        let service = factory.new_service(()).await;
        let service = service.map_err(|()| anyhow::anyhow!("cannot create the HTTP service"))?;
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(service.call(stream));
            }
        });
        Ok(())
    }

    /// Returns the id of the engine.
    pub(super) fn instance(&self) -> String {
        self.state.borrow().instance.clone()
    }

    /// Returns the version held.
    pub(super) fn version(&self) -> Option<u64> {
        self.state.borrow().version
    }

    /// Returns its entry in the list of endpoints, under the address that callers use.
    pub(super) fn entry(&self, addr: SocketAddr) -> Value {
        let state = self.state.borrow();
        let mut entry = registry_entry(addr, if state.leaving { "draining" } else { "ready" });
        entry["models"] = self.models(&state);
        entry["born"] = json!(state.started_ms);
        entry
    }

    /// Sets whether some answers break off.
    pub(super) fn set_flaky(&self, flaky: bool) {
        self.state.borrow_mut().flaky = flaky;
    }

    /// Sets whether the engine takes long to begin a request.
    pub(super) fn set_slow(&self, slow: bool) {
        self.state.borrow_mut().slow = slow;
    }

    /// Sets whether the engine reports that it is leaving.
    pub(super) fn set_leaving(&self, leaving: bool) {
        self.state.borrow_mut().leaving = leaving;
    }

    /// Returns whether the engine reports that it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.state.borrow().leaving
    }

    /// Sets that all answers say the engine leaves, until it starts again.
    pub(super) fn say_leaving(&self) {
        self.state.borrow_mut().says_leaving = true;
    }

    /// Sets whether the engine turns all requests away and asks for a pause.
    pub(super) fn set_pause(&self, pause: Option<Pause>) {
        self.state.borrow_mut().pause = pause;
    }

    /// Sets the rate limit that all answers advertise, in tenths of a request per second.
    pub(super) fn set_rate_limit(&self, rate_limit: Option<u32>) {
        self.state.borrow_mut().rate_limit = rate_limit;
        self.journal
            .set_rate_limit(&self.instance(), rate_limit.map(|rate| f64::from(rate) / 10.0));
    }

    /// Ends all that runs and starts again under an id, holding `version`.
    pub(super) fn restart(&self, instance: &str, version: Option<u64>) {
        let mut state = self.state.borrow_mut();
        self.journal.restart(&state.instance, instance);
        state.instance = instance.to_owned();
        state.epoch += 1;
        (state.version, state.loading, state.leaving) = (version, false, false);
        (state.orders, state.started_ms) = (0, unix_ms());
        state.rate_limit = None;
        (state.says_leaving, state.pause) = (false, None);
        (state.order_hang, state.hangs_until) = (None, None);
        state.unusable.clear();
        if let Some(busy) = &mut state.busy {
            busy.until = None;
        }
    }

    fn models(&self, state: &State) -> Value {
        state.version.map_or(json!([]), |version| json!([{ "name": "assist", "version": version }]))
    }

    async fn handle(self, mut request: Request) -> Response<Body> {
        let path = request.path().to_owned();
        let chunk = reply::query(&request, "sample_count").and_then(|text| text.parse().ok());
        let step = path.split('/').nth(2);
        if matches!(step, Some("report" | "stage-put" | "stage-get"))
            && !self.wait_while_hanging().await
        {
            return broken_off();
        }
        match (step, request.method()) {
            (Some("report"), _) => self.report(),
            (Some("order"), &Method::POST) => {
                let body = reply::read_body(&mut request).await;
                self.order(&body).await
            }
            (Some("stage-put"), _) => {
                let body = reply::read_body(&mut request).await;
                self.stage(chunk.unwrap_or(0), body).await
            }
            (Some("stage-get"), _) => self.read_staged(chunk.unwrap_or(0)).await,
            _ => {
                let response = self.serve(&request).await;
                self.advertise(&request, response)
            }
        }
    }

    /// Returns the answer with which the engine asks for a pause, if it does.
    fn ask_for_pause(&self, attempt: AttemptId) -> Option<Response<Body>> {
        let Pause { time, not_run } = self.state.borrow().pause.clone()?;
        self.journal.ask_for_pause(attempt, &self.instance(), time);
        let (id, seconds) = (attempt.to_string(), time.as_secs_f64().to_string());
        let headers =
            [("attempt-id", id.as_str()), ("retry-after", &seconds), ("not-executed", "1")];
        Some(reply::with_headers(reply::status(503), &headers[..2 + usize::from(not_run)]))
    }

    /// Adds to an answer whether the engine leaves, and its rate limit.
    fn advertise(&self, request: &Request, mut response: Response<Body>) -> Response<Body> {
        let (rate, says_leaving) = {
            let state = self.state.borrow();
            (state.rate_limit, state.says_leaving)
        };
        let attempt = request.headers().get("attempt-id");
        let attempt = attempt.and_then(|id| id.to_str().ok()?.parse().ok()).unwrap_or_default();
        let instance = self.instance();
        if says_leaving {
            self.journal.say_leaving(attempt, &instance);
            let stamp = format!("signed-{instance}");
            let headers = [("server-leaving", "1"), ("server-stamp", &stamp)];
            response = reply::with_headers(response, &headers);
        }
        let Some(rate) = rate else { return response };
        self.journal.tell_rate_limit(attempt, &instance);
        let rate = format!("{}.{}", rate / 10, rate % 10);
        reply::with_headers(response, &[("server-limit", &rate)])
    }

    fn report(&self) -> Response<Body> {
        let state = self.state.borrow();
        reply::json(&json!({
            "stage": "combined", "models": self.models(&state), "busy": state.loading,
            "sequence": state.orders, "waiting": state.waiting, "running": state.running,
            "kv_used": 0, "kv_total": 90_000, "handles": 0, "born": state.started_ms
        }))
    }

    /// Queues a request, runs it and answers it.
    async fn serve(&self, request: &Request) -> Response<Body> {
        let text = |name: &str| request.headers().get(name)?.to_str().ok();
        let number = |name: &str| text(name)?.parse::<u64>().ok();
        let id = text("attempt-id").unwrap_or_default();
        let (Ok(attempt), arrived) = (id.parse::<AttemptId>(), Instant::now()) else {
            return reply::status(400);
        };
        let head = Head {
            attempt,
            version: number("expect-version"),
            account: text("tenant").map(str::to_owned),
            last_event: number("last-event-id"),
            deadline: arrived + Duration::from_millis(number("deadline-ms").unwrap_or(3_000)),
            stream: request.path().starts_with("/stream/"),
            arrived,
        };
        let expected = text("expect-instance");
        if expected.is_some_and(|instance| instance != self.state.borrow().instance) {
            return not_run(421, id);
        }
        self.journal.check_rate(attempt, &self.instance());
        self.journal.check_notices(attempt, &self.instance());
        if !self.wait_while_hanging().await {
            return broken_off();
        }
        if let Some(response) = self.ask_for_pause(attempt) {
            return response;
        }
        if let Some(status) = self.refusal(&head) {
            return not_run(status, id);
        }
        self.journal.check_arrival(attempt, &self.instance());
        let epoch = self.state.borrow().epoch;
        let body = self.run(&head).await;
        if self.state.borrow().epoch != epoch {
            return broken_off();
        }
        match body {
            Ok(body) => {
                let stamp = format!("signed-{}", self.instance());
                let response = Response::with_body(actix_http::StatusCode::OK, body);
                reply::with_headers(response, &[("attempt-id", id), ("server-stamp", &stamp)])
            }
            Err(status) => not_run(status, id),
        }
    }

    /// Returns the status with which a request cannot begin now.
    fn refusal(&self, head: &Head) -> Option<u16> {
        let state = self.state.borrow();
        let mismatch = head.version.is_some() && head.version != state.version;
        match () {
            () if mismatch || state.version.is_none() => Some(421),
            () if state.loading || state.waiting >= MAX_WAITING => Some(503),
            () if Instant::now() > head.deadline => Some(503),
            () => None,
        }
    }

    /// Runs a request in a slot; returns its body, or the status with which it did not run.
    async fn run(&self, head: &Head) -> Result<Body, u16> {
        let epoch = self.state.borrow().epoch;
        let waiting = Counter::new(self, |state| &mut state.waiting);
        let slot = self.slots.clone().acquire_owned().await.map_err(|_| 503_u16)?;
        let (prefill, work) = {
            let mut state = self.state.borrow_mut();
            let max_prefill = if state.slow { SLOW_PREFILL_MS } else { MAX_PREFILL_MS };
            (state.rng.random_range(0..max_prefill), state.rng.random_range(20..MAX_ANSWER_MS))
        };
        sleep(Duration::from_millis(prefill)).await;
        drop(waiting);
        if self.state.borrow().epoch != epoch {
            return Ok(Body::aborted());
        }
        if let Some(status) = self.refusal(head) {
            return Err(status);
        }
        let run = Run {
            instance: self.instance(),
            version: self.version().unwrap_or(0),
            unusable: self.state.borrow().unusable.clone(),
            versioned: head.version.is_some(),
            account: head.account.clone(),
            arrived: head.arrived,
        };
        self.journal.begin_run(head.attempt, run);
        let running = Counter::new(self, |state| &mut state.running);
        let breaks = self.breaks_off();
        if head.stream {
            return Ok(self.stream(head, epoch, breaks, (slot, running)));
        }
        sleep(Duration::from_millis(work)).await;
        let whole = Body::Full(format!("done {}", head.attempt).into());
        Ok(if breaks { Body::aborted() } else { whole })
    }

    /// Sends the events of a stream, the last one only in part if it breaks off.
    fn stream<G: 'static>(&self, head: &Head, epoch: u64, breaks: bool, guard: G) -> Body {
        let (pieces, body) = mpsc::unbounded_channel();
        let (engine, attempt) = (self.clone(), head.attempt);
        let first = head.last_event.map_or(1, |last| last + 1);
        actix_rt::spawn(async move {
            let _guard = guard;
            for number in first..=STREAM_EVENTS {
                let pause = engine.state.borrow_mut().rng.random_range(1..MAX_EVENT_MS);
                sleep(Duration::from_millis(pause)).await;
                let text = format!("id: {number}\ndata: {attempt}\n\n");
                let broken = breaks && number == STREAM_EVENTS / 2;
                let piece = if broken { text[..10].to_owned() } else { text };
                let sent = pieces.send(Bytes::from(piece)).is_ok();
                if !sent || broken || engine.state.borrow().epoch != epoch {
                    return;
                }
            }
            // An empty piece ends the body; the reader may have left.
            let _ = pieces.send(Bytes::new());
        });
        Body::Stream(body)
    }

    fn breaks_off(&self) -> bool {
        let mut state = self.state.borrow_mut();
        state.flaky && state.rng.random_ratio(1, FLAKY_RATIO)
    }
}

/// Counts a request until it is dropped.
struct Counter {
    engine: Engine,
    pick: fn(&mut State) -> &mut u32,
}

impl Counter {
    fn new(engine: &Engine, pick: fn(&mut State) -> &mut u32) -> Self {
        *pick(&mut engine.state.borrow_mut()) += 1;
        Self { engine: engine.clone(), pick }
    }
}

impl Drop for Counter {
    fn drop(&mut self) {
        *(self.pick)(&mut self.engine.state.borrow_mut()) -= 1;
    }
}

/// The answer of an engine that ends meanwhile.
fn broken_off() -> Response<Body> {
    Response::with_body(actix_http::StatusCode::OK, Body::aborted())
}

fn not_run(status: u16, id: &str) -> Response<Body> {
    reply::with_headers(reply::status(status), &[("not-executed", "1"), ("attempt-id", id)])
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}
