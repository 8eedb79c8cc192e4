//! Calls of other processes to an entry.

use quinn::{RecvStream, SendStream};
use sequoiahold_core::proto::{Call, Reply};
use tokio::sync::{mpsc, oneshot};

use super::event::Event;
use crate::{
    config::Handle,
    net::{serve::CallHandler, write_message},
};

/// Answers the calls of other processes.
#[derive(Clone, Debug)]
pub struct PeerService {
    /// The event loop.
    pub events: mpsc::UnboundedSender<Event>,
    /// The configuration task.
    pub config: Handle,
}

impl CallHandler for PeerService {
    async fn handle(&self, call: Call, mut send: SendStream, _: RecvStream) {
        let reply = match call {
            Call::Beat(beat) => {
                let _ = self.events.send(Event::Beat(beat));
                let (tx, rx) = oneshot::channel();
                let _ = self.events.send(Event::Tell(tx));
                rx.await.ok().map(|beat| Reply::Beat(Box::new(beat)))
            }
            Call::Config(call) => self.config.answer(call).await,
            Call::Ask(_) | Call::Chunk(_) | Call::Have(_) | Call::Keys(_) | Call::Ticket(..) => {
                None
            }
        };
        if let Some(reply) = reply {
            let _ = write_message(&mut send, &reply).await;
            let _ = send.finish();
        }
    }
}
