//! The life of one request at an endpoint.

use futures_util::StreamExt as _;
use quinn::{RecvStream, SendStream};
use sequoiahold_core::{
    gate::{Ended, Ticket},
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

/// Header in which an engine shows the requests that it bears.
const LIMIT: &str = "x-engine-limit";

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
                let events = self.events.clone();
                let mut guard = Running { ticket, events, ended: Ended::Broken };
                guard.ended = self.hand_over(&ask, version, &guard, &mut send).await;
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

    async fn hand_over(
        &self,
        ask: &Ask,
        version: Option<VersionId>,
        running: &Running,
        send: &mut SendStream,
    ) -> Ended {
        let id = format!("{}.{}.{}", ask.entry, ask.incarnation, ask.id);
        let key = ask.key.as_ref().map(|key| key.as_str());
        let sent = self.engine.send(&ask.method, &ask.path, &id, key, ask.body.clone());
        let answer = actix_rt::time::timeout(ask.left.into(), sent).await;
        let Ok(Ok(mut response)) = answer else {
            let _ = write(send, &Reply::Failed(Failure::Unknown)).await;
            return Ended::Broken;
        };
        running.head(response.headers().get(LIMIT).and_then(|v| v.to_str().ok()));
        let content = response.headers().get("content-type").and_then(|v| v.to_str().ok());
        let started = Started {
            status: response.status().as_u16(),
            content: content.unwrap_or("application/octet-stream").to_owned(),
            version,
            incarnation: self.incarnation,
        };
        if write(send, &Reply::Started(started)).await.is_err() {
            return self.cancel(&id).await;
        }
        let mut count = 0;
        loop {
            let part = tokio::select! {
                part = response.next() => part,
                _ = send.stopped() => return self.cancel(&id).await,
            };
            let (reply, ended) = match part {
                Some(Ok(data)) => (Reply::Part(count, data), None),
                Some(Err(_)) => (Reply::Failed(Failure::Unknown), Some(Ended::Broken)),
                None => (Reply::End(count), Some(Ended::Whole)),
            };
            if write(send, &reply).await.is_err() && ended.is_none() {
                return self.cancel(&id).await;
            }
            if let Some(ended) = ended {
                return ended;
            }
            count += 1;
        }
    }

    /// Cancels a request; one whose end the engine did not confirm may still run.
    async fn cancel(&self, id: &str) -> Ended {
        match self.engine.cancel(id).await {
            true => Ended::Cancelled,
            false => Ended::Broken,
        }
    }
}

/// Tells the event loop that a request has ended, however its task ends.
struct Running {
    ticket: Ticket,
    events: mpsc::UnboundedSender<Event>,
    ended: Ended,
}

impl Running {
    /// Tells the event loop the limit that the head of an answer shows.
    fn head(&self, limit: Option<&str>) {
        if let Some(limit) = limit.and_then(|text| text.parse().ok()) {
            let _ = self.events.send(Event::Head(self.ticket.clone(), limit));
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.events.send(Event::Finish(self.ticket.clone(), self.ended));
    }
}
