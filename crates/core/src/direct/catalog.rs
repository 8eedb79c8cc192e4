//! Published routing configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::{
    ids::{ClientId, InstanceId, ModelId, RegionId, ServiceId, ZoneId},
    units::{ByteRate, Bytes, Span},
    weights::WeightsSize,
};

/// How a request may be retried.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RetryMode {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    AtMostOnce,
    /// It is a stream that may resume at another endpoint after the last event received.
    Resumable,
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// A route, which maps requests to services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The name used in logs and metrics.
    pub name: String,
    /// The host of matching requests.
    pub host: String,
    /// The path prefix of matching requests.
    pub path_prefix: String,
    /// How requests may be retried.
    pub retry_mode: RetryMode,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// The maximum duration of a request.
    pub timeout: Span,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub objective: Span,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The services that requests are distributed to.
    pub targets: Vec<Target>,
    /// The maximum number of endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// The regions in which a request may be served; empty for all.
    pub regions: BTreeSet<RegionId>,
}

/// Performance parameters of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Time of one decode step, in ms.
    pub step_ms: f64,
    /// Time that each request of the batch adds to a decode step, in ms.
    pub request_ms: f64,
    /// Time that 1,000 tokens of context add to a decode step, in ms.
    pub context_ms: f64,
    /// Prefill rate in prompt tokens per second.
    pub prefill_rate: f64,
    /// Prefill time added per million pairs of a token and an earlier one, in ms.
    pub pairs_ms: f64,
    /// Maximum number of prompt tokens that one pass prefills.
    pub chunk_tokens: u32,
    /// Decode steps of one pass.
    pub pass_steps: u32,
    /// Capacity of the memory for requests, in tokens.
    pub cache_tokens: u64,
    /// Mean prompt length in tokens.
    pub mean_prompt: u32,
    /// Mean answer length in tokens.
    pub mean_answer: u32,
    /// The models that the engines can hold.
    pub models: Vec<ModelId>,
    /// Time that an engine needs to load all layers.
    pub load_time: Span,
    /// The size of a version of the weights, if published.
    pub weights: Option<WeightsSize>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Maximum number of connections that an endpoint accepts in total.
    pub max_connections: u32,
    /// Requests per second that an endpoint can serve after a cold start; `None` without a limit.
    pub cold_rate: Option<f64>,
    /// The engine parameters, where the endpoints are model engines.
    pub engine: Option<EngineSpec>,
    /// The origin, where the service provides weights.
    pub origin: Option<Origin>,
}

/// The server that weights are downloaded from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone, if published.
    pub zone: Option<ZoneId>,
    /// The bandwidth of its link, if published.
    pub link: Option<ByteRate>,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: ClientId,
    /// Its priority, which overrides that of a route.
    pub priority: Option<u8>,
    /// The regions in which its requests may be served; empty for all.
    pub regions: BTreeSet<RegionId>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub max_head: Bytes,
    /// Maximum size of a request body.
    pub max_body: Bytes,
    /// Maximum time between the first byte and the end of a head.
    pub head_timeout: Span,
    /// Maximum time that a connection may be idle.
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

/// A version of the published configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// The version, which rises with each publication.
    pub version: u64,
    /// The routes by host, the longest prefix first.
    pub routes: BTreeMap<String, Vec<Route>>,
    /// The services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// The client accounts by name, also those without an API key; empty where callers need none.
    pub accounts: BTreeMap<ClientId, Account>,
    /// The names of the client accounts by API key.
    pub api_keys: BTreeMap<String, ClientId>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
}

/// Why the configuration does not allow a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    BadKey,
}

impl Route {
    /// Returns the regions in which a request of an account may be served, `None` for all.
    ///
    /// Where both the route and the account restrict regions, only common ones are allowed; there
    /// may be none.
    pub fn allowed_regions(&self, account: Option<&Account>) -> Option<BTreeSet<RegionId>> {
        let regions = account.map(|account| &account.regions).filter(|regions| !regions.is_empty());
        match (regions, self.regions.is_empty()) {
            (None, true) => None,
            (None, false) => Some(self.regions.clone()),
            (Some(regions), true) => Some(regions.clone()),
            (Some(regions), false) => Some(self.regions.intersection(regions).cloned().collect()),
        }
    }
}

impl Catalog {
    /// Returns a configuration with these routes, the longest prefix of each host first.
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

    /// Returns the route of a host and path and the client account of a key, or why it is denied.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Route, Option<&Account>), Denial> {
        let routes = self.routes.get(host).ok_or(Denial::NoRoute)?;
        let matches = |route: &&Route| path.starts_with(&route.path_prefix);
        let route = routes.iter().find(matches).ok_or(Denial::NoRoute)?;
        if self.accounts.is_empty() {
            return Ok((route, None));
        }
        let account = key.and_then(|key| self.accounts.get(self.api_keys.get(key)?));
        match account {
            Some(account) => Ok((route, Some(account))),
            None if route.public => Ok((route, None)),
            None => Err(Denial::BadKey),
        }
    }

    /// Returns the origin of weights, the first by service name where there are several.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.values().find_map(|service| service.origin.as_ref())
    }
}

/// A model held by an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub version: u64,
    /// Whether all layers are present.
    pub complete: bool,
}

/// An entry of the platform's endpoint list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointEntry {
    /// The instance of the endpoint.
    pub instance: InstanceId,
    /// Its service.
    pub service: ServiceId,
    /// The address for requests.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub leaving: bool,
    /// How long it stays cold, counted from when the entry was written.
    pub cold_time: Span,
    /// The models that it holds; `None` where it is not a model engine.
    pub loaded: Option<Vec<LoadedModel>>,
    /// Start time in ms of the wall clock; distinguishes restarts under the same name.
    pub started_ms: Option<u64>,
}
