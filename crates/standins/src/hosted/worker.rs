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
const EVENTS: u64 = 6;

/// Time from the beginning of an event to the break within it.
const BREAK: Duration = Duration::from_millis(50);

/// How an endpoint answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Soundly.
    #[default]
    Sound,
    /// It runs the request and closes the connection without an answer.
    Lost,
    /// It runs the request and never answers.
    Mute,
    /// It is full and does not run the request.
    Full,
    /// It breaks a stream off within its third event.
    Torn,
    /// It answers without its signature.
    Unsigned,
    /// It sends one event each so often.
    Slow(Duration),
}

/// What a test reads of one request that ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ran {
    /// The id of the caller's attempt.
    pub attempt: String,
    /// The client account.
    pub account: Option<String>,
    /// The last event that the caller holds.
    pub last: Option<u64>,
    /// Whether an API key came with it.
    pub key: bool,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    ran: Vec<Ran>,
    dropped: u32,
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
        http::serve(addr, move |request| server.clone().answer(request)).await?;
        Ok(worker)
    }

    /// Sets how the endpoint answers from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        self.state.borrow_mut().behaviour = behaviour;
    }

    /// Returns the requests that ran.
    pub fn ran(&self) -> Vec<Ran> {
        self.state.borrow().ran.clone()
    }

    /// Returns how many streams lost their reader.
    pub fn dropped(&self) -> u32 {
        self.state.borrow().dropped
    }

    async fn answer(self, request: Request) -> Response<Body> {
        let text = |name: &str| {
            let value = request.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        if text("expect-instance").is_some_and(|instance| instance != self.instance) {
            return reply::status(421);
        }
        let behaviour = self.state.borrow().behaviour;
        if behaviour == Behaviour::Full {
            return with(reply::status(503), &[("not-executed", "1")]);
        }
        let attempt = text("attempt-id").unwrap_or_default();
        let last = text("last-event-id").and_then(|text| text.parse().ok());
        let key = request.headers().contains_key("authorization");
        let account = text("tenant");
        self.state.borrow_mut().ran.push(Ran { attempt: attempt.clone(), account, last, key });
        let body = match behaviour {
            Behaviour::Mute => {
                actix_rt::time::sleep(Duration::from_secs(60)).await;
                Body::aborted()
            }
            Behaviour::Lost => Body::aborted(),
            _ if request.path().starts_with("/stream/") => self.stream(behaviour, last),
            _ => Body::Full(Bytes::from_static(b"done")),
        };
        let response = Response::with_body(StatusCode::OK, body);
        let signature = format!("signed-{}", self.instance);
        let mut headers = vec![("attempt-id", attempt.as_str())];
        if behaviour != Behaviour::Unsigned {
            headers.push(("server-stamp", signature.as_str()));
        }
        with(response, &headers)
    }

    fn stream(&self, behaviour: Behaviour, last: Option<u64>) -> Body {
        let (pieces, body) = mpsc::unbounded_channel();
        let state = self.state.clone();
        actix_rt::spawn(async move {
            for number in last.map_or(1, |last| last + 1)..=EVENTS {
                if let Behaviour::Slow(pause) = behaviour {
                    actix_rt::time::sleep(pause).await;
                }
                let torn = behaviour == Behaviour::Torn && number == 3;
                let text = format!("id: {number}\ndata: token {number}\n\n");
                let piece = if torn { text[..10].to_owned() } else { text };
                if pieces.send(piece.into()).is_err() {
                    state.borrow_mut().dropped += 1;
                    return;
                }
                if torn {
                    // A reset at once could overtake the events before it.
                    actix_rt::time::sleep(BREAK).await;
                    return;
                }
            }
            // An empty piece is the sound end; a closed channel means that the reader left.
            if pieces.send(Bytes::new()).is_err() {
                state.borrow_mut().dropped += 1;
            }
        });
        Body::Stream(body)
    }
}

fn with(mut response: Response<Body>, headers: &[(&'static str, &str)]) -> Response<Body> {
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(HeaderName::from_static(name), value);
        }
    }
    response
}
