//! What answers of endpoints say of the endpoints themselves.

use std::time::SystemTime;

use actix_http::{
    StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};
use sequoiahold_core::{
    direct::{
        availability::Cause, endpoint_notices::LeavingReport, membership::Role,
        pause::PauseRequest, platform::Codec, scheduler::Grant,
    },
    ids::ServiceId,
    refusal::Reason,
    time::Time,
};

use super::{datagrams, state::Gateway};
use crate::{
    h1::{IncomingRequest, UpstreamResponse},
    node::Datagram,
};

/// Maximum number of causes in a log line, which bounds its size at a large service.
const MAX_LOGGED_CAUSES: usize = 8;

/// Records what an answer at the endpoint of a grant says of the endpoint.
///
/// `sent` is the time at which its request was sent, `None` if it belongs to an earlier one.
pub(super) fn record_answer<C: Codec>(
    gateway: &Gateway<C>,
    request: &IncomingRequest,
    grant: &Grant,
    sent: Option<Time>,
    response: &UpstreamResponse,
) {
    // Another instance may have answered at the address.
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    record_leaving(gateway, request, grant, sent, response);
    if response.status == StatusCode::SERVICE_UNAVAILABLE {
        record_pause(gateway, request, grant, response);
    }
}

fn record_leaving<C: Codec>(
    gateway: &Gateway<C>,
    request: &IncomingRequest,
    grant: &Grant,
    sent: Option<Time>,
    response: &UpstreamResponse,
) {
    let codec = &gateway.node.codec;
    let (id, instance) = (attempt_id(gateway, request), grant.instance.as_str());
    let value = response.headers.get(codec.header_names().leaving);
    let decode = |value: &HeaderValue| codec.decode_leaving(value.to_str().unwrap_or(""));
    let leaving = match value.map(decode).transpose() {
        Ok(leaving) => leaving.unwrap_or(false),
        Err(error) => {
            let fault = error.to_string();
            log::warn!(id, instance, fault = fault.as_str(); "unreadable answer");
            return;
        }
    };
    let (now, sent) = (gateway.node.now(), sent.unwrap_or_default());
    let report = gateway.scheduler.borrow_mut().record_leaving(now, sent, grant, leaving);
    if let Some(report) = report {
        log_leaving(&report, id);
        let peers = gateway.node.peer_addrs(Role::Gateway);
        gateway.node.send_at(now, peers, &Datagram::Leaving(vec![report]));
    }
}

/// Applies the reports that another gateway sent at `sent`.
pub(super) fn receive<C: Codec>(gateway: &Gateway<C>, sent: Time, reports: Vec<LeavingReport>) {
    let now = gateway.node.now();
    let changes = gateway.scheduler.borrow_mut().merge_leaving(now, sent, reports);
    changes.iter().for_each(|report| log_leaving(report, ""));
}

/// Reports the endpoints that leave to one other gateway, which may have missed it.
pub(super) fn send_reports<C: Codec>(gateway: &Gateway<C>) {
    let now = gateway.node.now();
    let reports = gateway.scheduler.borrow().leaving_reports(now);
    let name_bytes = |report: &LeavingReport| report.instance.as_str().len();
    datagrams::send_reports(gateway, now, reports, name_bytes, Datagram::Leaving);
}

/// Logs a change, with the request whose answer told it, if any.
fn log_leaving(report: &LeavingReport, id: &str) {
    let (instance, age_ms) = (report.instance.as_str(), report.age.0 / 1_000);
    match report.leaving {
        true => log::info!(id, instance, age_ms; "endpoint leaves"),
        false => log::info!(id, instance, age_ms; "endpoint no longer leaves"),
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
    let (id, instance) = (attempt_id(gateway, request), grant.instance.as_str());
    let pause_ms = pause.span().0 / 1_000;
    if !matches!(pause, PauseRequest::For(_)) {
        let fault = format!("{pause:?}: {text}");
        log::warn!(id, instance, fault = fault.as_str(), pause_ms; "unusable pause");
    }
    let now = gateway.node.now();
    if gateway.scheduler.borrow_mut().record_pause(now, grant, pause.span()) {
        log::info!(id, instance, pause_ms; "endpoint asks for a pause");
    }
}

/// Logs the pauses that have ended, and updates the metric of unavailable endpoints.
pub(super) fn log_changes<C: Codec>(gateway: &Gateway<C>) {
    let now = gateway.node.now();
    for instance in gateway.scheduler.borrow_mut().take_ended_pauses(now) {
        log::info!(instance = instance.as_str(); "pause of an endpoint ended");
    }
    gateway.metrics.set_paced_endpoints(gateway.scheduler.borrow().paced_endpoints());
    let counts = gateway.scheduler.borrow().unavailable_endpoints(now);
    for (cause, endpoints) in counts {
        gateway.metrics.set_unavailable_endpoints(cause.label(), endpoints);
    }
}

/// Logs the causes for which endpoints of a service get no requests, for one that was refused.
///
/// A refusal for too many requests is logged only if a rate limit may have contributed to it.
pub(super) fn log_causes<C: Codec>(
    gateway: &Gateway<C>,
    id: &str,
    service: &ServiceId,
    reason: Reason,
) {
    let (now, scheduler) = (gateway.node.now(), gateway.scheduler.borrow());
    let mut causes = scheduler.causes(now, service);
    let is_due = match reason {
        Reason::NoEndpoint => true,
        Reason::Overload => causes.any(|(_, cause, _)| cause == Cause::RateLimit),
        _ => false,
    };
    if !is_due {
        return;
    }
    let causes = scheduler.causes(now, service).take(MAX_LOGGED_CAUSES);
    let causes: Vec<String> = causes
        .map(|(instance, cause, end)| cause_text(now, instance.as_str(), cause, end))
        .collect();
    if !causes.is_empty() {
        log::info!(target: "request", id, causes = causes.join(", ").as_str(); "endpoints unavailable");
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
