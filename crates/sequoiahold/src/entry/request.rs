//! The life of one request at an entry.

use actix_http::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use bytes::Bytes;
use quinn::{RecvStream, SendStream};
use sequoiahold_core::{
    ids::{ClientId, Incarnation, OnceKey, ServiceId, VmId},
    proto::{Ask, Call, Reply, Started},
    refuse::{Failure, Reason, Refusal},
    units::Span,
};
use tokio::sync::{mpsc, oneshot};

use super::{
    body::{Body, Part},
    event::{Choose, Chosen, Event},
    problem,
    server::Active,
};
use crate::net::{Links, read, write};

/// Endpoints that a request is offered to before it is refused.
const MAX_OFFERS: usize = 3;
/// Parts of an answer that wait for a slow caller.
const PARTS: usize = 32;

/// A request as it came from its caller.
#[derive(Clone, Debug)]
pub struct Incoming {
    /// The client account.
    pub client: ClientId,
    /// The service.
    pub service: ServiceId,
    /// The HTTP method.
    pub method: String,
    /// The path and query at the service.
    pub path: String,
    /// The idempotency key.
    pub key: Option<OnceKey>,
    /// The time that the call may take.
    pub timeout: Span,
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
}

enum Offer {
    Started(Started, SendStream, RecvStream),
    Refused(Refusal),
    Failed(Failure),
}

impl Requests {
    /// Runs one request and returns the answer, whose parts may follow later.
    pub async fn run(&self, incoming: Incoming, guard: Active) -> Response<Body> {
        let mut tried = Vec::new();
        let mut last = Refusal::after(Reason::NoEndpoint, Span::secs(1));
        while tried.len() < MAX_OFFERS {
            let chosen = match self.choose(&incoming, &tried).await {
                Ok(chosen) => chosen,
                Err(refusal) if tried.is_empty() => return self.refused(refusal),
                Err(_) => return self.refused(last),
            };
            match self.offer(&incoming, &chosen).await {
                Offer::Started(started, send, recv) => {
                    return self.answer(started, (send, recv), guard);
                }
                Offer::Refused(refusal) => last = refusal,
                Offer::Failed(failure) => {
                    self.count("requests.failed");
                    return problem::failed(failure);
                }
            }
            tried.push(chosen.vm);
        }
        self.refused(last)
    }

    async fn choose(&self, incoming: &Incoming, tried: &[VmId]) -> Result<Chosen, Refusal> {
        let (reply, choice) = oneshot::channel();
        let service = incoming.service.clone();
        let choose = Choose { service, tried: tried.to_vec(), reply };
        let _ = self.events.send(Event::Choose(choose));
        choice.await.unwrap_or(Err(Refusal::new(Reason::Leaving)))
    }

    async fn offer(&self, incoming: &Incoming, chosen: &Chosen) -> Offer {
        let Ok(connection) = self.links.get(&chosen.vm, chosen.addr).await else {
            return Offer::Refused(Refusal::after(Reason::NoEndpoint, Span::secs(1)));
        };
        let Ok((mut send, mut recv)) = connection.open_bi().await else {
            return Offer::Refused(Refusal::after(Reason::NoEndpoint, Span::secs(1)));
        };
        let ask = Call::Ask(Box::new(self.ask(incoming, chosen)));
        let exchange = async {
            write(&mut send, &ask).await?;
            read::<Reply>(&mut recv).await
        };
        match actix_rt::time::timeout(incoming.timeout.into(), exchange).await {
            Ok(Ok(Reply::Started(started))) => Offer::Started(started, send, recv),
            Ok(Ok(Reply::Refused(refusal))) => Offer::Refused(refusal),
            Ok(Ok(Reply::Failed(failure))) => Offer::Failed(failure),
            Ok(Ok(_) | Err(_)) | Err(_) => Offer::Failed(Failure::Unknown),
        }
    }

    fn ask(&self, incoming: &Incoming, chosen: &Chosen) -> Ask {
        Ask {
            entry: self.vm.clone(),
            incarnation: self.incarnation,
            id: chosen.id,
            client: incoming.client.clone(),
            service: incoming.service.clone(),
            method: incoming.method.clone(),
            path: incoming.path.clone(),
            key: incoming.key.clone(),
            left: incoming.timeout,
            body: incoming.body.clone(),
        }
    }

    fn answer(
        &self,
        started: Started,
        streams: (SendStream, RecvStream),
        guard: Active,
    ) -> Response<Body> {
        let (parts, receiver) = mpsc::channel(PARTS);
        let status = StatusCode::from_u16(started.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::with_body(status, Body::Parts(receiver));
        if let Ok(content) = HeaderValue::from_str(&started.content) {
            response.headers_mut().insert(CONTENT_TYPE, content);
        }
        let requests = self.clone();
        actix_rt::spawn(async move {
            let name = match forward(streams, &parts).await {
                true => "requests.answered",
                false => "requests.broken_off",
            };
            requests.count(name);
            drop(guard);
        });
        response
    }

    fn refused(&self, refusal: Refusal) -> Response<Body> {
        self.count("requests.refused");
        problem::refused(refusal)
    }

    fn count(&self, name: &'static str) {
        let _ = self.events.send(Event::Count(name));
    }
}

/// Forwards the parts of an answer in order and returns whether it was whole.
async fn forward(streams: (SendStream, RecvStream), parts: &mpsc::Sender<Part>) -> bool {
    let (mut send, mut recv) = streams;
    let mut count = 0;
    loop {
        let reply = tokio::select! {
            reply = read::<Reply>(&mut recv) => reply,
            () = parts.closed() => {
                let _ = send.reset(0u32.into());
                return false;
            }
        };
        match reply {
            Ok(Reply::Part(number, data)) if number == count => {
                count += 1;
                if parts.send(Part::Data(data)).await.is_err() {
                    let _ = send.reset(0u32.into());
                    return false;
                }
            }
            Ok(Reply::End(whole)) if whole == count => {
                let _ = parts.send(Part::End).await;
                return true;
            }
            _ => return false,
        }
    }
}
