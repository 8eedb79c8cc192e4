//! The HTTP server for callers.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{ConnectionType, HttpMessage as _, Request, Response};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use sequoiahold_core::{
    adopt::InForce,
    entry::{Arrival, DEFAULT_URGENCY},
    ids::{ClientId, Digest, ServiceId},
    once::CallKey,
    refuse::{Reason, Refusal},
    units::{self, Span},
};
use tokio::sync::watch;

use super::{
    auth,
    body::Body,
    event_loop::Parts,
    problem,
    request::{Incoming, Requests},
};
use crate::{
    http,
    metrics::Metrics,
    settings::{self, CallerLimits},
};

/// Path of the chat completions of model services.
const CHAT: &str = "/v1/chat/completions";
/// Prefix of the paths of plain services.
const SERVICES: &str = "/services/";
/// Prefix of the paths at which tickets are issued.
const TICKETS: &str = "/tickets/";
/// Header that carries the idempotency key.
const KEY: &str = "idempotency-key";

/// Header that carries the urgency within the client account.
const PRIORITY: &str = "priority";
/// Time that open connections have to deliver their last bytes.
const LAST_BYTES: Duration = Duration::from_secs(2);
/// Pause between two looks at what is still in progress.
const LOOK: Duration = Duration::from_millis(20);

/// What a caller plans.
enum CallerRequest {
    Run(Incoming),
    Ticket(ClientId, ServiceId),
}

/// Takes callers.
#[derive(Clone)]
pub struct Server {
    config: watch::Receiver<Option<InForce>>,
    requests: Requests,
    limits: CallerLimits,
    active: Rc<Cell<usize>>,
    draining: Rc<Cell<bool>>,
}

impl Server {
    /// Returns a server that asks the event loop behind `events`.
    pub fn new(
        settings: &settings::Entry,
        parts: &Parts,
        config: watch::Receiver<Option<InForce>>,
        metrics: Metrics,
    ) -> Self {
        let requests = Requests {
            vm: settings.vm.clone(),
            incarnation: parts.clock.incarnation(),
            links: parts.links.clone(),
            events: parts.events.clone(),
            metrics,
        };
        let limits = settings.limits.clone();
        Self { config, requests, limits, active: Rc::default(), draining: Rc::default() }
    }

    /// Starts to take callers on `addr`; the number of their open connections is returned.
    pub async fn listen(&self, addr: SocketAddr) -> anyhow::Result<Rc<Cell<u32>>> {
        let server = self.clone();
        let limits = self.limits.clone();
        http::serve_with_limits(addr, limits, move |request| server.clone().handle(request)).await
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.active.get()
    }

    /// Refuses new work and lets the requests in progress finish, for at most `patience`.
    pub async fn drain(&self, patience: Duration, open: &Cell<u32>) {
        self.draining.set(true);
        let done = until(|| self.active.get() == 0);
        let _ = actix_rt::time::timeout(patience, done).await;
        let _ = actix_rt::time::timeout(LAST_BYTES, until(|| open.get() == 0)).await;
    }

    async fn handle(self, request: Request) -> Response<Body> {
        let guard = Active::new(&self.active);
        let keyed = request.headers().contains_key(KEY);
        let mut response = match self.plan(request).await {
            Ok(CallerRequest::Run(incoming)) => self.requests.run(incoming, guard).await,
            Ok(CallerRequest::Ticket(client, service)) => {
                self.requests.ticket(client, service).await
            }
            Err(refusal) => problem::refused(refusal, keyed),
        };
        if self.draining.get() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

    async fn plan(&self, mut request: Request) -> Result<CallerRequest, Refusal> {
        if self.draining.get() {
            return Err(Refusal::after(Reason::Leaving, Span::secs(1)));
        }
        let fleet = self.config.borrow().as_ref().map(|now| now.fleet.clone());
        let fleet = fleet.ok_or(Refusal::after(Reason::Unconfigured, Span::secs(1)))?;
        let client = auth::client(&fleet, &request)?;
        if let Some(service) = request.path().strip_prefix(TICKETS) {
            let service = service.parse().map_err(|_| Refusal::new(Reason::BadRequest))?;
            let known = Some(&service).filter(|service| client.services.contains(service));
            known.ok_or(Refusal::new(Reason::UnknownService))?;
            return Ok(CallerRequest::Ticket(client.name.clone(), service));
        }
        let upload = actix_rt::time::timeout(self.limits.upload.into(), self.body(&mut request));
        let body = upload.await.map_err(|_| Refusal::new(Reason::BadRequest))??;
        let (service, path) = target(&request, &body)?;
        let declared = fleet.services.get(&service).ok_or(Refusal::new(Reason::UnknownService))?;
        if !client.services.contains(&service) {
            return Err(Refusal::new(Reason::UnknownService));
        }
        let arrival = Arrival {
            client: client.name.clone(),
            service,
            key: key(&request)?.filter(|_| !declared.repeatable),
            fingerprint: print(&request, &path, &body),
            timeout: declared.timeout,
            urgency: urgency(&request),
            size: units::Bytes(body.len() as u64),
        };
        Ok(CallerRequest::Run(Incoming {
            arrival,
            method: request.method().to_string(),
            path,
            body,
        }))
    }

    async fn body(&self, request: &mut Request) -> Result<Bytes, Refusal> {
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

async fn until(done: impl Fn() -> bool) {
    while !done() {
        actix_rt::time::sleep(LOOK).await;
    }
}

/// Counts a request as in progress while it lives.
#[derive(Debug)]
pub struct Active(Rc<Cell<usize>>);

impl Active {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn target(request: &Request, body: &Bytes) -> Result<(ServiceId, String), Refusal> {
    #[derive(serde::Deserialize)]
    struct Named {
        model: ServiceId,
    }
    let malformed = Refusal::new(Reason::BadRequest);
    let uri = request.uri().path_and_query().map_or("/", |path| path.as_str());
    if request.path() == CHAT {
        let named: Named = serde_json::from_slice(body).map_err(|_| malformed)?;
        return Ok((named.model, CHAT.to_owned()));
    }
    let rest = uri.strip_prefix(SERVICES).ok_or(Refusal::new(Reason::UnknownService))?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let service = rest[..end].parse().map_err(|_| malformed)?;
    let path = if rest[end..].starts_with('/') {
        rest[end..].to_owned()
    } else {
        format!("/{}", &rest[end..])
    };
    Ok((service, path))
}

/// Returns the urgency that the header of RFC 9218 names, such as `u=1`.
fn urgency(request: &Request) -> u8 {
    let value = request.headers().get(PRIORITY).and_then(|value| value.to_str().ok());
    let named = value.and_then(|text| {
        let part = text.split(',').find_map(|part| part.trim().strip_prefix("u="));
        part.and_then(|number| number.parse().ok())
    });
    named.filter(|urgency| *urgency < 8).unwrap_or(DEFAULT_URGENCY)
}

/// Returns the digest of what is asked, the same for each copy of the request.
fn print(request: &Request, path: &str, body: &Bytes) -> Digest {
    let line = format!("{} {path}\n", request.method());
    Digest::of(&[line.as_bytes(), body].concat())
}

fn key(request: &Request) -> Result<Option<CallKey>, Refusal> {
    let Some(value) = request.headers().get(KEY) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(Refusal::new(Reason::BadRequest))
}
