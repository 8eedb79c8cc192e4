//! Handling of calls from other processes to an endpoint.

use quinn::{RecvStream, SendStream};
use sequoiahold_core::proto::{Call, Reply};
use tokio::sync::{mpsc, oneshot};

use super::{event::Event, request::RequestHandler, upload::Uploader};
use crate::{
    config::Handle,
    net::{serve::CallHandler, write_message},
};

/// Handles calls from other processes.
#[derive(Clone)]
pub struct PeerService {
    /// The sender of events to the event loop.
    pub events: mpsc::UnboundedSender<Event>,
    /// Uploads chunks to peers.
    pub uploader: Uploader,
    /// The handle of the configuration task.
    pub config: Handle,
    /// Runs requests that entries send.
    pub requests: RequestHandler,
}

impl CallHandler for PeerService {
    async fn handle(&self, call: Call, mut send: SendStream, recv: RecvStream) {
        let reply = match call {
            Call::Run(request) => return self.requests.run(*request, send, recv).await,
            Call::Heartbeat(received) => {
                let heartbeat = self.query(|reply| Event::HeartbeatCall(received, reply)).await;
                heartbeat.map(|heartbeat| Reply::Heartbeat(Box::new(heartbeat)))
            }
            Call::Config(call) => self.config.handle_call(call).await,
            Call::Keys(query) => {
                let handover = self.query(|reply| Event::GetHandover(query, reply)).await;
                handover.map(|handover| Reply::Keys(Box::new(handover)))
            }
            Call::Ticket(client, service) => {
                let issued = self.query(|reply| Event::IssueTicket(client, service, reply)).await;
                issued.map(|issued| issued.map_or_else(Reply::Refused, Reply::Ticket))
            }
            Call::Chunk(digest) => {
                if let Err(error) = self.uploader.serve_chunk(digest, &mut send).await {
                    log::debug!("chunk {}: {error:#}", digest.short());
                }
                let _ = send.finish();
                return;
            }
            Call::HeldChunks(manifest) => self
                .query(|reply| Event::GetChunkBitmap(manifest, reply))
                .await
                .map(Reply::HeldChunks),
        };
        if let Some(reply) = reply {
            let _ = write_message(&mut send, &reply).await;
            let _ = send.finish();
        }
    }
}

impl PeerService {
    async fn query<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> Event) -> Option<T> {
        let (reply, receiver) = oneshot::channel();
        let _ = self.events.send(event(reply));
        receiver.await.ok()
    }
}
