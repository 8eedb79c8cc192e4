//! Simulated model engine with continuous batching, cold starts and versions.

mod behaviour;
mod cache;
mod generation;
mod state;

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Instant};

use actix_http::{HttpMessage as _, Method, Request, Response, StatusCode, header};
use bytes::Bytes;
use sequoiahold::http;
use sequoiahold_core::{
    endpoint::EngineState,
    ids::{Digest, FenceToken, VersionId},
    weights::Manifest,
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use self::generation::Generation;
pub use self::{
    behaviour::Behaviour,
    cache::{Cache, CacheChange, CacheEvent},
    generation::POISON_WORD,
    state::{Run, StartedRequest, State},
};
use crate::{
    content::fingerprint,
    reply::{self, Body},
};

/// Number of tokens of an answer if the request does not set `max_tokens`.
const DEFAULT_TOKENS: u32 = 16;

/// A running simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// State shared with the HTTP server.
    pub state: Rc<RefCell<State>>,
    behaviour: Behaviour,
}

/// The reply to `GET /state`: the fields that endpoint processes read, and the role.
#[derive(Debug, Serialize)]
struct StateReply {
    #[serde(flatten)]
    state: EngineState,
    role: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
enum Order {
    Load { version: VersionId, manifest: Manifest, fence: FenceToken },
    Role { role: String, fence: FenceToken },
    Unload { fence: FenceToken },
}

#[derive(Debug, Deserialize)]
struct ChatBody {
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    #[serde(default)]
    priority: u32,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

impl Order {
    fn fence(&self) -> FenceToken {
        match self {
            Self::Load { fence, .. } | Self::Role { fence, .. } | Self::Unload { fence } => *fence,
        }
    }
}

impl Engine {
    /// Starts an engine without a loaded version on `addr`; fails if the address cannot be bound.
    pub async fn start(addr: SocketAddr, behaviour: Behaviour) -> anyhow::Result<Self> {
        let state = Rc::new(RefCell::new(State::new(behaviour.cache_bytes)));
        let engine = Self { state, behaviour };
        let server = engine.clone();
        http::serve(addr, move |request| server.clone().handle(request)).await?;
        Ok(engine)
    }

    /// Drops all requests in progress and restarts without a loaded version.
    pub fn crash(&self) {
        self.state.borrow_mut().crash();
    }

    /// Resets the engine to its cold capacity without restarting it.
    pub fn turn_cold(&self) {
        let mut state = self.state.borrow_mut();
        state.tokens = 0;
        state.turned_cold = Some(Instant::now());
    }

    /// Returns the loaded version.
    pub fn version(&self) -> Option<VersionId> {
        self.state.borrow().version.as_ref().map(|(version, _, _)| version.clone())
    }

    /// Returns the number of concurrent requests that the engine can run at present.
    pub fn capacity(&self) -> u32 {
        let tokens = self.state.borrow().tokens.min(self.behaviour.warm_tokens);
        let warm_slots = u64::from(self.behaviour.slots - self.behaviour.cold_slots);
        self.behaviour.cold_slots + (warm_slots * tokens / self.behaviour.warm_tokens.max(1)) as u32
    }

    async fn handle(self, mut request: Request) -> Response<Body> {
        let path = request.path().to_owned();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.method().clone(), parts.as_slice()) {
            (Method::GET, ["state"]) => reply::json(&self.state_reply()),
            (Method::GET, ["events"]) => self.cache_events(&request),
            (Method::GET, ["v1", "kv", digest]) => self.export_prefix(digest),
            (Method::GET, ["v1", "requests", id]) => self.resume_answer(id, &request),
            (Method::DELETE, ["v1", "requests", id]) => self.cancel_request(id),
            (Method::POST, ["orders"]) => {
                let body = reply::read_body(&mut request).await;
                self.handle_order(&body).await
            }
            (Method::POST, ["v1", "chat", "completions"]) => {
                let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok());
                let id = id.unwrap_or_default().to_owned();
                let body = reply::read_body(&mut request).await;
                self.start_chat(id, &body)
            }
            (Method::PUT, ["v1", "kv"]) => {
                let body = reply::read_body(&mut request).await;
                self.state.borrow_mut().cache.touch(&String::from_utf8_lossy(&body));
                reply::status(204)
            }
            (Method::PUT, ["weights", digest]) => {
                let body = reply::read_body(&mut request).await;
                let Ok(digest) = digest.parse() else { return reply::status(404) };
                self.state.borrow_mut().chunks.insert(digest, body);
                reply::status(204)
            }
            _ => reply::status(404),
        }
    }

    fn state_reply(&self) -> StateReply {
        let capacity = self.capacity();
        let mut state = self.state.borrow_mut();
        let (limit, running) = state.lagging_load(capacity, self.behaviour.report_lag);
        let reported = EngineState {
            incarnation: state.incarnation,
            version: state.version.as_ref().map(|(version, _, _)| version.clone()),
            manifest: state.version.as_ref().map(|(_, manifest, _)| *manifest),
            limit,
            running,
            fence: state.fence,
        };
        StateReply { state: reported, role: state.role.clone() }
    }

    fn cache_events(&self, request: &Request) -> Response<Body> {
        let from = reply::query(request, "from").and_then(|n| n.parse().ok()).unwrap_or(0);
        let state = self.state.borrow();
        reply::json(&state.cache.events(from).collect::<Vec<_>>())
    }

    fn export_prefix(&self, digest: &str) -> Response<Body> {
        let state = self.state.borrow();
        let text = digest.parse().ok().and_then(|digest: Digest| state.cache.get(&digest));
        let text = text.map(|text| Bytes::from(text.to_owned()));
        text.map_or_else(|| reply::status(404), reply::data)
    }

    fn cancel_request(&self, id: &str) -> Response<Body> {
        let mut state = self.state.borrow_mut();
        if state.running.remove(id).is_some_and(|run| !run.complete) {
            state.cancelled += 1;
        }
        reply::status(204)
    }

    async fn handle_order(&self, body: &[u8]) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<Order>(body) else { return reply::status(400) };
        if self.behaviour.checks_fence && order.fence() < self.state.borrow().fence {
            self.state.borrow_mut().fence_refusals += 1;
            return reply::status(409);
        }
        let fence = order.fence();
        let accepted = match order {
            Order::Load { version, manifest, .. } => self.load(version, &manifest).await,
            Order::Role { role, .. } => {
                self.state.borrow_mut().role = Some(role);
                true
            }
            Order::Unload { .. } => {
                self.state.borrow_mut().version = None;
                true
            }
        };
        let mut state = self.state.borrow_mut();
        state.fence = state.fence.max(fence);
        reply::status(if accepted { 200 } else { 503 })
    }

    async fn load(&self, version: VersionId, manifest: &Manifest) -> bool {
        let incarnation = self.state.borrow().incarnation;
        actix_rt::time::sleep(self.behaviour.load_time).await;
        let mut state = self.state.borrow_mut();
        if state.incarnation != incarnation {
            return false;
        }
        let chunk = |digest| state.chunks.get(digest).map(|data| Digest::of(data));
        let held: Vec<Digest> = manifest.chunks.iter().filter_map(chunk).collect();
        state.version = Some((version, manifest.digest(), fingerprint(&held)));
        state.tokens = 0;
        true
    }

    fn start_chat(&self, id: String, body: &[u8]) -> Response<Body> {
        let Ok(chat) = serde_json::from_slice::<ChatBody>(body) else { return reply::status(400) };
        let capacity = self.capacity();
        let mut state = self.state.borrow_mut();
        let Some((version, _, weights)) = state.version.clone() else {
            return reply::status(503);
        };
        let (prefix, prompt) = split_prompt(&chat.messages);
        let number = state.started.len();
        state.started.push(StartedRequest {
            at: Instant::now(),
            id: id.clone(),
            prompt: prompt.clone(),
        });
        if state.active() >= capacity {
            state.overloads += 1;
            let since = state.turned_cold.map(|at| at.elapsed());
            state.overload_delays.extend(since);
            if self.behaviour.overload_crash {
                state.crash();
                return Response::with_body(StatusCode::OK, Body::aborted());
            }
        }
        let cached = !prefix.is_empty() && state.cache.touch(&prefix);
        let (reader, receiver) = mpsc::unbounded_channel();
        let (priority, events) = (chat.priority, vec![]);
        let run = Run { priority, number, events, complete: false, reader: Some((reader, 0)) };
        state.running.insert(id.clone(), run);
        let generation = Generation {
            engine: self.clone(),
            incarnation: state.incarnation,
            id,
            version,
            weights,
            prompt,
            tokens: chat.max_tokens.unwrap_or(DEFAULT_TOKENS),
            cached,
        };
        actix_rt::spawn(generation.run());
        let mut response = stream_response(receiver);
        let limit = header::HeaderName::from_static("x-engine-limit");
        response.headers_mut().insert(limit, header::HeaderValue::from(capacity));
        response
    }

    /// Replays the events of an answer from the index in the query and streams the rest.
    fn resume_answer(&self, id: &str, request: &Request) -> Response<Body> {
        let from = reply::query(request, "from").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut state = self.state.borrow_mut();
        let Some(run) = state.running.get_mut(id) else { return reply::status(404) };
        let (reader, receiver) = mpsc::unbounded_channel();
        for event in run.events.iter().skip(from) {
            let _ = reader.send(event.clone());
        }
        if run.complete {
            generation::end_body(Some(reader));
        } else {
            run.reader = Some((reader, from));
        }
        stream_response(receiver)
    }
}

/// Returns the cacheable prefix, which is all messages but the last, and the whole prompt.
fn split_prompt(messages: &[Message]) -> (String, String) {
    let texts: Vec<&str> = messages.iter().map(|message| message.content.as_str()).collect();
    let prefix = texts.split_last().map_or(String::new(), |(_, first)| first.concat());
    (prefix, texts.concat())
}

fn stream_response(receiver: mpsc::UnboundedReceiver<Bytes>) -> Response<Body> {
    let mut response = Response::with_body(StatusCode::OK, Body::Stream(receiver));
    let kind = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
