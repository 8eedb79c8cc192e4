//! The generation of one answer.

use bytes::Bytes;
use sequoiahold_core::ids::{Digest, VersionId};
use serde_json::json;
use tokio::sync::mpsc;

use super::Engine;
use crate::content::answer_token;

/// A prompt with this word crashes the engine that runs it.
pub const POISON: &str = "poison";
/// The event that ends an answer.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// The generation of one answer.
pub(super) struct Generation {
    pub(super) engine: Engine,
    pub(super) incarnation: u64,
    pub(super) id: String,
    pub(super) version: VersionId,
    pub(super) weights: Digest,
    pub(super) prompt: String,
    pub(super) tokens: u32,
    pub(super) cached: bool,
}

impl Generation {
    pub(super) async fn run(self) {
        if !self.cached {
            actix_rt::time::sleep(self.engine.behaviour.prefill).await;
        }
        for index in 0..self.tokens {
            if !self.wait_turn().await {
                return;
            }
            if index == 1 && self.prompt.contains(POISON) {
                self.engine.crash();
                return;
            }
            let content = answer_token(&self.weights, &self.prompt, index);
            let event = json!({
                "id": self.id,
                "system_fingerprint": self.version,
                "choices": [{ "index": 0, "delta": { "content": content } }],
            });
            self.give(Bytes::from(format!("data: {event}\n\n")));
        }
        self.give(Bytes::from_static(DONE));
        self.finish().await;
    }

    /// Waits for one step of the batch; returns false where the request no longer runs.
    async fn wait_turn(&self) -> bool {
        loop {
            actix_rt::time::sleep(self.engine.behaviour.step).await;
            let mut state = self.engine.state.borrow_mut();
            if state.incarnation != self.incarnation || !state.running.contains_key(&self.id) {
                return false;
            }
            if state.in_batch(&self.id, self.engine.behaviour.batch) {
                state.tokens += 1;
                return true;
            }
        }
    }

    fn give(&self, event: Bytes) {
        let mut state = self.engine.state.borrow_mut();
        if state.incarnation != self.incarnation {
            return;
        }
        let Some(run) = state.running.get_mut(&self.id) else { return };
        if !run.give(event) && self.engine.behaviour.linger.is_zero() {
            state.running.remove(&self.id);
        }
    }

    async fn finish(self) {
        if let Some(run) = self.engine.state.borrow_mut().running.get_mut(&self.id) {
            run.whole = true;
            end(run.reader.take().map(|(reader, _)| reader));
        }
        actix_rt::time::sleep(self.engine.behaviour.linger).await;
        let mut state = self.engine.state.borrow_mut();
        if state.incarnation == self.incarnation {
            state.running.remove(&self.id);
        }
    }
}

/// Marks the body of an answer as whole.
pub(super) fn end(reader: Option<mpsc::UnboundedSender<Bytes>>) {
    if let Some(reader) = reader {
        let _ = reader.send(Bytes::new());
    }
}
