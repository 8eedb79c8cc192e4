//! Simulated platform: configuration service and VM list.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{Request, Response};
use sequoiahold::http;
use sequoiahold_core::{
    declare::PublishedSet,
    ids::{Digest, VmId},
    vm_state::VmState,
};

use crate::reply::{self, Body};

/// Calls per second that the service answers, over all readers.
const RATE_LIMIT: u32 = 2_000;
/// Time between two checks of a waiting watch for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A fault of the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// It refuses all calls with status 503.
    Down,
    /// No fault.
    #[default]
    None,
    /// It serves the set published before the last one at the start of the fault.
    RolledBack,
    /// It serves the last set published before the fault.
    Stale,
}

/// State that tests set and read.
#[derive(Debug, Default)]
pub struct State {
    /// The published sets, oldest first.
    pub published: Vec<PublishedSet>,
    /// The VM list that readers see.
    pub vms: BTreeMap<VmId, VmState>,
    /// The current fault.
    pub fault: Fault,
    /// The delay before a change of the VM list becomes visible.
    pub list_lag: Duration,
    /// The number of calls within the rate limit.
    pub calls: u64,
    /// The number of calls refused above the rate limit.
    pub refused: u64,
    rate_window: Option<(Instant, u32)>,
    frozen_count: usize,
    changes: VecDeque<(Instant, VmId, VmState)>,
}

impl State {
    /// Returns the set that readers see.
    fn visible_set(&self) -> Option<&PublishedSet> {
        match self.fault {
            Fault::None | Fault::Down => self.published.last(),
            Fault::RolledBack => self.published.get(self.frozen_count.checked_sub(2)?),
            Fault::Stale => self.published.get(self.frozen_count.checked_sub(1)?),
        }
    }

    /// Returns the VM list with all changes that are visible by now.
    fn visible_vms(&mut self) -> &BTreeMap<VmId, VmState> {
        let now = Instant::now();
        while let Some((_, vm, state)) =
            self.changes.pop_front_if(|(visible_at, ..)| *visible_at <= now)
        {
            self.vms.insert(vm, state);
        }
        &self.vms
    }
}

/// A running simulated platform.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// The state, shared with the server.
    pub state: Rc<RefCell<State>>,
}

impl Platform {
    /// Starts the platform on `addr`.
    pub async fn start(addr: SocketAddr) -> anyhow::Result<Self> {
        let platform = Self::default();
        let server = platform.clone();
        http::serve(addr, move |request| server.clone().handle(request)).await?;
        Ok(platform)
    }

    /// Publishes a configuration set.
    pub fn publish(&self, published: PublishedSet) {
        self.state.borrow_mut().published.push(published);
    }

    /// Sets the fault, which starts with the sets published so far.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.state.borrow_mut();
        state.fault = fault;
        state.frozen_count = state.published.len();
    }

    /// Sets the state of a VM in the VM list, visible after `list_lag`.
    pub fn set_vm_state(&self, vm: &VmId, vm_state: VmState) {
        let mut state = self.state.borrow_mut();
        let visible_at = Instant::now() + state.list_lag;
        state.changes.push_back((visible_at, vm.clone(), vm_state));
    }

    async fn handle(self, request: Request) -> Response<Body> {
        if !self.admit_call() {
            return reply::status(429);
        }
        if self.is_down() {
            return reply::status(503);
        }
        match request.path() {
            "/v1/head" => self.head(&request).await,
            "/v1/vms" => reply::json(self.state.borrow_mut().visible_vms()),
            path => self.part(path),
        }
    }

    async fn head(&self, request: &Request) -> Response<Body> {
        let seen: Option<u64> = reply::query(request, "other_than").and_then(|n| n.parse().ok());
        let wait = reply::query(request, "wait_ms").and_then(|n| n.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        while Instant::now() < deadline && self.generation() == seen && !self.is_down() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        if self.is_down() {
            return reply::status(503);
        }
        let state = self.state.borrow();
        state.visible_set().map_or_else(|| reply::status(404), |set| reply::json(&set.head))
    }

    fn part(&self, path: &str) -> Response<Body> {
        let state = self.state.borrow();
        let digest: Option<Digest> = path.strip_prefix("/v1/parts/").and_then(|d| d.parse().ok());
        let parts = |digest| state.published.iter().find_map(|set| set.parts.get(&digest).cloned());
        let part = digest.and_then(parts);
        part.map_or_else(|| reply::status(404), reply::data)
    }

    fn generation(&self) -> Option<u64> {
        self.state.borrow().visible_set().map(|published| published.head.generation.0)
    }

    fn is_down(&self) -> bool {
        self.state.borrow().fault == Fault::Down
    }

    fn admit_call(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let (start, calls) = state
            .rate_window
            .filter(|(start, _)| now - *start < Duration::from_secs(1))
            .unwrap_or((now, 0));
        state.rate_window = Some((start, calls + 1));
        let allowed = calls < RATE_LIMIT;
        if allowed {
            state.calls += 1;
        } else {
            state.refused += 1;
        }
        allowed
    }
}
