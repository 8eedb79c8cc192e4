//! The life of one request at an entry.

use actix_http::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use bytes::Bytes;
use quinn::{RecvStream, SendStream};
use sequoiahold_core::{
    entry::{Arrival, RequestKey},
    ids::{Incarnation, VmId},
    proto::{Ask, Call, Reply, Started},
    refuse::{Failure, Reason, Refusal},
    units::Span,
};
use tokio::sync::mpsc;

use super::{
    body::{Body, Part},
    event::{Event, Send, Step},
    problem,
    server::Active,
    stopwatch::Stopwatch,
};
use crate::{
    metrics::Metrics,
    net::{Links, read, write},
};

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
    pub links: Links,
    /// The event loop.
    pub events: mpsc::UnboundedSender<Event>,
    /// The counters and histograms.
    pub metrics: Metrics,
}

enum Offer {
    Started(Started, SendStream, RecvStream),
    Refused(Refusal),
    Failed(Failure),
}

impl Requests {
    /// Runs one request and returns the answer, whose parts may follow later.
    pub async fn run(&self, incoming: Incoming, guard: Active) -> Response<Body> {
        let (steps, mut life) = mpsc::unbounded_channel();
        let watch = Stopwatch::start(&self.metrics, &incoming.arrival.client);
        self.tell(Event::Arrive(incoming.arrival.clone(), steps));
        while let Some(step) = life.recv().await {
            let send = match step {
                Step::Send(send) => send,
                Step::Refuse(refusal) => return problem::refused(refusal),
                Step::Fail(failure) => return problem::failed(failure),
            };
            let departure = Departure { request: send.request, requests: self, armed: true };
            let offer = self.offer(&incoming, &send).await;
            departure.disarm();
            watch.sent();
            match offer {
                Offer::Started(started, writer, reader) => {
                    self.tell(Event::Started(send.request));
                    let streams = (writer, reader);
                    return self.answer(send.request, started, streams, (watch, guard));
                }
                Offer::Refused(refusal) => self.tell(Event::Refused(send.request, refusal)),
                Offer::Failed(failure) => self.tell(Event::Failed(send.request, failure)),
            }
        }
        problem::refused(Refusal::new(Reason::Leaving))
    }

    async fn offer(&self, incoming: &Incoming, to: &Send) -> Offer {
        let unreachable = Offer::Refused(Refusal::after(Reason::NoEndpoint, Span::secs(1)));
        let Ok(connection) = self.links.get(&to.vm, to.addr).await else { return unreachable };
        let Ok((mut send, mut recv)) = connection.open_bi().await else { return unreachable };
        let ask = Call::Ask(Box::new(self.ask(incoming, to)));
        let exchange = async {
            write(&mut send, &ask).await?;
            read::<Reply>(&mut recv).await
        };
        match actix_rt::time::timeout(to.left.into(), exchange).await {
            Ok(Ok(Reply::Started(started))) => Offer::Started(started, send, recv),
            Ok(Ok(Reply::Refused(refusal))) => Offer::Refused(refusal),
            Ok(Ok(Reply::Failed(failure))) => Offer::Failed(failure),
            Ok(Ok(_) | Err(_)) | Err(_) => Offer::Failed(Failure::Unknown),
        }
    }

    fn ask(&self, incoming: &Incoming, to: &Send) -> Ask {
        Ask {
            entry: self.vm.clone(),
            incarnation: self.incarnation,
            id: to.id,
            client: incoming.arrival.client.clone(),
            service: incoming.arrival.service.clone(),
            method: incoming.method.clone(),
            path: incoming.path.clone(),
            key: incoming.arrival.key.clone(),
            left: to.left,
            body: incoming.body.clone(),
        }
    }

    fn answer(
        &self,
        key: RequestKey,
        started: Started,
        streams: (SendStream, RecvStream),
        (mut watch, guard): (Stopwatch, Active),
    ) -> Response<Body> {
        let (parts, receiver) = mpsc::channel(PARTS);
        let status = StatusCode::from_u16(started.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::with_body(status, Body::Parts(receiver));
        if let Ok(content) = HeaderValue::from_str(&started.content) {
            response.headers_mut().insert(CONTENT_TYPE, content);
        }
        let requests = self.clone();
        actix_rt::spawn(async move {
            let event = match forward(streams, &parts, &mut watch).await {
                Forwarded::Whole => Event::Ended(key),
                Forwarded::Left => Event::Left(key),
                Forwarded::BrokenOff => Event::Failed(key, Failure::Unknown),
            };
            requests.tell(event);
            drop(guard);
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
    BrokenOff,
    Left,
    Whole,
}

/// Forwards the parts of an answer in order.
async fn forward(
    streams: (SendStream, RecvStream),
    parts: &mpsc::Sender<Part>,
    watch: &mut Stopwatch,
) -> Forwarded {
    let (mut send, mut recv) = streams;
    let mut count = 0;
    loop {
        let reply = tokio::select! {
            reply = read::<Reply>(&mut recv) => reply,
            () = parts.closed() => {
                let _ = send.reset(0u32.into());
                return Forwarded::Left;
            }
        };
        match reply {
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
            _ => return Forwarded::BrokenOff,
        }
    }
}
