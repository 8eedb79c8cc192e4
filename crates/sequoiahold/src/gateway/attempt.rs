//! One send of a request to one endpoint.

use std::time::Duration;

use actix_http::{
    StatusCode,
    header::{self, HeaderMap, HeaderName, HeaderValue},
};
use actix_rt::time::timeout;
use bytes::Bytes;
use sequoiahold_core::direct::{catalog::RetryMode, platform::Codec, scheduler::Grant};

use super::{plan::Plan, state::Gateway};
use crate::h1::{Answer, Incoming, Upstream, UpstreamError, end_to_end};

/// Largest body of an answer that is no stream.
const MAX_BODY_BYTES: usize = 16_777_216;
/// Answers to other requests that are passed over on one connection.
const MAX_STALE_RESPONSES: u32 = 2;
/// Longest idle time of a connection that carries what may run only once: the longer it was idle,
/// the likelier the endpoint closes it as the request arrives, which leaves the outcome unknown.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(1_000);
/// Longest idle time of a connection that carries anything else.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// What a send came to.
pub(super) enum SendOutcome {
    /// The head of the endpoint's answer; the body follows on the connection.
    Responded(Answer, Box<Upstream>),
    /// The endpoint says that it did not run the request.
    NotRun {
        /// Whether another instance or other weights were there.
        misdirected: bool,
    },
    /// No byte of the request has left.
    NotSent(String),
    /// The request may have run.
    Indeterminate {
        /// What went wrong.
        error: String,
        /// Whether the connection broke, as it does where the endpoint crashes.
        disconnected: bool,
    },
}

impl SendOutcome {
    fn indeterminate(error: impl Into<String>, disconnected: bool) -> Self {
        Self::Indeterminate { error: error.into(), disconnected }
    }
}

/// Sends a request and reads the head of the answer, for at most `response_timeout`.
pub(super) async fn send<D: Codec>(
    gateway: &Gateway<D>,
    plan: &Plan,
    request: &Incoming,
    grant: &Grant,
    last_event: Option<u64>,
    response_timeout: Duration,
) -> SendOutcome {
    let max_idle =
        if plan.retry_mode == RetryMode::AtMostOnce { MAX_IDLE_AT_MOST_ONCE } else { MAX_IDLE };
    let mut upstream = match gateway.pool.get(grant.addr, max_idle).await {
        Ok(upstream) => upstream,
        Err(error) => return SendOutcome::NotSent(format!("connecting: {error}")),
    };
    let headers = request_headers(gateway, plan, request, grant, last_event);
    let sending = upstream.send(request.method.clone(), &request.target, headers, &request.body);
    match timeout(response_timeout, sending).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) if error.begun => {
            return SendOutcome::indeterminate(format!("sending: {}", error.error), true);
        }
        Ok(Err(error)) => return SendOutcome::NotSent(format!("sending: {}", error.error)),
        Err(_) => return SendOutcome::indeterminate("sending took too long", false),
    }
    match timeout(response_timeout, read_head(gateway, request, &mut upstream)).await {
        Ok(Ok(answer)) => classify(gateway, answer, upstream).await,
        Ok(Err(error)) => SendOutcome::indeterminate(error.to_string(), error.is_break()),
        Err(_) => SendOutcome::indeterminate("no answer in time", false),
    }
}

/// Reads the head of the answer to this request; answers to others are passed over.
async fn read_head<D: Codec>(
    gateway: &Gateway<D>,
    request: &Incoming,
    upstream: &mut Upstream,
) -> Result<Answer, UpstreamError> {
    let name = gateway.node.dialect.header_names().attempt;
    let own = request.text(name);
    for _ in 0..=MAX_STALE_RESPONSES {
        let answer = upstream.head().await?;
        let echoed = answer.text(name);
        if echoed == own || (echoed.is_none() && !upstream.is_used()) {
            return Ok(answer);
        }
        upstream.spoil();
        upstream.body(MAX_BODY_BYTES).await?;
    }
    Err(UpstreamError::Malformed("only answers to other requests".to_owned()))
}

async fn classify<D: Codec>(
    gateway: &Gateway<D>,
    answer: Answer,
    mut upstream: Upstream,
) -> SendOutcome {
    let names = gateway.node.dialect.header_names();
    let misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected || answer.headers.contains_key(names.not_run) {
        // The connection is kept only if the rest of the answer comes soundly.
        if upstream.body(MAX_BODY_BYTES).await.is_ok() {
            gateway.pool.put(upstream);
        }
        return SendOutcome::NotRun { misdirected };
    }
    let signed = answer.headers.contains_key(names.signature);
    if answer.status.is_success() && !signed {
        return SendOutcome::indeterminate("an answer without the endpoint's signature", false);
    }
    SendOutcome::Responded(answer, Box::new(upstream))
}

/// Reads the rest of an answer that is no stream.
pub(super) async fn read_body<D: Codec>(
    gateway: &Gateway<D>,
    mut upstream: Upstream,
) -> Result<Bytes, UpstreamError> {
    let body = upstream.body(MAX_BODY_BYTES).await?;
    gateway.pool.put(upstream);
    Ok(body)
}

fn request_headers<D: Codec>(
    gateway: &Gateway<D>,
    plan: &Plan,
    request: &Incoming,
    grant: &Grant,
    last_event: Option<u64>,
) -> HeaderMap {
    let names = gateway.node.dialect.header_names();
    let mut headers = end_to_end(&request.headers);
    for name in [names.account, names.instance, names.version, names.priority] {
        headers.remove(name);
    }
    headers.remove(header::AUTHORIZATION);
    let time_left = plan.time_left(gateway.node.now()).as_millis();
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(names.deadline, time_left.to_string());
    set(names.instance, grant.instance.to_string());
    if let Some(account) = &plan.account {
        set(names.account, account.to_string());
    }
    if let Some(version) = grant.version {
        set(names.version, version.to_string());
    }
    if let Some(last_event) = last_event {
        set(names.last_event, last_event.to_string());
    }
    headers
}
