//! Handling of one request at an entry, from its arrival to the end of its response.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_http::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use bytes::Bytes;
use quinn::{RecvStream, SendStream};
use sequoiahold_core::{
    entry::{Arrival, RequestKey},
    ids::{ClientId, Incarnation, ServiceId, VmId},
    once::OnceTicket,
    proto::{Call, Reply, RunRequest, Started},
    refusal::{Failure, Reason, Refusal},
    suspect::Fingerprint,
    units::Span,
};
use tokio::sync::{mpsc, oneshot};

use super::{
    body::{Body, BodyPart},
    event::{Dispatch, Event, RequestAction},
    problem,
    server::RequestGuard,
    stopwatch::Stopwatch,
};
use crate::{
    client::{ends_with_head, is_final_status},
    metrics::Metrics,
    net::{PeerConnections, call, read_message, write_message},
};

/// Content type of responses that are streamed as server-sent events.
const EVENT_STREAM: &str = "text/event-stream";
/// Timeout for an endpoint to issue a ticket.
const TICKET_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of response parts that are buffered for a slow caller.
const PART_BUFFER: usize = 32;

/// A request as received from its caller.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// The attributes that routing and queueing depend on.
    pub arrival: Arrival,
    /// The HTTP method.
    pub method: String,
    /// The path and query sent to the service.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// Sends requests to endpoints and forwards their responses to callers.
#[derive(Clone)]
pub struct RequestHandler {
    /// The name of this VM.
    pub vm: VmId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The connections to endpoints.
    pub peers: PeerConnections,
    /// The sender of events to the event loop.
    pub events: mpsc::UnboundedSender<Event>,
    /// The counters and histograms.
    pub metrics: Metrics,
}

type Streams = (SendStream, RecvStream);

enum OfferOutcome {
    Started(Started, Reply, Streams),
    Refused(Refusal),
    Failed(Failure),
}

impl RequestHandler {
    /// Runs one request and returns the response, whose body may be streamed after the return.
    pub async fn run(&self, incoming: IncomingRequest, guard: RequestGuard) -> Response<Body> {
        let (action_sender, mut actions) = mpsc::unbounded_channel();
        let stopwatch = Stopwatch::start(&self.metrics, &incoming.arrival.client);
        self.send_event(Event::Arrived(incoming.arrival.clone(), action_sender));
        let has_key = incoming.arrival.key.is_some();
        while let Some(action) = actions.recv().await {
            let dispatch = match action {
                RequestAction::Send(dispatch) => dispatch,
                RequestAction::Refuse(refusal) => return problem::refused(refusal, has_key),
                RequestAction::Fail(failure) => return problem::failed(failure),
            };
            let gone_guard =
                CallerGoneGuard { request: dispatch.request, handler: self, armed: true };
            let outcome = self.offer(&incoming, &dispatch).await;
            gone_guard.disarm();
            stopwatch.record_sent();
            match outcome {
                OfferOutcome::Started(started, first_reply, streams) => {
                    self.send_event(Event::Started(dispatch.request));
                    let deadline = Instant::now() + dispatch.left.into();
                    let stream =
                        ResponseStream { key: dispatch.request, first_reply, streams, deadline };
                    return self.start_response(stream, started, (stopwatch, guard));
                }
                OfferOutcome::Refused(refusal) => {
                    self.send_event(Event::Refused(dispatch.request, refusal))
                }
                OfferOutcome::Failed(failure) => {
                    self.send_event(Event::Failed(dispatch.request, failure))
                }
            }
        }
        problem::refused(Refusal::new(Reason::Leaving), has_key)
    }

    /// Requests a ticket from an endpoint, which is the only one that accepts it.
    pub async fn request_ticket(&self, client: ClientId, service: ServiceId) -> Response<Body> {
        let (reply, issuer) = oneshot::channel();
        self.send_event(Event::ChooseIssuer(service.clone(), reply));
        let issuer = issuer.await.unwrap_or(Err(Refusal::new(Reason::Leaving)));
        let issued = match issuer {
            Ok((vm, addr)) => self.issue(&vm, addr, Call::Ticket(client, service)).await,
            Err(refusal) => Err(refusal),
        };
        issued.map_or_else(|refusal| problem::refused(refusal, false), problem::ticket)
    }

    async fn issue(&self, vm: &VmId, addr: SocketAddr, msg: Call) -> Result<OnceTicket, Refusal> {
        let exchange = async {
            let connection = self.peers.acquire(vm, addr).await?;
            call(&connection, &msg).await
        };
        match actix_rt::time::timeout(TICKET_TIMEOUT, exchange).await {
            Ok(Ok(Reply::Ticket(ticket))) => Ok(ticket),
            Ok(Ok(Reply::Refused(refusal))) => Err(refusal),
            _ => Err(Refusal::retry_after(Reason::NoEndpoint, Span::secs(1))),
        }
    }

    async fn offer(&self, incoming: &IncomingRequest, to: &Dispatch) -> OfferOutcome {
        let unreachable =
            OfferOutcome::Refused(Refusal::retry_after(Reason::NoEndpoint, Span::secs(1)));
        let Ok(connection) = self.peers.acquire(&to.vm, to.addr).await else { return unreachable };
        let opened = actix_rt::time::timeout(to.left.into(), connection.open_bi()).await;
        let Ok(Ok((mut send, mut recv))) = opened else { return unreachable };
        let message = Call::Run(Box::new(self.build_request(incoming, to)));
        let mut started = None;
        let exchange = async {
            write_message(&mut send, &message).await?;
            match read_message::<Reply>(&mut recv).await? {
                Reply::Started(head) => started = Some(head),
                reply => return Ok(reply),
            }
            read_message::<Reply>(&mut recv).await
        };
        let reply = actix_rt::time::timeout(to.left.into(), exchange).await;
        match reply {
            Ok(Ok(first_reply @ (Reply::Part(..) | Reply::End(_)))) => {
                match started.filter(|started| is_final_status(started.status)) {
                    Some(started) => OfferOutcome::Started(started, first_reply, (send, recv)),
                    None => OfferOutcome::Failed(Failure::Unknown),
                }
            }
            Ok(Ok(Reply::Refused(refusal))) => OfferOutcome::Refused(refusal),
            Ok(Ok(Reply::Failed(failure))) => OfferOutcome::Failed(failure),
            Ok(Ok(_) | Err(_)) | Err(_) => OfferOutcome::Failed(Failure::Unknown),
        }
    }

    fn build_request(&self, incoming: &IncomingRequest, to: &Dispatch) -> RunRequest {
        RunRequest {
            entry: self.vm.clone(),
            incarnation: self.incarnation,
            target: to.target_incarnation,
            id: to.id,
            client: incoming.arrival.client.clone(),
            service: incoming.arrival.service.clone(),
            method: incoming.method.clone(),
            path: incoming.path.clone(),
            key: incoming.arrival.key.clone(),
            fingerprint: Fingerprint::from(&incoming.arrival.fingerprint),
            time_left: to.left,
            body: incoming.body.clone(),
        }
    }

    fn start_response(
        &self,
        stream: ResponseStream,
        started: Started,
        (mut stopwatch, guard): (Stopwatch, RequestGuard),
    ) -> Response<Body> {
        let (parts, receiver) = mpsc::channel(PART_BUFFER);
        let status = StatusCode::from_u16(started.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let body = if ends_with_head(started.status) {
            actix_rt::spawn(discard(receiver, guard));
            Body::Complete(Bytes::new())
        } else {
            Body::Streamed(receiver, guard)
        };
        let mut response = Response::with_body(status, body);
        if let Ok(content) = HeaderValue::from_str(&started.content_type) {
            response.headers_mut().insert(CONTENT_TYPE, content);
        }
        let handler = self.clone();
        actix_rt::spawn(async move {
            let key = stream.key;
            let event = match stream.forward(&parts, &mut stopwatch).await {
                ForwardOutcome::Complete => Event::Completed(key),
                ForwardOutcome::CallerGone => Event::CallerGone(key),
                ForwardOutcome::Failed(failure) => {
                    if started.content_type.starts_with(EVENT_STREAM) {
                        let _ = parts.send(BodyPart::Data(problem::error_event(failure))).await;
                    }
                    Event::Failed(key, failure)
                }
            };
            handler.send_event(event);
        });
        response
    }

    fn send_event(&self, event: Event) {
        let _ = self.events.send(event);
    }
}

/// Reports the caller as gone if the future that offers its request is dropped before it completes.
struct CallerGoneGuard<'a> {
    request: RequestKey,
    handler: &'a RequestHandler,
    armed: bool,
}

impl CallerGoneGuard<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CallerGoneGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.handler.send_event(Event::CallerGone(self.request));
        }
    }
}

/// Takes the parts of a body that the caller does not get, so that its end is still noticed.
async fn discard(mut parts: mpsc::Receiver<BodyPart>, _guard: RequestGuard) {
    while parts.recv().await.is_some() {}
}

enum ForwardOutcome {
    Failed(Failure),
    CallerGone,
    Complete,
}

/// An endpoint's response that is being forwarded to its caller.
struct ResponseStream {
    key: RequestKey,
    first_reply: Reply,
    streams: Streams,
    deadline: Instant,
}

impl ResponseStream {
    /// Forwards the parts in order until the end, a failure, the deadline or a disconnect.
    async fn forward(
        self,
        parts: &mpsc::Sender<BodyPart>,
        stopwatch: &mut Stopwatch,
    ) -> ForwardOutcome {
        let (mut send, mut recv) = self.streams;
        let mut next_reply = Ok(self.first_reply);
        let mut next_part = 0;
        loop {
            match next_reply {
                Ok(Reply::Part(number, data)) if number == next_part => {
                    next_part += 1;
                    stopwatch.record_part();
                    if parts.send(BodyPart::Data(data)).await.is_err() {
                        let _ = send.reset(0u32.into());
                        return ForwardOutcome::CallerGone;
                    }
                }
                Ok(Reply::End(total)) if total == next_part => {
                    let _ = parts.send(BodyPart::End).await;
                    stopwatch.record_end();
                    return ForwardOutcome::Complete;
                }
                Ok(Reply::Failed(failure)) => return ForwardOutcome::Failed(failure),
                _ => return ForwardOutcome::Failed(Failure::Unknown),
            }
            next_reply = tokio::select! {
                reply = read_message::<Reply>(&mut recv) => reply,
                () = parts.closed() => {
                    let _ = send.reset(0u32.into());
                    return ForwardOutcome::CallerGone;
                }
                () = actix_rt::time::sleep_until(self.deadline.into()) => {
                    let _ = send.reset(0u32.into());
                    return ForwardOutcome::Failed(Failure::Unknown);
                }
            };
        }
    }
}
