//! Stand-in of a plain service with calls that may not be repeated.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc};

use actix_http::{Method, Request, Response};
use sequoiahold::http;
use sequoiahold_core::endpoint::EngineState;
use serde_json::json;

use crate::reply::{self, Body};

/// What a test reads.
#[derive(Debug, Default)]
pub struct State {
    /// The calls that changed something, by their body's order name.
    pub ran: BTreeMap<String, u32>,
    /// The calls that only read.
    pub reads: u64,
}

/// A running stand-in.
#[derive(Clone, Debug)]
pub struct Plain {
    /// The state; stand-ins of one service share it.
    pub state: Rc<RefCell<State>>,
    slots: u32,
}

impl Plain {
    /// Starts the service on `addr`, with the records that it shares with others.
    pub async fn start(
        addr: SocketAddr,
        slots: u32,
        state: Rc<RefCell<State>>,
    ) -> anyhow::Result<Self> {
        let plain = Self { state, slots };
        let server = plain.clone();
        http::serve(addr, move |request| server.clone().answer(request)).await?;
        Ok(plain)
    }

    async fn answer(self, mut request: Request) -> Response<Body> {
        if request.path() == "/state" {
            let limit = self.slots;
            return reply::json(&EngineState { limit, ..EngineState::default() });
        }
        if request.method() == Method::GET {
            self.state.borrow_mut().reads += 1;
            return reply::json(&json!({ "path": request.path() }));
        }
        let body = reply::read_body(&mut request).await;
        let name = String::from_utf8_lossy(&body).into_owned();
        *self.state.borrow_mut().ran.entry(name.clone()).or_default() += 1;
        reply::json(&json!({ "done": name }))
    }
}
