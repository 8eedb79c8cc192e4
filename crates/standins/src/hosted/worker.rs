//! Simulated hosted endpoint that streams events and can fail in several ways.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{HttpMessage as _, Request, Response, StatusCode};
use bytes::Bytes;
use sequoiahold::http;
use tokio::sync::mpsc;

use crate::reply::{self, Body};

/// Number of events of a complete stream.
const STREAM_EVENTS: u64 = 6;

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
    /// Closes a stream in the middle of its third event.
    TruncateEvent,
    /// Answers without the `server-stamp` header.
    Unsigned,
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
    /// Last event that the caller received, from its `last-event-id` header.
    pub last_event: Option<u64>,
    /// Whether it has an `authorization` header.
    pub has_key: bool,
    /// Time of its arrival.
    pub arrived: Instant,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    rate_limit: Option<String>,
    requests: Vec<ServedRequest>,
    dropped_streams: u32,
}

/// A running simulated endpoint.
#[derive(Clone, Debug)]
pub struct Worker {
    instance: String,
    state: Rc<RefCell<State>>,
}

impl Worker {
    /// Starts an endpoint with an instance name; fails if the address cannot be bound.
    pub async fn start(addr: SocketAddr, instance: &str) -> anyhow::Result<Self> {
        let worker = Self { instance: instance.to_owned(), state: Rc::default() };
        let server = worker.clone();
        http::serve(addr, move |request| server.clone().handle(request)).await?;
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

    /// Returns the requests that the endpoint ran, in order.
    pub fn requests(&self) -> Vec<ServedRequest> {
        self.state.borrow().requests.clone()
    }

    /// Returns the number of streams whose reader disconnected before the end.
    pub fn dropped_streams(&self) -> u32 {
        self.state.borrow().dropped_streams
    }

    async fn handle(self, request: Request) -> Response<Body> {
        let response = self.answer(request).await;
        let rate_limit = self.state.borrow().rate_limit.clone();
        let headers = rate_limit.iter().map(|rate_limit| ("server-limit", rate_limit.as_str()));
        reply::with_headers(response, &headers.collect::<Vec<_>>())
    }

    async fn answer(&self, request: Request) -> Response<Body> {
        let text = |name: &str| {
            let value = request.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        if text("expect-instance").is_some_and(|instance| instance != self.instance) {
            return reply::status(421);
        }
        let behaviour = self.state.borrow().behaviour;
        if behaviour == Behaviour::AtCapacity {
            return reply::with_headers(reply::status(503), &[("not-executed", "1")]);
        }
        let attempt = text("attempt-id").unwrap_or_default();
        let last_event = text("last-event-id").and_then(|text| text.parse().ok());
        let has_key = request.headers().contains_key("authorization");
        let account = text("tenant");
        self.state.borrow_mut().requests.push(ServedRequest {
            attempt: attempt.clone(),
            account,
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
            _ if request.path().starts_with("/stream/") => self.stream(behaviour, last_event),
            _ => Body::Full(Bytes::from_static(b"done")),
        };
        let response = Response::with_body(StatusCode::OK, body);
        let signature = format!("signed-{}", self.instance);
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
