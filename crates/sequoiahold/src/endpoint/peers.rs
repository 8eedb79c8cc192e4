//! Calls of other processes to an endpoint.

use quinn::{RecvStream, SendStream};
use sequoiahold_core::proto::{Call, Reply};
use tokio::sync::{mpsc, oneshot};

use super::{ask::Asks, event::Event, upload::Uploader};
use crate::{
    config::Handle,
    net::{serve::CallHandler, write_message},
};

/// Answers the calls of other processes.
#[derive(Clone)]
pub struct PeerService {
    /// The event loop.
    pub events: mpsc::UnboundedSender<Event>,
    /// Gives chunks.
    pub uploader: Uploader,
    /// The configuration task.
    pub config: Handle,
    /// Runs requests.
    pub asks: Asks,
}

impl CallHandler for PeerService {
    async fn handle(&self, call: Call, mut send: SendStream, recv: RecvStream) {
        let reply = match call {
            Call::Ask(ask) => return self.asks.run(*ask, send, recv).await,
            Call::Beat(told) => {
                let beat = self.query(|reply| Event::Tell(told, reply)).await;
                beat.map(|beat| Reply::Beat(Box::new(beat)))
            }
            Call::Config(call) => self.config.answer(call).await,
            Call::Keys(ask) => {
                let given = self.query(|reply| Event::TellKeys(ask, reply)).await;
                given.map(|given| Reply::Keys(Box::new(given)))
            }
            Call::Ticket(client, service) => {
                let issued = self.query(|reply| Event::Ticket(client, service, reply)).await;
                issued.map(|issued| issued.map_or_else(Reply::Refused, Reply::Ticket))
            }
            Call::Chunk(digest) => {
                if let Err(error) = self.uploader.answer(digest, &mut send).await {
                    log::debug!("chunk {}: {error:#}", digest.short());
                }
                let _ = send.finish();
                return;
            }
            Call::Have(manifest) => {
                self.query(|reply| Event::TellHave(manifest, reply)).await.map(Reply::Have)
            }
        };
        if let Some(reply) = reply {
            let _ = write_message(&mut send, &reply).await;
            let _ = send.finish();
        }
    }
}

impl PeerService {
    async fn query<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> Event) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(event(reply));
        answer.await.ok()
    }
}
