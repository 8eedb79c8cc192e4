//! What the configuration says of a request.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use actix_http::header::AUTHORIZATION;
use rand::Rng as _;
use sequoiahold_core::{
    direct::{
        catalog::{Catalog, Denial, EngineSpec, RetryMode, Route},
        platform::Codec,
        scheduler::PlacementRequest,
    },
    ids::{ClientId, ModelId, RegionId, ServiceId},
    time::Time,
    units::Span,
};

use super::state::Gateway;
use crate::h1::Incoming;

/// The scheme of API keys.
const SCHEME: &str = "Bearer ";

/// How a request is to be handled.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// The name of the route, for logs and metrics.
    pub(super) route: String,
    /// The version of the configuration.
    pub(super) version: u64,
    /// The service.
    pub(super) service: ServiceId,
    /// The client account.
    pub(super) account: Option<ClientId>,
    /// What may be repeated.
    pub(super) repeat: RetryMode,
    /// Whether the answer is a series of events.
    pub(super) streaming: bool,
    /// The most endpoints that it may be sent to.
    pub(super) attempts: u32,
    /// The rank; 0 goes first.
    pub(super) priority: u8,
    /// The regions that it may be served in, `None` for all.
    pub(super) regions: Option<BTreeSet<RegionId>>,
    /// The model.
    pub(super) model: Option<ModelId>,
    /// Tokens of the prompt and expected tokens of the answer.
    pub(super) tokens: (u32, u32),
    /// When it arrived.
    pub(super) arrived: Time,
    /// When the answer, or the first event, is late.
    pub(super) objective: Time,
    /// When it must have its final answer.
    pub(super) deadline: Time,
}

/// Why there is no plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NoPlan {
    /// The configuration does not allow the request.
    Denied(Denial),
    /// No configuration is known yet.
    Unconfigured,
}

/// Works out how a request is to be handled.
pub(super) fn plan<D: Codec>(gateway: &Gateway<D>, request: &Incoming) -> Result<Plan, NoPlan> {
    let catalog = gateway.node.view.borrow().catalog().cloned().ok_or(NoPlan::Unconfigured)?;
    let key = request.text(AUTHORIZATION.as_str()).and_then(|value| value.strip_prefix(SCHEME));
    let allowed = catalog.authorize(&request.host, request.path(), key.map(str::trim));
    let (route, account) = allowed.map_err(NoPlan::Denied)?;
    let service = service(gateway, route).ok_or(NoPlan::Denied(Denial::NoRoute))?;
    let names = gateway.node.codec.header_names();
    let age = Span(request.arrived.elapsed().as_micros() as u64);
    let arrived = Time(gateway.node.now().0.saturating_sub(age.0));
    let left = request.text(names.deadline).and_then(|text| text.trim().parse::<f64>().ok());
    let left = left.map_or(route.timeout, |ms| Span((ms.max(0.0) * 1_000.0) as u64));
    Ok(Plan {
        route: route.name.clone(),
        version: catalog.version,
        account: account.map(|account| account.name.clone()),
        repeat: route.retry_mode,
        streaming: route.streaming,
        attempts: route.max_attempts,
        priority: account.and_then(|account| account.priority).unwrap_or(route.priority),
        regions: route.allowed_regions(account),
        model: request.text(names.model).and_then(|text| text.parse().ok()),
        tokens: tokens(gateway, &catalog, request, &service),
        arrived,
        objective: arrived + route.objective,
        deadline: arrived + left.min(route.timeout),
        service,
    })
}

impl Plan {
    /// Returns what a place is asked for.
    pub(super) fn ask(&self) -> PlacementRequest {
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

    /// Returns the time that is left.
    pub(super) fn left(&self, now: Time) -> Duration {
        (self.deadline - now).into()
    }
}

/// Picks one of the services of a route by their weights.
fn service<D: Codec>(gateway: &Gateway<D>, route: &Route) -> Option<ServiceId> {
    let all: u32 = route.targets.iter().map(|target| target.weight).sum();
    if all == 0 {
        return route.targets.first().map(|target| target.service.clone());
    }
    let mut point = gateway.node.rng.borrow_mut().random_range(0..all);
    for target in &route.targets {
        if point < target.weight {
            return Some(target.service.clone());
        }
        point -= target.weight;
    }
    None
}

/// Returns the tokens of the prompt and the expected tokens of the answer.
fn tokens<D: Codec>(
    gateway: &Gateway<D>,
    catalog: &Rc<Catalog>,
    request: &Incoming,
    service: &ServiceId,
) -> (u32, u32) {
    let names = gateway.node.codec.header_names();
    let engine = catalog.services.get(service).and_then(|service| service.engine.as_ref());
    let usual = |pick: fn(&EngineSpec) -> u32| engine.map_or(0, pick);
    let told = request.text(names.token_counts).unwrap_or_default();
    let mut told = told.split(',').map(|part| part.trim().parse::<u32>().ok());
    let prompt = told.next().flatten().unwrap_or_else(|| usual(|engine| engine.mean_prompt));
    let most = told.next().flatten();
    let hint = request.text(names.length_hint).and_then(|text| text.trim().parse::<f64>().ok());
    let expected = hint.map_or_else(|| usual(|engine| engine.mean_answer), |hint| hint as u32);
    (prompt, most.map_or(expected, |most| expected.min(most)))
}
