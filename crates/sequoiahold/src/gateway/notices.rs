//! What answers of endpoints say of the endpoints themselves.

use std::time::SystemTime;

use actix_http::{StatusCode, header::RETRY_AFTER};
use sequoiahold_core::{
    direct::{availability::Cause, pause::PauseRequest, platform::Codec, scheduler::Grant},
    time::Time,
};

use super::state::Gateway;
use crate::h1::{IncomingRequest, UpstreamResponse};

/// Maximum number of causes in a log line, which bounds its size at a large service.
const MAX_LOGGED_CAUSES: usize = 8;

/// Records what an answer at the endpoint of a grant says of the endpoint.
pub(super) fn record_answer<C: Codec>(
    gateway: &Gateway<C>,
    request: &IncomingRequest,
    grant: &Grant,
    response: &UpstreamResponse,
) {
    // Another instance may have answered at the address.
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if response.status == StatusCode::SERVICE_UNAVAILABLE {
        record_pause(gateway, request, grant, response);
    }
}

fn record_pause<C: Codec>(
    gateway: &Gateway<C>,
    request: &IncomingRequest,
    grant: &Grant,
    response: &UpstreamResponse,
) {
    let Some(value) = response.headers.get(RETRY_AFTER) else { return };
    let text = value.to_str().unwrap_or("");
    let pause = PauseRequest::decode(text, SystemTime::now());
    let (request, instance) = (attempt_id(gateway, request), grant.instance.as_str());
    let pause_ms = pause.span().0 / 1_000;
    if !matches!(pause, PauseRequest::For(_)) {
        let fault = format!("{pause:?}: {text}");
        log::warn!(request, instance, fault = fault.as_str(), pause_ms; "unusable pause");
    }
    let now = gateway.node.now();
    if gateway.scheduler.borrow_mut().record_pause(now, grant, pause.span()) {
        log::info!(request, instance, pause_ms; "endpoint asks for a pause");
    }
}

/// Updates the metric of unavailable endpoints.
pub(super) fn count_unavailable<C: Codec>(gateway: &Gateway<C>) {
    let counts = gateway.scheduler.borrow().unavailable_endpoints(gateway.node.now());
    for (cause, endpoints) in counts {
        gateway.metrics.set_unavailable_endpoints(cause.label(), endpoints);
    }
}

/// Logs the causes for which endpoints of a service take no requests, for one that was refused.
pub(super) fn log_causes<C: Codec>(gateway: &Gateway<C>, id: &str, service: &str) {
    let now = gateway.node.now();
    let causes = {
        let scheduler = gateway.scheduler.borrow();
        let of_service = scheduler
            .endpoints()
            .filter(|(_, state)| state.endpoint.entry.service.as_str() == service);
        let causes = of_service.flat_map(|(_, state)| {
            let instance = state.endpoint.entry.instance.as_str();
            state.causes(now).map(move |(cause, end)| cause_text(now, instance, cause, end))
        });
        causes.take(MAX_LOGGED_CAUSES).collect::<Vec<_>>().join(", ")
    };
    if !causes.is_empty() {
        log::info!(target: "request", id, causes = causes.as_str(); "endpoints unavailable");
    }
}

/// Returns a cause and the time until its end, as in `i-1 pause 1250 ms`.
pub(super) fn cause_text(now: Time, instance: &str, cause: Cause, end: Option<Time>) -> String {
    let label = cause.label();
    match end {
        Some(end) => format!("{instance} {label} {} ms", (end - now).0 / 1_000),
        None => format!("{instance} {label}"),
    }
}

fn attempt_id<'a, C: Codec>(gateway: &Gateway<C>, request: &'a IncomingRequest) -> &'a str {
    request.header_text(gateway.node.codec.header_names().attempt).unwrap_or("")
}
