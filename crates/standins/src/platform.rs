//! Stand-in of the platform: configuration service and list of VMs.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{Request, Response};
use sequoiahold::http;
use sequoiahold_core::{
    declare::Published,
    ids::{Digest, VmId},
    member::VmState,
};

use crate::reply::{self, Body};

/// Calls a second that the service answers across all readers.
const RATE: u32 = 2_000;
/// Time between two looks of a waiting watch.
const LOOK: Duration = Duration::from_millis(20);

/// What a test sets and reads.
#[derive(Debug, Default)]
pub struct State {
    /// The set that is shown.
    pub published: Option<Published>,
    /// The list of VMs.
    pub vms: BTreeMap<VmId, VmState>,
    /// Whether the service answers at all.
    pub down: bool,
    /// The calls that were answered.
    pub calls: u64,
    /// The calls that were refused above the rate.
    pub refused: u64,
    second: Option<(Instant, u32)>,
}

/// A running stand-in.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// The state, shared with the server.
    pub state: Rc<RefCell<State>>,
}

impl Platform {
    /// Starts the service on `addr`.
    pub async fn start(addr: SocketAddr) -> anyhow::Result<Self> {
        let platform = Self::default();
        let server = platform.clone();
        http::serve(addr, move |request| server.clone().answer(request)).await?;
        Ok(platform)
    }

    /// Publishes a set.
    pub fn publish(&self, published: Published) {
        self.state.borrow_mut().published = Some(published);
    }

    async fn answer(self, request: Request) -> Response<Body> {
        if !self.count() {
            return reply::status(429);
        }
        if self.state.borrow().down {
            return reply::status(503);
        }
        match request.path() {
            "/v1/head" => self.head(&request).await,
            "/v1/vms" => reply::json(&self.state.borrow().vms),
            path => self.part(path),
        }
    }

    async fn head(&self, request: &Request) -> Response<Body> {
        let seen: Option<u64> = reply::query(request, "other_than").and_then(|n| n.parse().ok());
        let wait = reply::query(request, "wait_ms").and_then(|n| n.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        while Instant::now() < end && self.generation() == seen && !self.state.borrow().down {
            actix_rt::time::sleep(LOOK).await;
        }
        match &self.state.borrow().published {
            Some(published) if !self.state.borrow().down => reply::json(&published.head),
            Some(_) => reply::status(503),
            None => reply::status(404),
        }
    }

    fn part(&self, path: &str) -> Response<Body> {
        let state = self.state.borrow();
        let digest: Option<Digest> = path.strip_prefix("/v1/parts/").and_then(|d| d.parse().ok());
        let part = digest.and_then(|digest| state.published.as_ref()?.parts.get(&digest).cloned());
        part.map_or_else(|| reply::status(404), reply::data)
    }

    fn generation(&self) -> Option<u64> {
        self.state.borrow().published.as_ref().map(|published| published.head.generation.0)
    }

    fn count(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let (start, calls) = state
            .second
            .filter(|(start, _)| now - *start < Duration::from_secs(1))
            .unwrap_or((now, 0));
        state.second = Some((start, calls + 1));
        let allowed = calls < RATE;
        if allowed {
            state.calls += 1;
        } else {
            state.refused += 1;
        }
        allowed
    }
}
