//! Handling of calls from other processes to an entry.

use quinn::{RecvStream, SendStream};
use sequoiahold_core::proto::{Call, Reply};
use tokio::sync::{mpsc, oneshot};

use super::event::Event;
use crate::{
    config::Handle,
    net::{serve::CallHandler, write_message},
};

/// Handles calls from other processes.
#[derive(Clone, Debug)]
pub struct PeerService {
    /// The sender of events to the event loop.
    pub events: mpsc::UnboundedSender<Event>,
    /// The handle of the configuration task.
    pub config: Handle,
}

impl CallHandler for PeerService {
    async fn handle(&self, call: Call, mut send: SendStream, _: RecvStream) {
        let reply = match call {
            Call::Heartbeat(heartbeat) => {
                let _ = self.events.send(Event::Heartbeat(heartbeat));
                let (tx, rx) = oneshot::channel();
                let _ = self.events.send(Event::GetHeartbeat(tx));
                rx.await.ok().map(|heartbeat| Reply::Heartbeat(Box::new(heartbeat)))
            }
            Call::Config(call) => self.config.handle_call(call).await,
            Call::Run(_)
            | Call::Chunk(_)
            | Call::HeldChunks(_)
            | Call::Keys(_)
            | Call::Ticket(..) => None,
        };
        if let Some(reply) = reply {
            let _ = write_message(&mut send, &reply).await;
            let _ = send.finish();
        }
    }
}
