//! The HTTP server for callers.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{ConnectionType, HttpMessage as _, Request, Response};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use sequoiahold_core::{
    adopt::ConfigInForce,
    entry::{Arrival, DEFAULT_URGENCY},
    ids::{ClientId, Digest, ServiceId},
    once::CallKey,
    refusal::{Reason, Refusal},
    units::{self, Span},
};
use tokio::sync::watch;

use super::{
    auth,
    body::Body,
    event_loop::Context,
    problem,
    request::{IncomingRequest, RequestHandler},
};
use crate::{
    http,
    metrics::Metrics,
    settings::{self, CallerLimits},
};

/// Path of chat completion requests to model services.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Path prefix of requests to plain services.
const SERVICES_PREFIX: &str = "/services/";
/// Path prefix of requests for tickets.
const TICKETS_PREFIX: &str = "/tickets/";
/// Header that carries the idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that carries the urgency of a request relative to others of its client account.
const PRIORITY_HEADER: &str = "priority";
/// Maximum time that open connections have to send their buffered data after the requests ended.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks for requests in progress and open connections.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A validated request of a caller.
enum CallerRequest {
    Run(IncomingRequest),
    Ticket(ClientId, ServiceId),
}

/// Accepts requests of callers.
#[derive(Clone)]
pub struct Server {
    config: watch::Receiver<Option<ConfigInForce>>,
    requests: RequestHandler,
    limits: CallerLimits,
    active: Rc<Cell<usize>>,
    draining: Rc<Cell<bool>>,
}

impl Server {
    /// Returns a server that sends its requests to the event loop of `context`.
    pub fn new(
        settings: &settings::Entry,
        context: &Context,
        config: watch::Receiver<Option<ConfigInForce>>,
        metrics: Metrics,
    ) -> Self {
        let requests = RequestHandler {
            vm: settings.vm.clone(),
            incarnation: context.clock.incarnation(),
            peers: context.connections.clone(),
            events: context.events.clone(),
            metrics,
        };
        let limits = settings.limits.clone();
        Self { config, requests, limits, active: Rc::default(), draining: Rc::default() }
    }

    /// Starts to listen on `addr` and returns the live count of open connections.
    pub async fn listen(&self, addr: SocketAddr) -> anyhow::Result<Rc<Cell<u32>>> {
        let server = self.clone();
        let limits = self.limits.clone();
        http::serve_with_limits(addr, limits, move |request| server.clone().handle(request)).await
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.active.get()
    }

    /// Refuses new requests and waits up to `timeout` for the requests in progress.
    pub async fn drain(&self, timeout: Duration, open_connections: &Cell<u32>) {
        self.draining.set(true);
        let done = poll_until(|| self.active.get() == 0);
        let _ = actix_rt::time::timeout(timeout, done).await;
        let _ = actix_rt::time::timeout(FLUSH_TIMEOUT, poll_until(|| open_connections.get() == 0))
            .await;
    }

    async fn handle(self, request: Request) -> Response<Body> {
        let guard = RequestGuard::new(&self.active);
        let has_key = request.headers().contains_key(IDEMPOTENCY_KEY_HEADER);
        let mut response = match self.parse_request(request).await {
            Ok(CallerRequest::Run(incoming)) => self.requests.run(incoming, guard).await,
            Ok(CallerRequest::Ticket(client, service)) => {
                self.requests.request_ticket(client, service).await
            }
            Err(refusal) => problem::refused(refusal, has_key),
        };
        if self.draining.get() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

    async fn parse_request(&self, mut request: Request) -> Result<CallerRequest, Refusal> {
        if self.draining.get() {
            return Err(Refusal::retry_after(Reason::Leaving, Span::secs(1)));
        }
        let fleet = self.config.borrow().as_ref().map(|config| config.fleet.clone());
        let fleet = fleet.ok_or(Refusal::retry_after(Reason::Unconfigured, Span::secs(1)))?;
        let client = auth::authenticate(&fleet, &request)?;
        if let Some(service) = request.path().strip_prefix(TICKETS_PREFIX) {
            let service = service.parse().map_err(|_| Refusal::new(Reason::BadRequest))?;
            let known = Some(&service).filter(|service| client.services.contains(service));
            known.ok_or(Refusal::new(Reason::UnknownService))?;
            return Ok(CallerRequest::Ticket(client.name.clone(), service));
        }
        let upload =
            actix_rt::time::timeout(self.limits.upload.into(), self.read_body(&mut request));
        let body = upload.await.map_err(|_| Refusal::new(Reason::BadRequest))??;
        let (service, path) = parse_target(&request, &body)?;
        let declared = fleet.services.get(&service).ok_or(Refusal::new(Reason::UnknownService))?;
        if !client.services.contains(&service) {
            return Err(Refusal::new(Reason::UnknownService));
        }
        let arrival = Arrival {
            client: client.name.clone(),
            service,
            key: idempotency_key(&request)?.filter(|_| !declared.repeatable),
            fingerprint: request_fingerprint(&request, &path, &body),
            timeout: declared.timeout,
            urgency: parse_urgency(&request),
            size: units::Bytes(body.len() as u64),
        };
        Ok(CallerRequest::Run(IncomingRequest {
            arrival,
            method: request.method().to_string(),
            path,
            body,
        }))
    }

    async fn read_body(&self, request: &mut Request) -> Result<Bytes, Refusal> {
        let mut payload = request.take_payload();
        let mut body = BytesMut::new();
        while let Some(part) = payload.next().await {
            let part = part.map_err(|_| Refusal::new(Reason::BadRequest))?;
            if body.len() + part.len() > self.limits.body.0 as usize {
                return Err(Refusal::new(Reason::BadRequest));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    }
}

async fn poll_until(done: impl Fn() -> bool) {
    while !done() {
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct RequestGuard(Rc<Cell<usize>>);

impl RequestGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn parse_target(request: &Request, body: &Bytes) -> Result<(ServiceId, String), Refusal> {
    #[derive(serde::Deserialize)]
    struct ChatRequest {
        model: ServiceId,
    }
    let malformed = Refusal::new(Reason::BadRequest);
    let uri = request.uri().path_and_query().map_or("/", |path| path.as_str());
    if request.path() == CHAT_PATH {
        let chat: ChatRequest = serde_json::from_slice(body).map_err(|_| malformed)?;
        return Ok((chat.model, CHAT_PATH.to_owned()));
    }
    let rest = uri.strip_prefix(SERVICES_PREFIX).ok_or(Refusal::new(Reason::UnknownService))?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let service = rest[..end].parse().map_err(|_| malformed)?;
    let path = if rest[end..].starts_with('/') {
        rest[end..].to_owned()
    } else {
        format!("/{}", &rest[end..])
    };
    Ok((service, path))
}

/// Returns the urgency in the `priority` header (RFC 9218), such as `u=1`, or the default.
fn parse_urgency(request: &Request) -> u8 {
    let value = request.headers().get(PRIORITY_HEADER).and_then(|value| value.to_str().ok());
    let urgency = value.and_then(|text| {
        let part = text.split(',').find_map(|part| part.trim().strip_prefix("u="));
        part.and_then(|number| number.parse().ok())
    });
    urgency.filter(|urgency| *urgency < 8).unwrap_or(DEFAULT_URGENCY)
}

/// Returns the digest of method, path and body, which is equal for all copies of a request.
fn request_fingerprint(request: &Request, path: &str, body: &Bytes) -> Digest {
    let request_line = format!("{} {path}\n", request.method());
    Digest::of(&[request_line.as_bytes(), body].concat())
}

fn idempotency_key(request: &Request) -> Result<Option<CallKey>, Refusal> {
    let Some(value) = request.headers().get(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(Refusal::new(Reason::BadRequest))
}
