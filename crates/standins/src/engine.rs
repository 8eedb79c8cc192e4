//! Stand-in of a model engine with continuous batching, cold starts and versions.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{HttpMessage as _, Method, Request, Response, StatusCode, header};
use bytes::Bytes;
use sequoiahold::http;
use sequoiahold_core::{
    endpoint::EngineState,
    ids::{Digest, Fence, VersionId},
    weights::Manifest,
};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;

use crate::{
    content::{fingerprint, token},
    reply::{self, Body},
};

/// Tokens of an answer where the request names no number.
const TOKENS: u32 = 16;

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// The requests that it bears warm.
    pub slots: u32,
    /// The requests that it bears cold.
    pub cold: u32,
    /// The tokens after which it is warm.
    pub warm: u64,
    /// The time of one token.
    pub step: Duration,
    /// The time that loading takes.
    pub load: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fences: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 8,
            cold: 2,
            warm: 400,
            step: Duration::from_millis(10),
            load: Duration::from_millis(300),
            fences: true,
        }
    }
}

/// A request that an engine began.
#[derive(Clone, Debug)]
pub struct Began {
    /// When.
    pub at: Instant,
    /// Its id.
    pub id: String,
    /// What it asks.
    pub prompt: String,
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
    /// The tokens since the last cold start.
    pub tokens: u64,
    /// The requests that run, by id.
    pub running: BTreeMap<String, bool>,
    /// The requests that began.
    pub began: Vec<Began>,
    /// Times at which more was given than the engine bears.
    pub overloads: u64,
    /// Requests that were cut by the entry or endpoint.
    pub cancelled: u64,
    /// The highest fencing number seen.
    pub fence: Fence,
}

/// A running stand-in.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The state, shared with the server.
    pub state: Rc<RefCell<State>>,
    behaviour: Behaviour,
}

#[derive(Debug, Deserialize)]
struct Order {
    version: VersionId,
    manifest: Manifest,
    fence: Fence,
}

#[derive(Debug, Deserialize)]
struct Chat {
    messages: Vec<Message>,
    max_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

impl Engine {
    /// Starts an engine that holds nothing on `addr`.
    pub async fn start(addr: SocketAddr, behaviour: Behaviour) -> anyhow::Result<Self> {
        let state = State {
            incarnation: 1,
            chunks: BTreeMap::new(),
            version: None,
            tokens: 0,
            running: BTreeMap::new(),
            began: vec![],
            overloads: 0,
            cancelled: 0,
            fence: Fence::default(),
        };
        let engine = Self { state: Rc::new(RefCell::new(state)), behaviour };
        let server = engine.clone();
        http::serve(addr, move |request| server.clone().answer(request)).await?;
        Ok(engine)
    }

    /// Ends all requests in progress and starts anew, holding nothing.
    pub fn crash(&self) {
        let mut state = self.state.borrow_mut();
        state.incarnation += 1;
        state.running.clear();
        state.version = None;
        state.chunks.clear();
        state.tokens = 0;
    }

    /// Makes the engine cold again without warning.
    pub fn turn_cold(&self) {
        self.state.borrow_mut().tokens = 0;
    }

    /// Returns the version that the engine holds.
    pub fn version(&self) -> Option<VersionId> {
        self.state.borrow().version.as_ref().map(|(version, _, _)| version.clone())
    }

    /// Returns the requests that the engine bears now.
    pub fn bears(&self) -> u32 {
        let tokens = self.state.borrow().tokens.min(self.behaviour.warm);
        let room = u64::from(self.behaviour.slots - self.behaviour.cold);
        self.behaviour.cold + (room * tokens / self.behaviour.warm.max(1)) as u32
    }

    async fn answer(self, mut request: Request) -> Response<Body> {
        let path = request.path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/state") => reply::json(&self.show()),
            (Method::POST, "/orders") => {
                let body = reply::read_body(&mut request).await;
                self.order(&body).await
            }
            (Method::POST, "/v1/chat/completions") => {
                let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok());
                let id = id.unwrap_or_default().to_owned();
                let body = reply::read_body(&mut request).await;
                self.chat(id, &body)
            }
            (Method::PUT, path) => {
                let body = reply::read_body(&mut request).await;
                let digest = path.strip_prefix("/weights/").and_then(|d| d.parse().ok());
                let Some(digest) = digest else { return reply::status(404) };
                self.state.borrow_mut().chunks.insert(digest, body);
                reply::status(204)
            }
            (Method::DELETE, path) => {
                let id = path.strip_prefix("/v1/requests/").unwrap_or_default();
                self.state.borrow_mut().running.remove(id);
                self.state.borrow_mut().cancelled += 1;
                reply::status(204)
            }
            _ => reply::status(404),
        }
    }

    fn show(&self) -> EngineState {
        let limit = self.bears();
        let state = self.state.borrow();
        EngineState {
            incarnation: state.incarnation,
            version: state.version.as_ref().map(|(version, _, _)| version.clone()),
            manifest: state.version.as_ref().map(|(_, manifest, _)| *manifest),
            limit,
            running: state.running.len() as u32,
            fence: state.fence,
        }
    }

    async fn order(&self, body: &[u8]) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<Order>(body) else { return reply::status(400) };
        if self.behaviour.fences && order.fence < self.state.borrow().fence {
            return reply::status(409);
        }
        let incarnation = self.state.borrow().incarnation;
        actix_rt::time::sleep(self.behaviour.load).await;
        let mut state = self.state.borrow_mut();
        if state.incarnation != incarnation {
            return reply::status(503);
        }
        state.fence = state.fence.max(order.fence);
        let held: Vec<Digest> = order
            .manifest
            .chunks
            .iter()
            .filter_map(|digest| state.chunks.get(digest).map(|data| Digest::of(data)))
            .collect();
        state.version = Some((order.version, order.manifest.digest(), fingerprint(&held)));
        state.tokens = 0;
        reply::status(200)
    }

    fn chat(&self, id: String, body: &[u8]) -> Response<Body> {
        let Ok(chat) = serde_json::from_slice::<Chat>(body) else { return reply::status(400) };
        let bears = self.bears();
        let mut state = self.state.borrow_mut();
        let Some((version, _, weights)) = state.version.clone() else {
            return reply::status(503);
        };
        let prompt: String = chat.messages.into_iter().map(|message| message.content).collect();
        state.began.push(Began { at: Instant::now(), id: id.clone(), prompt: prompt.clone() });
        if state.running.len() as u32 >= bears {
            state.overloads += 1;
        }
        state.running.insert(id.clone(), true);
        let (pieces, receiver) = mpsc::unbounded_channel();
        let generation = Generation {
            engine: self.clone(),
            incarnation: state.incarnation,
            id,
            version,
            weights,
            prompt,
            tokens: chat.max_tokens.unwrap_or(TOKENS),
        };
        actix_rt::spawn(generation.run(pieces));
        let mut response = Response::with_body(StatusCode::OK, Body::Pieces(receiver));
        let kind = header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        let limit = header::HeaderName::from_static("x-engine-limit");
        response.headers_mut().insert(limit, header::HeaderValue::from(bears));
        response
    }
}

/// The generation of one answer.
struct Generation {
    engine: Engine,
    incarnation: u64,
    id: String,
    version: VersionId,
    weights: Digest,
    prompt: String,
    tokens: u32,
}

impl Generation {
    async fn run(self, pieces: mpsc::UnboundedSender<Bytes>) {
        for index in 0..self.tokens {
            actix_rt::time::sleep(self.engine.behaviour.step).await;
            if !self.goes_on() {
                return;
            }
            let content = token(&self.weights, &self.prompt, index);
            let event = json!({
                "id": self.id,
                "system_fingerprint": self.version,
                "choices": [{ "index": 0, "delta": { "content": content } }],
            });
            if pieces.send(Bytes::from(format!("data: {event}\n\n"))).is_err() {
                self.engine.state.borrow_mut().running.remove(&self.id);
                return;
            }
        }
        self.engine.state.borrow_mut().running.remove(&self.id);
        let _ = pieces.send(Bytes::from_static(b"data: [DONE]\n\n"));
        let _ = pieces.send(Bytes::new());
    }

    fn goes_on(&self) -> bool {
        let mut state = self.engine.state.borrow_mut();
        state.tokens += 1;
        state.incarnation == self.incarnation && state.running.contains_key(&self.id)
    }
}
