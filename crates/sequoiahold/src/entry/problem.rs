//! Responses that the entry makes itself: problem details (RFC 9457) and issued tickets.

use actix_http::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use bytes::Bytes;
use sequoiahold_core::{
    once::OnceTicket,
    refusal::{Failure, Refusal},
};
use serde_json::json;

use super::body::Body;

/// HTTP status of a request that was handed over and has no complete response.
const FAILED_STATUS: u16 = 502;

/// Returns the response to a refused request.
///
/// For a request with an idempotency key the outcome is unknown, because an earlier call with the
/// same key may have run.
pub fn refused(refusal: Refusal, has_key: bool) -> Response<Body> {
    let detail = json!({
        "type": "about:blank",
        "title": refusal.reason.to_string(),
        "reason": refusal.reason,
        "status": refusal.reason.status(),
        "not_run": !has_key,
        "outcome": if has_key { "unknown" } else { "not_run" },
        "retry_after_ms": refusal.retry.map(|span| span.0 / 1_000),
    });
    let mut response = problem(refusal.reason.status(), &detail);
    if let Some(retry) = refusal.retry {
        let seconds = HeaderValue::from(retry.0.div_ceil(1_000_000));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Returns the response to a request that was handed over and has no complete response.
pub fn failed(failure: Failure) -> Response<Body> {
    problem(FAILED_STATUS, &failed_detail(failure))
}

/// Returns the error event that ends a truncated event stream, so that clients can tell it from a
/// complete one.
pub fn error_event(failure: Failure) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", failed_detail(failure)))
}

fn failed_detail(failure: Failure) -> serde_json::Value {
    let outcome = match failure {
        Failure::Crashed | Failure::CrashedAlone | Failure::Cancelled => "failed",
        Failure::Unknown => "unknown",
    };
    json!({
        "type": "about:blank",
        "title": "the request was handed over and has no whole answer",
        "status": FAILED_STATUS,
        "not_run": false,
        "outcome": outcome,
    })
}

/// Returns the response that carries a ticket.
pub fn ticket(ticket: OnceTicket) -> Response<Body> {
    let body = json!({ "ticket": ticket.to_string() }).to_string();
    let mut response = Response::with_body(StatusCode::CREATED, Body::Complete(Bytes::from(body)));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn problem(status: u16, detail: &serde_json::Value) -> Response<Body> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let body = Bytes::from(detail.to_string());
    let mut response = Response::with_body(status, Body::Complete(body));
    let content_type = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
