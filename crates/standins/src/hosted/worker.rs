//! Stand-in of a hosted endpoint: streams of events, and answers that are lost in several ways.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    HttpMessage as _, Request, Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use bytes::Bytes;
use sequoiahold::http;
use tokio::sync::mpsc;

use crate::reply::{self, Body};

/// Events of a whole stream.
const STREAM_EVENTS: u64 = 6;

/// Time from the beginning of an event to the break within it.
const ABORT_DELAY: Duration = Duration::from_millis(50);

/// How an endpoint answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Soundly.
    #[default]
    Normal,
    /// It runs the request and closes the connection without an answer.
    CloseUnanswered,
    /// It runs the request and never answers.
    NeverAnswer,
    /// It is full and does not run the request.
    AtCapacity,
    /// It breaks a stream off within its third event.
    TruncateEvent,
    /// It answers without its signature.
    Unsigned,
    /// It sends one event each so often.
    Slow(Duration),
}

/// What a test reads of one request that ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServedRequest {
    /// The id of the caller's attempt.
    pub attempt: String,
    /// The client account.
    pub account: Option<String>,
    /// The last event that the caller holds.
    pub last_event: Option<u64>,
    /// Whether an API key came with it.
    pub has_key: bool,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    requests: Vec<ServedRequest>,
    dropped_streams: u32,
}

/// A running endpoint.
#[derive(Clone, Debug)]
pub struct Worker {
    instance: String,
    state: Rc<RefCell<State>>,
}

impl Worker {
    /// Starts an endpoint.
    pub async fn start(addr: SocketAddr, instance: &str) -> anyhow::Result<Self> {
        let worker = Self { instance: instance.to_owned(), state: Rc::default() };
        let server = worker.clone();
        http::serve(addr, move |request| server.clone().handle(request)).await?;
        Ok(worker)
    }

    /// Sets how the endpoint answers from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.borrow_mut().behaviour = behaviour;
    }

    /// Returns the requests that ran.
    pub fn requests(&self) -> Vec<ServedRequest> {
        self.state.borrow().requests.clone()
    }

    /// Returns how many streams lost their reader.
    pub fn dropped_streams(&self) -> u32 {
        self.state.borrow().dropped_streams
    }

    async fn handle(self, request: Request) -> Response<Body> {
        let text = |name: &str| {
            let value = request.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        if text("expect-instance").is_some_and(|instance| instance != self.instance) {
            return reply::status(421);
        }
        let behaviour = self.state.borrow().behaviour;
        if behaviour == Behaviour::AtCapacity {
            return with_headers(reply::status(503), &[("not-executed", "1")]);
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
        });
        let body = match behaviour {
            Behaviour::NeverAnswer => {
                actix_rt::time::sleep(Duration::from_secs(60)).await;
                Body::broken()
            }
            Behaviour::CloseUnanswered => Body::broken(),
            _ if request.path().starts_with("/stream/") => self.stream(behaviour, last_event),
            _ => Body::Whole(Bytes::from_static(b"done")),
        };
        let response = Response::with_body(StatusCode::OK, body);
        let signature = format!("signed-{}", self.instance);
        let mut headers = vec![("attempt-id", attempt.as_str())];
        if behaviour != Behaviour::Unsigned {
            headers.push(("server-stamp", signature.as_str()));
        }
        with_headers(response, &headers)
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
                    // A reset at once could overtake the events before it.
                    actix_rt::time::sleep(ABORT_DELAY).await;
                    return;
                }
            }
            // An empty piece is the sound end; a closed channel means that the reader left.
            if pieces.send(Bytes::new()).is_err() {
                state.borrow_mut().dropped_streams += 1;
            }
        });
        Body::Pieces(body)
    }
}

fn with_headers(mut response: Response<Body>, headers: &[(&'static str, &str)]) -> Response<Body> {
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(HeaderName::from_static(name), value);
        }
    }
    response
}
