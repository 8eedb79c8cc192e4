//! Simulated hosted endpoint that streams events and can fail in several ways.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{ConnectionType, HttpMessage as _, Request, Response, StatusCode};
use bytes::Bytes;
use sequoiahold::http;
use tokio::sync::mpsc;

use crate::reply::{self, Body, KeepAlive};

/// Number of events of a complete stream.
const STREAM_EVENTS: u64 = 6;
/// Number of events that are written together, where they are.
const GROUP_EVENTS: usize = 3;
/// Pause between two groups of events, so that each arrives by itself.
const GROUP_PAUSE: Duration = Duration::from_millis(20);

/// Time from sending the start of a truncated event to closing the connection.
const ABORT_DELAY: Duration = Duration::from_millis(50);

/// Interval between the pieces of a body without end.
const ENDLESS_INTERVAL: Duration = Duration::from_millis(2);
/// Number of pieces after which a body without end is given up; far above what a reader may take.
const MAX_ENDLESS_PIECES: u32 = 5_000;

/// How the endpoint answers requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Runs and answers every request.
    #[default]
    Normal,
    /// Runs the request and closes the connection without an answer.
    CloseUnanswered,
    /// Runs the request and sends no answer for 60 s.
    NeverAnswer,
    /// Refuses the request with status 503 without running it.
    AtCapacity,
    /// Answers with this status, without running the request and without saying so.
    Fail(u16),
    /// Answers with this status and says that it did not run the request.
    Refuse(u16),
    /// Runs the request and sends the head of its answer after this time, with the headers as of
    /// the arrival.
    LateHead(Duration),
    /// Refuses the request with status 503 after this time, with the headers as of the arrival.
    LateRefusal(Duration),
    /// Closes the connection after the head of an answer.
    BreakAfterHead,
    /// Closes a stream in the middle of its third event.
    TruncateEvent,
    /// Answers without the `server-stamp` header.
    Unsigned,
    /// Writes three events of a stream at a time; in a stream from the start, the event of this number
    /// has this id.
    SpoiltId(u64, &'static str),
    /// Waits for this time before each event of a stream.
    Slow(Duration),
    /// Sends a body without events and without end, until the reader disconnects.
    EndlessBody,
}

/// A request that the endpoint ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServedRequest {
    /// Value of its `attempt-id` header.
    pub attempt: String,
    /// Client account in its `tenant` header.
    pub account: Option<String>,
    /// Priority in its `request-priority` header.
    pub priority: Option<String>,
    /// Last event that the caller received, from its `last-event-id` header.
    pub last_event: Option<u64>,
    /// Whether it has an `authorization` header.
    pub has_key: bool,
    /// Time of its arrival.
    pub arrived: Instant,
}

/// A request that reached the endpoint, whether it ran or was turned away.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Value of its `attempt-id` header, `None` for a request that no caller sent.
    pub attempt: Option<String>,
    /// The instance that it reached.
    pub instance: String,
    /// The status of the answer, `None` until its head is sent.
    pub status: Option<u16>,
    /// Time of its arrival.
    pub at: Instant,
}

/// Whether and how an endpoint says that it leaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Leave {
    /// It stays.
    #[default]
    Stays,
    /// It says so in all answers and goes on to serve.
    Serves,
    /// It says so in all answers and closes each connection after the answer.
    Closes,
}

#[derive(Debug, Default)]
struct State {
    instance: String,
    behaviour: Behaviour,
    rate_limit: Option<String>,
    retry_after: Option<String>,
    leave: Leave,
    mismatch: Option<u16>,
    arrivals: Vec<Arrival>,
    requests: Vec<ServedRequest>,
    dropped_streams: u32,
}

/// A running simulated endpoint.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The keep-alive timeout that the endpoint announces.
    pub keep_alive: KeepAlive,
    state: Rc<RefCell<State>>,
}

impl Worker {
    /// Starts an endpoint with an instance name; fails if the address cannot be bound.
    pub async fn start(addr: SocketAddr, instance: &str) -> anyhow::Result<Self> {
        let state = State { instance: instance.to_owned(), ..State::default() };
        let worker = Self { keep_alive: KeepAlive::default(), state: Rc::new(RefCell::new(state)) };
        let server = worker.clone();
        http::serve(addr, move |request| {
            let server = server.clone();
            async move { server.keep_alive.add_to(server.clone().handle(request).await) }
        })
        .await?;
        Ok(worker)
    }

    /// Sets the behaviour for subsequent requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.borrow_mut().behaviour = behaviour;
    }

    /// Sets the value of the `server-limit` header of all answers, `None` for answers without it.
    pub fn set_rate_limit(&self, rate_limit: Option<&str>) {
        self.state.borrow_mut().rate_limit = rate_limit.map(str::to_owned);
    }

    /// Sets the value of the `retry-after` header of answers with status 503, `None` for answers
    /// without it.
    pub fn set_retry_after(&self, retry_after: Option<&str>) {
        self.state.borrow_mut().retry_after = retry_after.map(str::to_owned);
    }

    /// Sets the status with which requests for another instance are turned away, 421 by default.
    pub fn set_mismatch(&self, status: u16) {
        self.state.borrow_mut().mismatch = Some(status);
    }

    /// Sets whether all answers have the header `server-leaving`.
    pub fn set_leave(&self, leave: Leave) {
        self.state.borrow_mut().leave = leave;
    }

    /// Starts again under an instance name, with the usual behaviour.
    pub fn restart(&self, instance: &str) {
        let mut state = self.state.borrow_mut();
        state.instance = instance.to_owned();
        state.behaviour = Behaviour::Normal;
        (state.rate_limit, state.retry_after, state.leave) = (None, None, Leave::Stays);
    }

    /// Returns the requests that reached the endpoint, also those that it turned away, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.borrow().arrivals.clone()
    }

    /// Returns the requests that the endpoint ran, in order.
    pub fn requests(&self) -> Vec<ServedRequest> {
        self.state.borrow().requests.clone()
    }

    /// Returns the number of streams whose reader disconnected before the end.
    pub fn dropped_streams(&self) -> u32 {
        self.state.borrow().dropped_streams
    }

    async fn handle(self, request: Request) -> Response<Body> {
        let attempt = request.headers().get("attempt-id").and_then(|value| value.to_str().ok());
        let (number, leave, late) = {
            let mut state = self.state.borrow_mut();
            let (instance, attempt) = (state.instance.clone(), attempt.map(str::to_owned));
            state.arrivals.push(Arrival { attempt, instance, status: None, at: Instant::now() });
            (state.arrivals.len() - 1, state.leave, state.behaviour)
        };
        let retry_after = self.state.borrow().retry_after.clone();
        let response = self.answer(request).await;
        if let Behaviour::LateHead(delay) | Behaviour::LateRefusal(delay) = late {
            actix_rt::time::sleep(delay).await;
        }
        let mut state = self.state.borrow_mut();
        state.arrivals[number].status = Some(response.status().as_u16());
        let rate_limit = state.rate_limit.iter().map(|value| ("server-limit", value.as_str()));
        let pauses = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = retry_after.iter().filter(|_| pauses);
        let headers = rate_limit
            .chain(retry_after.map(|value| ("retry-after", value.as_str())))
            .chain((leave != Leave::Stays).then_some(("server-leaving", "1")));
        let mut response = reply::with_headers(response, &headers.collect::<Vec<_>>());
        if leave == Leave::Closes {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

    async fn answer(&self, request: Request) -> Response<Body> {
        let text = |name: &str| {
            let value = request.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let (instance, behaviour, mismatch) = {
            let state = self.state.borrow();
            (state.instance.clone(), state.behaviour, state.mismatch.unwrap_or(421))
        };
        let attempt = text("attempt-id").unwrap_or_default();
        if text("expect-instance").is_some_and(|expected| expected != instance) {
            return refuse(mismatch, &attempt);
        }
        match behaviour {
            Behaviour::AtCapacity => {
                return reply::with_headers(reply::status(503), &[("not-executed", "1")]);
            }
            Behaviour::Fail(status) => {
                let echo = [("attempt-id", attempt.as_str())];
                return reply::with_headers(reply::status(status), &echo);
            }
            Behaviour::Refuse(status) => return refuse(status, &attempt),
            Behaviour::LateRefusal(_) => return refuse(503, &attempt),
            _ => {}
        }
        let last_event = text("last-event-id").and_then(|text| text.parse().ok());
        let has_key = request.headers().contains_key("authorization");
        let account = text("tenant");
        self.state.borrow_mut().requests.push(ServedRequest {
            attempt: attempt.clone(),
            account,
            priority: text("request-priority"),
            last_event,
            has_key,
            arrived: Instant::now(),
        });
        let body = match behaviour {
            Behaviour::NeverAnswer => {
                actix_rt::time::sleep(Duration::from_secs(60)).await;
                Body::aborted()
            }
            Behaviour::CloseUnanswered => Body::aborted(),
            Behaviour::EndlessBody => self.endless_body(),
            Behaviour::BreakAfterHead => break_after_head(),
            Behaviour::SpoiltId(event, id) => Body::Stream(grouped_events(last_event, (event, id))),
            _ if request.path().starts_with("/stream/") => self.stream(behaviour, last_event),
            _ => Body::Full(Bytes::from_static(b"done")),
        };
        let response = Response::with_body(StatusCode::OK, body);
        let signature = format!("signed-{instance}");
        let mut headers = vec![("attempt-id", attempt.as_str())];
        if behaviour != Behaviour::Unsigned {
            headers.push(("server-stamp", signature.as_str()));
        }
        reply::with_headers(response, &headers)
    }

    fn endless_body(&self) -> Body {
        let (pieces, body) = mpsc::unbounded_channel();
        let state = self.state.clone();
        actix_rt::spawn(async move {
            for _ in 0..MAX_ENDLESS_PIECES {
                if pieces.send(Bytes::from_static(&[b'x'; 65_536])).is_err() {
                    break;
                }
                actix_rt::time::sleep(ENDLESS_INTERVAL).await;
            }
            state.borrow_mut().dropped_streams += 1;
        });
        Body::Stream(body)
    }

    fn stream(&self, behaviour: Behaviour, last_event: Option<u64>) -> Body {
        let (pieces, body) = mpsc::unbounded_channel();
        let state = self.state.clone();
        actix_rt::spawn(async move {
            for number in last_event.map_or(1, |last| last + 1)..=STREAM_EVENTS {
                if let Behaviour::Slow(pause) = behaviour {
                    actix_rt::time::sleep(pause).await;
                }
                let truncated = behaviour == Behaviour::TruncateEvent && number == 3;
                let text = format!("id: {number}\ndata: token {number}\n\n");
                let piece = if truncated { text[..10].to_owned() } else { text };
                if pieces.send(piece.into()).is_err() {
                    state.borrow_mut().dropped_streams += 1;
                    return;
                }
                if truncated {
                    // An immediate connection reset could discard the events sent before it.
                    actix_rt::time::sleep(ABORT_DELAY).await;
                    return;
                }
            }
            // An empty piece ends the body; sending fails if the reader has disconnected.
            if pieces.send(Bytes::new()).is_err() {
                state.borrow_mut().dropped_streams += 1;
            }
        });
        Body::Stream(body)
    }
}

/// Returns the rest of a stream in groups of events, with one other id where it is the whole stream.
fn grouped_events(
    last_event: Option<u64>,
    (spoilt, id): (u64, &'static str),
) -> mpsc::UnboundedReceiver<Bytes> {
    let (pieces, body) = mpsc::unbounded_channel();
    let numbers: Vec<u64> = (last_event.map_or(1, |last| last + 1)..=STREAM_EVENTS).collect();
    actix_rt::spawn(async move {
        for group in numbers.chunks(GROUP_EVENTS) {
            let event = |number: &u64| match last_event {
                None if *number == spoilt => format!("id: {id}\ndata: token {number}\n\n"),
                _ => format!("id: {number}\ndata: token {number}\n\n"),
            };
            let _ = pieces.send(group.iter().map(event).collect::<String>().into());
            actix_rt::time::sleep(GROUP_PAUSE).await;
        }
        let _ = pieces.send(Bytes::new());
    });
    body
}

/// Returns a body without a byte that is aborted once its head is sent.
fn break_after_head() -> Body {
    let (pieces, body) = mpsc::unbounded_channel();
    actix_rt::spawn(async move {
        actix_rt::time::sleep(ABORT_DELAY).await;
        drop(pieces);
    });
    Body::Stream(body)
}

fn refuse(status: u16, attempt: &str) -> Response<Body> {
    let headers = [("not-executed", "1"), ("attempt-id", attempt)];
    reply::with_headers(reply::status(status), &headers)
}
