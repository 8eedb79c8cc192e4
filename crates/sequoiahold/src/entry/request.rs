//! The life of one request at an entry.

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
    proto::{Ask, Call, Reply, Started},
    refuse::{Failure, Reason, Refusal},
    suspect::Print,
    units::Span,
};
use tokio::sync::{mpsc, oneshot};

use super::{
    body::{Body, Part},
    event::{Event, Send, Step},
    problem,
    server::Active,
    stopwatch::Stopwatch,
};
use crate::{
    metrics::Metrics,
    net::{PeerConnections, call, read_message, write_message},
};

/// The content type of an answer that comes as events.
const EVENTS: &str = "text/event-stream";
/// Time that the issue of a ticket may take.
const ISSUE: Duration = Duration::from_secs(2);
/// Parts of an answer that wait for a slow caller.
const PARTS: usize = 32;

/// A request as it came from its caller.
#[derive(Clone, Debug)]
pub struct Incoming {
    /// What the decision needs.
    pub arrival: Arrival,
    /// The HTTP method.
    pub method: String,
    /// The path and query at the service.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// Runs requests.
#[derive(Clone)]
pub struct Requests {
    /// The name of this VM.
    pub vm: VmId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The connections to endpoints.
    pub links: PeerConnections,
    /// The event loop.
    pub events: mpsc::UnboundedSender<Event>,
    /// The counters and histograms.
    pub metrics: Metrics,
}

type Streams = (SendStream, RecvStream);

enum Offer {
    Started(Started, Reply, Streams),
    Refused(Refusal),
    Failed(Failure),
}

impl Requests {
    /// Runs one request and returns the answer, whose parts may follow later.
    pub async fn run(&self, incoming: Incoming, guard: Active) -> Response<Body> {
        let (steps, mut life) = mpsc::unbounded_channel();
        let watch = Stopwatch::start(&self.metrics, &incoming.arrival.client);
        self.tell(Event::Arrive(incoming.arrival.clone(), steps));
        let keyed = incoming.arrival.key.is_some();
        while let Some(step) = life.recv().await {
            let send = match step {
                Step::Send(send) => send,
                Step::Refuse(refusal) => return problem::refused(refusal, keyed),
                Step::Fail(failure) => return problem::failed(failure),
            };
            let departure = Departure { request: send.request, requests: self, armed: true };
            let offer = self.offer(&incoming, &send).await;
            departure.disarm();
            watch.sent();
            match offer {
                Offer::Started(started, first, streams) => {
                    self.tell(Event::Started(send.request));
                    let left = Instant::now() + send.left.into();
                    let answer = Answer { key: send.request, first, streams, left };
                    return self.answer(answer, started, (watch, guard));
                }
                Offer::Refused(refusal) => self.tell(Event::Refused(send.request, refusal)),
                Offer::Failed(failure) => self.tell(Event::Failed(send.request, failure)),
            }
        }
        problem::refused(Refusal::new(Reason::Leaving), keyed)
    }

    /// Has an endpoint issue a ticket that it alone will run.
    pub async fn ticket(&self, client: ClientId, service: ServiceId) -> Response<Body> {
        let (reply, issuer) = oneshot::channel();
        self.tell(Event::Issuer(service.clone(), reply));
        let issuer = issuer.await.unwrap_or(Err(Refusal::new(Reason::Leaving)));
        let issued = match issuer {
            Ok((vm, addr)) => self.issue(&vm, addr, Call::Ticket(client, service)).await,
            Err(refusal) => Err(refusal),
        };
        issued.map_or_else(|refusal| problem::refused(refusal, false), problem::ticket)
    }

    async fn issue(&self, vm: &VmId, addr: SocketAddr, ask: Call) -> Result<OnceTicket, Refusal> {
        let asked = async {
            let connection = self.links.acquire(vm, addr).await?;
            call(&connection, &ask).await
        };
        match actix_rt::time::timeout(ISSUE, asked).await {
            Ok(Ok(Reply::Ticket(ticket))) => Ok(ticket),
            Ok(Ok(Reply::Refused(refusal))) => Err(refusal),
            _ => Err(Refusal::after(Reason::NoEndpoint, Span::secs(1))),
        }
    }

    async fn offer(&self, incoming: &Incoming, to: &Send) -> Offer {
        let unreachable = Offer::Refused(Refusal::after(Reason::NoEndpoint, Span::secs(1)));
        let Ok(connection) = self.links.acquire(&to.vm, to.addr).await else { return unreachable };
        let opened = actix_rt::time::timeout(to.left.into(), connection.open_bi()).await;
        let Ok(Ok((mut send, mut recv))) = opened else { return unreachable };
        let ask = Call::Ask(Box::new(self.ask(incoming, to)));
        let mut started = None;
        let exchange = async {
            write_message(&mut send, &ask).await?;
            match read_message::<Reply>(&mut recv).await? {
                Reply::Started(head) => started = Some(head),
                reply => return Ok(reply),
            }
            read_message::<Reply>(&mut recv).await
        };
        let reply = actix_rt::time::timeout(to.left.into(), exchange).await;
        match reply {
            Ok(Ok(first @ (Reply::Part(..) | Reply::End(_)))) => match started {
                Some(started) => Offer::Started(started, first, (send, recv)),
                None => Offer::Failed(Failure::Unknown),
            },
            Ok(Ok(Reply::Refused(refusal))) => Offer::Refused(refusal),
            Ok(Ok(Reply::Failed(failure))) => Offer::Failed(failure),
            Ok(Ok(_) | Err(_)) | Err(_) => Offer::Failed(Failure::Unknown),
        }
    }

    fn ask(&self, incoming: &Incoming, to: &Send) -> Ask {
        Ask {
            entry: self.vm.clone(),
            incarnation: self.incarnation,
            to: to.to,
            id: to.id,
            client: incoming.arrival.client.clone(),
            service: incoming.arrival.service.clone(),
            method: incoming.method.clone(),
            path: incoming.path.clone(),
            key: incoming.arrival.key.clone(),
            print: Print::from(&incoming.arrival.fingerprint),
            left: to.left,
            body: incoming.body.clone(),
        }
    }

    fn answer(
        &self,
        answer: Answer,
        started: Started,
        (mut watch, guard): (Stopwatch, Active),
    ) -> Response<Body> {
        let (parts, receiver) = mpsc::channel(PARTS);
        let status = StatusCode::from_u16(started.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::with_body(status, Body::Parts(receiver, guard));
        if let Ok(content) = HeaderValue::from_str(&started.content) {
            response.headers_mut().insert(CONTENT_TYPE, content);
        }
        let requests = self.clone();
        actix_rt::spawn(async move {
            let key = answer.key;
            let event = match answer.forward(&parts, &mut watch).await {
                Forwarded::Whole => Event::Ended(key),
                Forwarded::Left => Event::Left(key),
                Forwarded::BrokenOff(failure) => {
                    if started.content.starts_with(EVENTS) {
                        let _ = parts.send(Part::Data(problem::event(failure))).await;
                    }
                    Event::Failed(key, failure)
                }
            };
            requests.tell(event);
        });
        response
    }

    fn tell(&self, event: Event) {
        let _ = self.events.send(event);
    }
}

/// Tells the event loop that the caller left, where the offer is dropped before it ends.
struct Departure<'a> {
    request: RequestKey,
    requests: &'a Requests,
    armed: bool,
}

impl Departure<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for Departure<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.requests.tell(Event::Left(self.request));
        }
    }
}

enum Forwarded {
    BrokenOff(Failure),
    Left,
    Whole,
}

/// An answer on its way to its caller.
struct Answer {
    key: RequestKey,
    first: Reply,
    streams: Streams,
    left: Instant,
}

impl Answer {
    /// Forwards the parts of an answer in order.
    async fn forward(self, parts: &mpsc::Sender<Part>, watch: &mut Stopwatch) -> Forwarded {
        let (mut send, mut recv) = self.streams;
        let mut next = Ok(self.first);
        let mut count = 0;
        loop {
            match next {
                Ok(Reply::Part(number, data)) if number == count => {
                    count += 1;
                    watch.part();
                    if parts.send(Part::Data(data)).await.is_err() {
                        let _ = send.reset(0u32.into());
                        return Forwarded::Left;
                    }
                }
                Ok(Reply::End(whole)) if whole == count => {
                    let _ = parts.send(Part::End).await;
                    watch.end();
                    return Forwarded::Whole;
                }
                Ok(Reply::Failed(failure)) => return Forwarded::BrokenOff(failure),
                _ => return Forwarded::BrokenOff(Failure::Unknown),
            }
            next = tokio::select! {
                reply = read_message::<Reply>(&mut recv) => reply,
                () = parts.closed() => {
                    let _ = send.reset(0u32.into());
                    return Forwarded::Left;
                }
                () = actix_rt::time::sleep_until(self.left.into()) => {
                    let _ = send.reset(0u32.into());
                    return Forwarded::BrokenOff(Failure::Unknown);
                }
            };
        }
    }
}
