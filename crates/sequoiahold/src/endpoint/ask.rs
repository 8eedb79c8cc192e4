//! The life of one request at an endpoint.

use futures_util::StreamExt as _;
use quinn::{RecvStream, SendStream};
use sequoiahold_core::{
    gate::Ticket,
    ids::{Incarnation, VersionId},
    proto::{Ask, Reply, Started},
    refuse::{Failure, Reason, Refusal},
};
use tokio::sync::{mpsc, oneshot};

use super::{
    engine::Engine,
    event::{Admit, Event},
};
use crate::net::write;

/// Runs requests that entries send.
#[derive(Clone)]
pub struct Asks {
    /// The event loop.
    pub events: mpsc::UnboundedSender<Event>,
    /// The engine.
    pub engine: Engine,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
}

impl Asks {
    /// Runs one request and writes its answer.
    pub async fn run(&self, ask: Ask, mut send: SendStream, _recv: RecvStream) {
        let ticket: Ticket = (ask.entry.clone(), ask.incarnation, ask.id);
        match self.admit(&ticket, &ask).await {
            Ok(version) => {
                let guard = Running { ticket, events: self.events.clone() };
                self.hand_over(&ask, version, &mut send).await;
                drop(guard);
            }
            Err(refusal) => drop(write(&mut send, &Reply::Refused(refusal)).await),
        }
        let _ = send.finish();
    }

    async fn admit(&self, ticket: &Ticket, ask: &Ask) -> Result<Option<VersionId>, Refusal> {
        let (reply, decision) = oneshot::channel();
        let admit = Admit { ticket: ticket.clone(), service: ask.service.clone(), reply };
        let _ = self.events.send(Event::Admit(admit));
        decision.await.unwrap_or(Err(Refusal::new(Reason::Leaving)))
    }

    async fn hand_over(&self, ask: &Ask, version: Option<VersionId>, send: &mut SendStream) {
        let id = format!("{}.{}.{}", ask.entry, ask.incarnation, ask.id);
        let key = ask.key.as_ref().map(|key| key.as_str());
        let sent = self.engine.send(&ask.method, &ask.path, &id, key, ask.body.clone());
        let answer = actix_rt::time::timeout(ask.left.into(), sent).await;
        let Ok(Ok(mut response)) = answer else {
            let _ = write(send, &Reply::Failed(Failure::Unknown)).await;
            return;
        };
        let content = response.headers().get("content-type").and_then(|v| v.to_str().ok());
        let started = Started {
            status: response.status().as_u16(),
            content: content.unwrap_or("application/octet-stream").to_owned(),
            version,
            incarnation: self.incarnation,
        };
        if write(send, &Reply::Started(started)).await.is_err() {
            self.engine.cancel(&id).await;
            return;
        }
        let mut count = 0;
        loop {
            let part = tokio::select! {
                part = response.next() => part,
                _ = send.stopped() => {
                    self.engine.cancel(&id).await;
                    return;
                }
            };
            let reply = match part {
                Some(Ok(data)) => Reply::Part(count, data),
                Some(Err(_)) => Reply::Failed(Failure::Unknown),
                None => Reply::End(count),
            };
            let last = !matches!(reply, Reply::Part(..));
            if write(send, &reply).await.is_err() {
                self.engine.cancel(&id).await;
                return;
            }
            if last {
                return;
            }
            count += 1;
        }
    }
}

/// Tells the event loop that a request has ended, however its task ends.
struct Running {
    ticket: Ticket,
    events: mpsc::UnboundedSender<Event>,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.events.send(Event::Finish(self.ticket.clone()));
    }
}
