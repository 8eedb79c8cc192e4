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
const MAX_BODY: usize = 16_777_216;
/// Answers to other requests that are passed over on one connection.
const MAX_SURPLUS: u32 = 2;
/// Longest idle time of a connection that carries what may run only once: the longer it was idle,
/// the likelier the endpoint closes it as the request arrives, which leaves the outcome unknown.
const FRESH_ONCE: Duration = Duration::from_millis(1_000);
/// Longest idle time of a connection that carries anything else.
const FRESH: Duration = Duration::from_secs(60);

/// What a send came to.
pub(super) enum Sent {
    /// The head of the endpoint's answer; the body follows on the connection.
    Answered(Answer, Box<Upstream>),
    /// The endpoint says that it did not run the request.
    NotRun {
        /// Whether another instance or other weights were there.
        misdirected: bool,
    },
    /// No byte of the request has left.
    Unsent(String),
    /// The request may have run.
    Lost {
        /// What went wrong.
        fault: String,
        /// Whether the connection broke, as it does where the endpoint crashes.
        broke: bool,
    },
}

impl Sent {
    fn lost(fault: impl Into<String>, broke: bool) -> Self {
        Self::Lost { fault: fault.into(), broke }
    }
}

/// Sends a request and reads the head of the answer, for at most `silence`.
pub(super) async fn send<D: Codec>(
    gateway: &Gateway<D>,
    plan: &Plan,
    request: &Incoming,
    grant: &Grant,
    last: Option<u64>,
    silence: Duration,
) -> Sent {
    let fresh = if plan.repeat == RetryMode::AtMostOnce { FRESH_ONCE } else { FRESH };
    let mut upstream = match gateway.pool.get(grant.addr, fresh).await {
        Ok(upstream) => upstream,
        Err(error) => return Sent::Unsent(format!("connecting: {error}")),
    };
    let headers = headers(gateway, plan, request, grant, last);
    let sending = upstream.send(request.method.clone(), &request.target, headers, &request.body);
    match timeout(silence, sending).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) if error.begun => {
            return Sent::lost(format!("sending: {}", error.error), true);
        }
        Ok(Err(error)) => return Sent::Unsent(format!("sending: {}", error.error)),
        Err(_) => return Sent::lost("sending took too long", false),
    }
    match timeout(silence, head(gateway, request, &mut upstream)).await {
        Ok(Ok(answer)) => judge(gateway, answer, upstream).await,
        Ok(Err(error)) => Sent::lost(error.to_string(), error.is_break()),
        Err(_) => Sent::lost("no answer in time", false),
    }
}

/// Reads the head of the answer to this request; answers to others are passed over.
async fn head<D: Codec>(
    gateway: &Gateway<D>,
    request: &Incoming,
    upstream: &mut Upstream,
) -> Result<Answer, UpstreamError> {
    let name = gateway.node.codec.header_names().attempt;
    let own = request.text(name);
    for _ in 0..=MAX_SURPLUS {
        let answer = upstream.head().await?;
        let echoed = answer.text(name);
        if echoed == own || (echoed.is_none() && !upstream.is_used()) {
            return Ok(answer);
        }
        upstream.spoil();
        upstream.body(MAX_BODY).await?;
    }
    Err(UpstreamError::Malformed("only answers to other requests".to_owned()))
}

async fn judge<D: Codec>(gateway: &Gateway<D>, answer: Answer, mut upstream: Upstream) -> Sent {
    let names = gateway.node.codec.header_names();
    let misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected || answer.headers.contains_key(names.not_run) {
        // The connection is kept only if the rest of the answer comes soundly.
        if upstream.body(MAX_BODY).await.is_ok() {
            gateway.pool.put(upstream);
        }
        return Sent::NotRun { misdirected };
    }
    let signed = answer.headers.contains_key(names.signature);
    if answer.status.is_success() && !signed {
        return Sent::lost("an answer without the endpoint's signature", false);
    }
    Sent::Answered(answer, Box::new(upstream))
}

/// Reads the rest of an answer that is no stream.
pub(super) async fn body<D: Codec>(
    gateway: &Gateway<D>,
    mut upstream: Upstream,
) -> Result<Bytes, UpstreamError> {
    let body = upstream.body(MAX_BODY).await?;
    gateway.pool.put(upstream);
    Ok(body)
}

fn headers<D: Codec>(
    gateway: &Gateway<D>,
    plan: &Plan,
    request: &Incoming,
    grant: &Grant,
    last: Option<u64>,
) -> HeaderMap {
    let names = gateway.node.codec.header_names();
    let mut headers = end_to_end(&request.headers);
    for name in [names.account, names.instance, names.version, names.priority] {
        headers.remove(name);
    }
    headers.remove(header::AUTHORIZATION);
    let left = plan.left(gateway.node.now()).as_millis();
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(names.deadline, left.to_string());
    set(names.instance, grant.instance.to_string());
    if let Some(account) = &plan.account {
        set(names.account, account.to_string());
    }
    if let Some(version) = grant.version {
        set(names.version, version.to_string());
    }
    if let Some(last) = last {
        set(names.last_event, last.to_string());
    }
    headers
}
