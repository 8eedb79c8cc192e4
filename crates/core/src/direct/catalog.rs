//! The published configuration that gateways route by.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::{
    ids::{ClientId, InstanceId, ModelId, RegionId, ServiceId, ZoneId},
    units::{ByteRate, Bytes, Span},
};

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RetryMode {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    AtMostOnce,
    /// It is a stream that may go on elsewhere after the last event that the caller holds.
    Resumable,
}

/// A service that a route leads to, and its weight among the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its part of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// A route: which requests go to which services, and how.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The name under which it shows in logs and metrics.
    pub name: String,
    /// The host that a request names.
    pub host: String,
    /// The beginning of the path.
    pub path_prefix: String,
    /// What may be repeated.
    pub retry_mode: RetryMode,
    /// Whether the answer is a series of events.
    pub streaming: bool,
    /// The longest time that a request may be kept.
    pub timeout: Span,
    /// The time within which an answer, or the first event, is on time.
    pub objective: Span,
    /// The rank; 0 goes first.
    pub priority: u8,
    /// The services.
    pub targets: Vec<Target>,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a request needs no API key.
    pub public: bool,
    /// The regions in which a request may be served; empty for all.
    pub regions: BTreeSet<RegionId>,
}

/// The figures of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine processes in one batch.
    pub slots: u32,
    /// Time of one token step, in ms.
    pub step_ms: f64,
    /// Time that each request of the batch adds to a step, in ms.
    pub request_ms: f64,
    /// Time that 1,000 tokens of context add to a step, in ms.
    pub context_ms: f64,
    /// Prompt tokens that an engine reads in a second.
    pub prefill_rate: f64,
    /// Time that a million pairs of a token and an earlier one add to reading, in ms.
    pub pairs_ms: f64,
    /// Most prompt tokens that are read between two token steps.
    pub chunk_tokens: u32,
    /// Token steps of one pass.
    pub pass_steps: u32,
    /// Tokens that the memory for requests holds.
    pub cache_tokens: u64,
    /// Mean prompt tokens of a request.
    pub mean_prompt: u32,
    /// Mean tokens of an answer.
    pub mean_answer: u32,
    /// The models that the engines can hold.
    pub models: Vec<ModelId>,
    /// Time that an engine takes to load all layers.
    pub load_time: Span,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Connections that an endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Requests a second that an endpoint bears after a cold start; `None` where it needs no care.
    pub cold_rate: Option<f64>,
    /// The engines, where the endpoints are model engines.
    pub engine: Option<EngineSpec>,
    /// The origin, where the service hands out weights.
    pub origin: Option<Origin>,
}

/// The origin of weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone, if it is told.
    pub zone: Option<ZoneId>,
    /// The rate of its link, if it is told.
    pub link: Option<ByteRate>,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: ClientId,
    /// Its rank, which goes before that of a route.
    pub priority: Option<u8>,
    /// The regions in which its requests may be served; empty for all.
    pub regions: BTreeSet<RegionId>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub max_head: Bytes,
    /// Largest body of a request.
    pub max_body: Bytes,
    /// Longest time between the first byte and the end of a head.
    pub head_timeout: Span,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Span,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head: Bytes(16_384),
            max_body: Bytes(4_194_304),
            head_timeout: Span::secs(3),
            idle_timeout: Span::secs(15),
        }
    }
}

/// One version of the published configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// The version; versions rise.
    pub version: u64,
    /// The routes by host, the longest prefix first.
    pub routes: BTreeMap<String, Vec<Route>>,
    /// The services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// The client accounts by API key.
    pub api_keys: BTreeMap<String, Account>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
}

/// Why a request is not allowed by the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    BadKey,
}

impl Route {
    /// Returns the regions that a request of an account may be served in, `None` for all.
    ///
    /// Where both have homes, both bind: without a common one the request may be served nowhere.
    pub fn allowed_regions(&self, account: Option<&Account>) -> Option<BTreeSet<RegionId>> {
        let homes = account.map(|account| &account.regions).filter(|homes| !homes.is_empty());
        match (homes, self.regions.is_empty()) {
            (None, true) => None,
            (None, false) => Some(self.regions.clone()),
            (Some(homes), true) => Some(homes.clone()),
            (Some(homes), false) => Some(self.regions.intersection(homes).cloned().collect()),
        }
    }
}

impl Catalog {
    /// Returns a configuration of these routes, sorted for look-ups.
    pub fn new(version: u64, routes: impl IntoIterator<Item = Route>) -> Self {
        let mut catalog = Self { version, ..Self::default() };
        for route in routes {
            catalog.routes.entry(route.host.clone()).or_default().push(route);
        }
        for routes in catalog.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        catalog
    }

    /// Returns the route of a host and path, and the client account of a key.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Route, Option<&Account>), Denial> {
        let routes = self.routes.get(host).ok_or(Denial::NoRoute)?;
        let matches = |route: &&Route| path.starts_with(&route.path_prefix);
        let route = routes.iter().find(matches).ok_or(Denial::NoRoute)?;
        if self.api_keys.is_empty() {
            return Ok((route, None));
        }
        match key.and_then(|key| self.api_keys.get(key)) {
            Some(account) => Ok((route, Some(account))),
            None if route.public => Ok((route, None)),
            None => Err(Denial::BadKey),
        }
    }

    /// Returns the origin of weights, the first one where there are several.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.values().find_map(|service| service.origin.as_ref())
    }
}

/// What an endpoint holds of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub version: u64,
    /// Whether all layers are there.
    pub complete: bool,
}

/// One endpoint in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointEntry {
    /// The start of the endpoint that this entry is about.
    pub instance: InstanceId,
    /// Its service.
    pub service: ServiceId,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// Whether it leaves.
    pub leaving: bool,
    /// How much longer it stays cold, from when the entry was written.
    pub cold_time: Span,
    /// What it holds; `None` where it is no model engine.
    pub loaded: Option<Vec<LoadedModel>>,
    /// When it started, in ms of the wall clock; tells two starts under one name apart.
    pub started_ms: Option<u64>,
}
