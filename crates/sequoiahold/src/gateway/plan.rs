//! Routing of a request according to the configuration.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use actix_http::header::AUTHORIZATION;
use rand::Rng as _;
use sequoiahold_core::{
    direct::{
        admission::Priority,
        catalog::{Catalog, Denial, EngineSpec, RetryMode, Route},
        platform::Codec,
        scheduler::PlacementRequest,
    },
    ids::{ClientId, ModelId, PartId, RegionId, ServiceId},
    time::Time,
    units::Span,
};

use super::state::Gateway;
use crate::h1::IncomingRequest;

/// Authorization scheme of API keys.
const API_KEY_SCHEME: &str = "Bearer ";

/// Maximum number of prompt parts that are considered.
const MAX_PARTS: usize = 32;

/// Routing decision and limits for a request.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// The route name, for logs and metrics.
    pub(super) route: String,
    /// The version of the configuration.
    pub(super) config_version: u64,
    /// The service chosen among the targets of the route.
    pub(super) service: ServiceId,
    /// The client account, `None` without a known API key.
    pub(super) account: Option<ClientId>,
    /// Whether the request may be retried.
    pub(super) retry_mode: RetryMode,
    /// Whether the response is a stream of events.
    pub(super) streaming: bool,
    /// Maximum number of endpoints that the request may be sent to.
    pub(super) max_attempts: u32,
    /// The priority of its account and route.
    pub(super) priority: Priority,
    /// The regions in which it may be served, `None` for all.
    pub(super) regions: Option<BTreeSet<RegionId>>,
    /// The model that the request names.
    pub(super) model: Option<ModelId>,
    /// Prompt tokens and expected answer tokens.
    pub(super) tokens: (u32, u32),
    /// The parts of the prompt that other requests may share: all but the last.
    pub(super) parts: Vec<PartId>,
    /// Time at which the request was received.
    pub(super) arrived: Time,
    /// Time after which the response, or the first event of a stream, counts as late.
    pub(super) objective: Time,
    /// Time by which the caller must have the final response.
    pub(super) deadline: Time,
}

/// Why a request cannot be routed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PlanError {
    /// The configuration does not allow the request.
    Denied(Denial),
    /// The gateway has no configuration yet.
    Unconfigured,
}

/// Authorizes a request, chooses its service and sets its deadline.
pub(super) fn plan_request<C: Codec>(
    gateway: &Gateway<C>,
    request: &IncomingRequest,
) -> Result<Plan, PlanError> {
    let catalog = gateway.node.view.borrow().catalog().cloned().ok_or(PlanError::Unconfigured)?;
    let key = request
        .header_text(AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix(API_KEY_SCHEME));
    let authorized = catalog.authorize(&request.host, request.path(), key.map(str::trim));
    let (route, account) = authorized.map_err(PlanError::Denied)?;
    let service = choose_service(gateway, route).ok_or(PlanError::Denied(Denial::NoRoute))?;
    let names = gateway.node.codec.header_names();
    let elapsed = Span(request.received_at.elapsed().as_micros() as u64);
    let arrived = Time(gateway.node.now().0.saturating_sub(elapsed.0));
    let timeout =
        request.header_text(names.deadline).and_then(|text| text.trim().parse::<f64>().ok());
    let timeout = timeout.map_or(route.timeout, |ms| Span((ms.max(0.0) * 1_000.0) as u64));
    Ok(Plan {
        route: route.name.clone(),
        config_version: catalog.version,
        account: account.map(|account| account.name.clone()),
        retry_mode: route.retry_mode,
        streaming: route.streaming,
        max_attempts: route.max_attempts,
        priority: Priority {
            account: account.and_then(|account| account.priority).unwrap_or(route.priority),
            route: route.priority,
        },
        regions: route.allowed_regions(account),
        model: request.header_text(names.model).and_then(|text| text.parse().ok()),
        tokens: estimate_tokens(gateway, &catalog, request, &service),
        parts: shared_parts(gateway, request),
        arrived,
        objective: arrived + route.objective,
        deadline: arrived + timeout.min(route.timeout),
        service,
    })
}

impl Plan {
    /// Returns the placement request for the scheduler.
    pub(super) fn placement_request(&self) -> PlacementRequest {
        PlacementRequest {
            service: self.service.clone(),
            account: self.account.clone(),
            priority: self.priority,
            regions: self.regions.clone(),
            model: self.model.clone(),
            tokens: self.tokens,
            objective: self.objective,
            deadline: self.deadline,
            tried: vec![],
            healthy_only: false,
        }
    }

    /// Returns the shared parts of the prompt, for logs.
    pub(super) fn parts_text(&self) -> String {
        self.parts.iter().map(PartId::to_string).collect::<Vec<_>>().join(",")
    }

    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self, now: Time) -> Duration {
        (self.deadline - now).into()
    }
}

/// Chooses a service of the route at random, in proportion to the weights.
fn choose_service<C: Codec>(gateway: &Gateway<C>, route: &Route) -> Option<ServiceId> {
    let total_weight: u32 = route.targets.iter().map(|target| target.weight).sum();
    if total_weight == 0 {
        return route.targets.first().map(|target| target.service.clone());
    }
    let mut point = gateway.node.rng.borrow_mut().random_range(0..total_weight);
    for target in &route.targets {
        if point < target.weight {
            return Some(target.service.clone());
        }
        point -= target.weight;
    }
    None
}

/// Returns the parts of the prompt but the last, none where the header cannot be decoded.
fn shared_parts<C: Codec>(gateway: &Gateway<C>, request: &IncomingRequest) -> Vec<PartId> {
    let codec = &gateway.node.codec;
    let Some(value) = request.header_text(codec.header_names().prompt_parts) else {
        return vec![];
    };
    let mut parts = codec.decode_prompt_parts(value).unwrap_or_else(|error| {
        log::debug!("request without usable prompt parts: {error}");
        vec![]
    });
    parts.pop();
    parts.truncate(MAX_PARTS);
    parts
}

/// Returns the prompt tokens and the expected answer tokens.
///
/// Missing headers are replaced by the engine's means; the caller may limit the answer tokens.
fn estimate_tokens<C: Codec>(
    gateway: &Gateway<C>,
    catalog: &Rc<Catalog>,
    request: &IncomingRequest,
    service: &ServiceId,
) -> (u32, u32) {
    let names = gateway.node.codec.header_names();
    let engine = catalog.services.get(service).and_then(|service| service.engine.as_ref());
    let engine_default = |pick: fn(&EngineSpec) -> u32| engine.map_or(0, pick);
    let counts = request.header_text(names.token_counts).unwrap_or_default();
    let mut counts = counts.split(',').map(|part| part.trim().parse::<u32>().ok());
    let prompt =
        counts.next().flatten().unwrap_or_else(|| engine_default(|engine| engine.mean_prompt));
    let max_answer = counts.next().flatten();
    let hint =
        request.header_text(names.length_hint).and_then(|text| text.trim().parse::<f64>().ok());
    let expected =
        hint.map_or_else(|| engine_default(|engine| engine.mean_answer), |hint| hint as u32);
    (prompt, max_answer.map_or(expected, |limit| expected.min(limit)))
}
