//! A single attempt to send a request to an endpoint.

use std::{
    future::{Future, pending},
    io,
    pin::pin,
    time::Duration,
};

use actix_http::{
    StatusCode,
    header::{self, HeaderMap, HeaderName, HeaderValue},
};
use bytes::Bytes;
use sequoiahold_core::{
    direct::{
        admission::Urgency, availability::Cause, catalog::RetryMode, platform::Codec,
        scheduler::Grant,
    },
    ids::ConnectionId,
    time::Time,
};

use super::{memory::AnswerMemory, notices, plan::Plan, rate_limits, state::Gateway};
use crate::h1::{IncomingRequest, Upstream, UpstreamError, UpstreamResponse, end_to_end_headers};

/// Maximum body length of a response that is not a stream.
const MAX_BODY_BYTES: usize = 16_777_216;
/// Maximum number of responses to earlier requests that are skipped on a connection.
const MAX_STALE_RESPONSES: u32 = 2;
/// Maximum idle time of a connection that is reused for at-most-once requests: the longer it was
/// idle, the likelier the endpoint closes it as the request arrives, which leaves the outcome
/// unknown.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(1_000);
/// Maximum idle time of a connection that is reused for other requests.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// An attempt that is to be made.
pub(super) struct Attempt<'a> {
    pub(super) plan: &'a Plan,
    pub(super) request: &'a IncomingRequest,
    pub(super) grant: &'a Grant,
    /// The last event that the caller has of a stream.
    pub(super) last_event: Option<u64>,
    /// Maximum time to send the request, and again to read the response head.
    pub(super) timeout: Duration,
}

/// Outcome of an attempt.
pub(super) enum SendOutcome {
    /// The endpoint sent a response head; the body follows on the connection.
    Responded(UpstreamResponse, Box<Upstream>),
    /// The endpoint reported that it did not run the request.
    NotRun {
        /// Whether the address serves another instance or version.
        misdirected: bool,
    },
    /// No byte of the request was sent.
    NotSent(String),
    /// No byte of the request was sent, as the endpoint wants no more requests, until the given
    /// time if it is known.
    Withheld(Cause, Option<Time>),
    /// The request may have run.
    Indeterminate {
        /// The error, for the log.
        error: String,
        /// Whether the connection broke, as it does when the endpoint crashes.
        disconnected: bool,
    },
}

impl SendOutcome {
    fn indeterminate(error: impl Into<String>, disconnected: bool) -> Self {
        Self::Indeterminate { error: error.into(), disconnected }
    }
}

/// Sends a request and reads the response head, both by the time by which the grant wants the request
/// to have begun.
///
/// Uses no connection in `used`, and adds its own.
pub(super) async fn send<C: Codec>(
    gateway: &Gateway<C>,
    attempt: Attempt<'_>,
    used: &mut Vec<ConnectionId>,
) -> SendOutcome {
    let Attempt { request, grant, timeout, .. } = attempt;
    let mut upstream = match connect(gateway, &attempt, used).await {
        Ok(upstream) => upstream,
        Err(error) => return SendOutcome::NotSent(format!("connecting: {error}")),
    };
    // The endpoint may have said so while the connection was opened.
    let sent = gateway.node.now();
    let withheld = gateway.scheduler.borrow().withheld(sent, grant);
    if let Some((cause, end)) = withheld {
        gateway.pool.release(upstream);
        return SendOutcome::Withheld(cause, end);
    }
    used.push(upstream.id());
    let headers = request_headers(gateway, &attempt);
    let sending = upstream.send(request.method.clone(), &request.target, headers, &request.body);
    let mut overdue = pin!(overdue(gateway, grant));
    match in_time(timeout, overdue.as_mut(), sending).await {
        Some(Ok(())) => {}
        Some(Err(error)) if error.partly_sent => {
            return SendOutcome::indeterminate(format!("sending: {}", error.error), true);
        }
        Some(Err(error)) => return SendOutcome::NotSent(format!("sending: {}", error.error)),
        None => return SendOutcome::indeterminate("sending timed out", false),
    }
    let head = read_head(gateway, request, grant, sent, &mut upstream);
    match in_time(timeout, overdue, head).await {
        Some(Ok(response)) => {
            rate_limits::record_answer(gateway, request, &grant.instance, &response);
            classify(gateway, response, upstream).await
        }
        Some(Err(error)) => SendOutcome::indeterminate(error.to_string(), error.is_disconnect()),
        None => SendOutcome::indeterminate("no response in time", false),
    }
}

/// Returns a connection to the endpoint of a grant on which a late answer to another attempt cannot
/// be taken for that to this one.
///
/// Answers are matched by the id of the request, which is the same in all its attempts: a request is
/// sent once over a connection. A request without an id gets a connection of its own.
async fn connect<C: Codec>(
    gateway: &Gateway<C>,
    &Attempt { plan, request, grant, .. }: &Attempt<'_>,
    used: &[ConnectionId],
) -> io::Result<Upstream> {
    if request.header_text(gateway.node.codec.header_names().attempt).is_none() {
        let mut upstream = gateway.pool.open(grant.addr).await?;
        upstream.forbid_reuse();
        return Ok(upstream);
    }
    let max_idle =
        if plan.retry_mode == RetryMode::AtMostOnce { MAX_IDLE_AT_MOST_ONCE } else { MAX_IDLE };
    gateway.pool.get_or_open(grant.addr, max_idle, used).await
}

/// Returns the output of `work`, `None` after `limit` or once the request is overdue.
async fn in_time<T>(
    limit: Duration,
    overdue: impl Future<Output = ()>,
    work: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        output = actix_rt::time::timeout(limit, work) => output.ok(),
        () = overdue => None,
    }
}

/// Waits until a request must have begun at its endpoint, also by a version that is announced
/// meanwhile; forever if it names no model.
async fn overdue<C: Codec>(gateway: &Gateway<C>, grant: &Grant) {
    if grant.model.is_none() {
        return pending().await;
    }
    let mut changes = gateway.node.subscribe();
    loop {
        let begin_by = gateway.scheduler.borrow().begin_by(&gateway.node.view.borrow(), grant);
        tokio::select! {
            () = gateway.node.clock.sleep_until(begin_by) => return,
            Ok(()) = changes.changed() => {}
            else => return pending().await,
        }
    }
}

/// Reads the response head, skipping responses to earlier requests on the same connection.
async fn read_head<C: Codec>(
    gateway: &Gateway<C>,
    request: &IncomingRequest,
    grant: &Grant,
    sent: Time,
    upstream: &mut Upstream,
) -> Result<UpstreamResponse, UpstreamError> {
    let name = gateway.node.codec.header_names().attempt;
    let expected = request.header_text(name);
    for _ in 0..=MAX_STALE_RESPONSES {
        let response = upstream.read_head().await?;
        let echoed = response.header_text(name);
        let is_own = echoed == expected || (echoed.is_none() && !upstream.is_reused());
        notices::record_answer(gateway, request, grant, is_own.then_some(sent), &response);
        if is_own {
            return Ok(response);
        }
        upstream.forbid_reuse();
        upstream.skip_body(MAX_BODY_BYTES).await?;
        let (id, other) = (expected.unwrap_or(""), echoed.unwrap_or(""));
        let (instance, status) = (grant.instance.as_str(), response.status.as_u16());
        log::info!(target: "request", id, instance, other, status; "answer to another request");
    }
    Err(UpstreamError::Malformed("received only responses to other requests".to_owned()))
}

/// Classifies a response by its head; a success without the endpoint's signature is indeterminate.
async fn classify<C: Codec>(
    gateway: &Gateway<C>,
    response: UpstreamResponse,
    mut upstream: Upstream,
) -> SendOutcome {
    let names = gateway.node.codec.header_names();
    let misdirected = response.status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected || response.headers.contains_key(names.not_run) {
        // The connection is reused only if the rest of the response can be read.
        if upstream.skip_body(MAX_BODY_BYTES).await.is_ok() {
            gateway.pool.release(upstream);
        }
        return SendOutcome::NotRun { misdirected };
    }
    let signed = response.headers.contains_key(names.signature);
    if response.status.is_success() && !signed {
        return SendOutcome::indeterminate("response lacks the endpoint's signature", false);
    }
    SendOutcome::Responded(response, Box::new(upstream))
}

/// Reads the body of a response that is not a stream and returns the connection to the pool.
pub(super) async fn read_body<C: Codec>(
    gateway: &Gateway<C>,
    mut upstream: Upstream,
    memory: &AnswerMemory<'_, C>,
) -> Result<Bytes, UpstreamError> {
    let body = upstream.read_body(MAX_BODY_BYTES, memory).await?;
    gateway.pool.release(upstream);
    Ok(body)
}

/// Returns the headers for the endpoint: the caller's, except credentials and the headers that only
/// gateways may set.
fn request_headers<C: Codec>(gateway: &Gateway<C>, attempt: &Attempt<'_>) -> HeaderMap {
    let &Attempt { plan, request, grant, last_event, .. } = attempt;
    let names = gateway.node.codec.header_names();
    let mut headers = end_to_end_headers(&request.headers);
    for name in [names.account, names.instance, names.version, names.priority] {
        headers.remove(name);
    }
    headers.remove(header::AUTHORIZATION);
    let now = gateway.node.now();
    let time_left = plan.time_left(now).as_millis();
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(names.deadline, time_left.to_string());
    // The rest of a stream is not late, as its first event has reached the caller.
    let late = last_event.is_none() && plan.objective <= now;
    let urgency = Urgency { late, priority: plan.priority };
    set(names.priority, gateway.node.codec.encode_urgency(urgency));
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
