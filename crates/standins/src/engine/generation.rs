//! Generation of one streamed answer.

use bytes::Bytes;
use sequoiahold_core::ids::{Digest, VersionId};
use serde_json::json;
use tokio::sync::mpsc;

use super::Engine;
use crate::content::answer_token;

/// A prompt that contains this word crashes the engine after its first token.
pub const POISON_WORD: &str = "poison";
/// The last event of a complete answer.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// The task that generates one answer.
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
            if !self.wait_for_step().await {
                return;
            }
            if index == 1 && self.prompt.contains(POISON_WORD) {
                self.engine.crash();
                return;
            }
            let content = answer_token(&self.weights, &self.prompt, index);
            let event = json!({
                "id": self.id,
                "system_fingerprint": self.version,
                "choices": [{ "index": 0, "delta": { "content": content } }],
            });
            self.emit(Bytes::from(format!("data: {event}\n\n")));
        }
        self.emit(Bytes::from_static(DONE_EVENT));
        self.finish().await;
    }

    /// Waits until the request is part of a batch step; returns false if it no longer runs.
    async fn wait_for_step(&self) -> bool {
        loop {
            actix_rt::time::sleep(self.engine.behaviour.token_time).await;
            let mut state = self.engine.state.borrow_mut();
            if state.incarnation != self.incarnation || !state.running.contains_key(&self.id) {
                return false;
            }
            if state.in_batch(&self.id, self.engine.behaviour.batch_size) {
                state.tokens += 1;
                return true;
            }
        }
    }

    fn emit(&self, event: Bytes) {
        let mut state = self.engine.state.borrow_mut();
        if state.incarnation != self.incarnation {
            return;
        }
        let Some(run) = state.running.get_mut(&self.id) else { return };
        if !run.push_event(event) && self.engine.behaviour.resume_window.is_zero() {
            state.running.remove(&self.id);
        }
    }

    async fn finish(self) {
        if let Some(run) = self.engine.state.borrow_mut().running.get_mut(&self.id) {
            run.complete = true;
            end_body(run.reader.take().map(|(reader, _)| reader));
        }
        actix_rt::time::sleep(self.engine.behaviour.resume_window).await;
        let mut state = self.engine.state.borrow_mut();
        if state.incarnation == self.incarnation {
            state.running.remove(&self.id);
        }
    }
}

/// Ends the body of a complete answer with an empty piece.
pub(super) fn end_body(reader: Option<mpsc::UnboundedSender<Bytes>>) {
    if let Some(reader) = reader {
        let _ = reader.send(Bytes::new());
    }
}
