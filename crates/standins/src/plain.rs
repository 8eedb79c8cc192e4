//! Simulated plain service with calls that are not repeatable.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpMessage as _, Method, Request, Response, StatusCode};
use bytes::Bytes;
use sequoiahold::http;
use sequoiahold_core::endpoint::EngineState;
use serde_json::json;

use crate::reply::{self, Body};

/// How a service answers non-repeatable calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// It answers at once.
    #[default]
    Immediate,
    /// It runs the call, then answers after this time.
    Slow(Duration),
    /// It runs the call, then closes the connection before the first byte of the answer's body.
    Crash,
    /// It runs the call, then closes the connection within the answer's body.
    AbortBody,
}

/// State that tests set and read.
#[derive(Debug, Default)]
pub struct State {
    /// The number of runs by order name, the body of the call.
    pub order_runs: BTreeMap<String, u32>,
    /// The number of runs by idempotency key.
    pub key_runs: BTreeMap<String, u32>,
    /// The number of read calls.
    pub reads: u64,
    /// How the services answer non-repeatable calls.
    pub mode: Mode,
}

/// A running simulated plain service.
#[derive(Clone, Debug)]
pub struct PlainService {
    /// The state, shared by all instances of a service.
    pub state: Rc<RefCell<State>>,
    slots: u32,
}

impl PlainService {
    /// Starts an instance with `slots` slots on `addr`, with the state shared by all instances.
    pub async fn start(
        addr: SocketAddr,
        slots: u32,
        state: Rc<RefCell<State>>,
    ) -> anyhow::Result<Self> {
        let plain = Self { state, slots };
        let server = plain.clone();
        http::serve(addr, move |request| server.clone().handle(request)).await?;
        Ok(plain)
    }

    async fn handle(self, mut request: Request) -> Response<Body> {
        if request.path() == "/state" {
            let limit = self.slots;
            return reply::json(&EngineState { limit, ..EngineState::default() });
        }
        if request.method() == Method::GET {
            self.state.borrow_mut().reads += 1;
            return reply::json(&json!({ "path": request.path() }));
        }
        let key = request.headers().get("idempotency-key").and_then(|key| key.to_str().ok());
        let key = key.unwrap_or_default().to_owned();
        let body = reply::read_body(&mut request).await;
        let name = String::from_utf8_lossy(&body).into_owned();
        let mode = self.record_run(key, name.clone());
        match mode {
            Mode::Immediate => {}
            Mode::Slow(time) => actix_rt::time::sleep(time).await,
            Mode::Crash => return Response::with_body(StatusCode::OK, Body::aborted()),
            Mode::AbortBody => {
                let part = Body::aborted_after(Bytes::from_static(b"{ \"done\": "));
                return Response::with_body(StatusCode::OK, part);
            }
        }
        reply::json(&json!({ "done": name }))
    }

    fn record_run(&self, key: String, name: String) -> Mode {
        let mut state = self.state.borrow_mut();
        *state.key_runs.entry(key).or_default() += 1;
        *state.order_runs.entry(name).or_default() += 1;
        state.mode
    }
}
