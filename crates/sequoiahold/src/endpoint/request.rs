//! Handling of one request at an endpoint, from its admission to the end of its response.

use std::{convert::Infallible, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _, stream};
use quinn::{RecvStream, SendStream};
use sequoiahold_core::{
    endpoint::{Admission, Decision, OfferedCall},
    gate::RequestEnd,
    ids::Incarnation,
    once::{Answer, CallOutcome, MAX_ANSWER_BYTES},
    proto::{Reply, RunRequest, Started},
    refusal::{Failure, Reason, Refusal},
};
use tokio::sync::{mpsc, oneshot};

use super::{
    engine::{EngineClient, SendError},
    event::{AdmissionRequest, Event},
};
use crate::{
    client::{ends_with_head, is_final_status},
    net::write_message,
};

/// Time without a part after which the response of a model service counts as failed.
const PART_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of probes of an engine that did not complete a response, after which the outcome counts
/// as unknown.
const PROBE_ATTEMPTS: u32 = 10;
/// Pause between two of these probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Header in which an engine reports the number of concurrent requests that it accepts.
const LIMIT_HEADER: &str = "x-engine-limit";
/// Content type of a response that does not declare one.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// Runs requests that entries send.
#[derive(Clone)]
pub struct RequestHandler {
    /// The sender of events to the event loop.
    pub events: mpsc::UnboundedSender<Event>,
    /// The client of the engine.
    pub engine: EngineClient,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
}

impl RequestHandler {
    /// Runs one request and writes its response to the stream.
    pub async fn run(&self, request: RunRequest, mut send: SendStream, _recv: RecvStream) {
        let offered = OfferedCall {
            run_id: (request.entry.clone(), request.incarnation, request.id),
            target_incarnation: request.target,
            client: request.client.clone(),
            service: request.service.clone(),
            key: request.key.clone(),
            fingerprint: request.fingerprint,
        };
        match self.admit(&offered).await {
            Decision::Run(admission) => {
                let reporter = OutcomeReporter::new(offered, self.events.clone());
                AdmittedRequest { handler: self, request: &request, admission, reporter }
                    .hand_over(&mut send)
                    .await;
            }
            Decision::Replay(answer) => self.replay(answer, &mut send).await,
            Decision::Refuse(refusal) => {
                drop(write_message(&mut send, &Reply::Refused(refusal)).await);
            }
            Decision::Fail(failure) => {
                drop(write_message(&mut send, &Reply::Failed(failure)).await)
            }
            Decision::Drop => {}
        }
        let _ = send.finish();
    }

    async fn admit(&self, offered: &OfferedCall) -> Decision {
        let (reply, decision) = oneshot::channel();
        let _ = self.events.send(Event::Admit(AdmissionRequest {
            offered: offered.clone(),
            probed: false,
            reply,
        }));
        decision.await.unwrap_or(Decision::Refuse(Refusal::new(Reason::Leaving)))
    }

    async fn replay(&self, answer: Answer, send: &mut SendStream) {
        let (status, content) = (answer.status, answer.content);
        let incarnation = self.incarnation;
        let started = Started { status, content_type: content, version: None, incarnation };
        let part = Reply::Part(0, answer.body.unwrap_or_default());
        for reply in [Reply::Started(started), part, Reply::End(1)] {
            if write_message(send, &reply).await.is_err() {
                return;
            }
        }
    }
}

/// A request that the gate admitted and this task runs.
struct AdmittedRequest<'a> {
    handler: &'a RequestHandler,
    request: &'a RunRequest,
    admission: Admission,
    reporter: OutcomeReporter,
}

impl AdmittedRequest<'_> {
    /// Sends the request to the engine or service and forwards the response.
    async fn hand_over(mut self, send: &mut SendStream) {
        let id = self.request_id();
        let key = self.request.key.as_ref().map(ToString::to_string);
        let (method, path, body) =
            (&self.request.method, &self.request.path, self.request.body.clone());
        let sending = self.handler.engine.send_request(method, path, &id, key.as_deref(), body);
        let sending = actix_rt::time::timeout(self.request.time_left.into(), sending);
        let outlives_caller = !self.stops_with_caller();
        let result = tokio::select! {
            result = sending => result,
            _ = send.stopped(), if !outlives_caller => return self.cancel().await,
        };
        let response = match result {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent)) => {
                self.reporter.outcome = CallOutcome::NotRun;
                let refusal = Refusal::retry_after(Reason::NoEndpoint, super::RETRY_DELAY);
                return drop(write_message(send, &Reply::Refused(refusal)).await);
            }
            Ok(Err(SendError::Unknown)) | Err(_) => {
                let failure = self.determine_failure().await;
                return drop(write_message(send, &Reply::Failed(failure)).await);
            }
        };
        let status = response.status().as_u16();
        if !is_final_status(status) {
            log::warn!(id = id.as_str(), status; "the status is not that of an answer");
            let failure = self.determine_failure().await;
            return drop(write_message(send, &Reply::Failed(failure)).await);
        }
        self.reporter
            .report_limit(response.headers().get(LIMIT_HEADER).and_then(|v| v.to_str().ok()));
        let content = response.headers().get("content-type").and_then(|v| v.to_str().ok());
        let started = Started {
            status,
            content_type: content.unwrap_or(DEFAULT_CONTENT_TYPE).to_owned(),
            version: self.admission.version.clone(),
            incarnation: self.handler.incarnation,
        };
        if ends_with_head(status) {
            let no_body = stream::empty::<Result<Bytes, Infallible>>();
            return self.forward(started, no_body, send).await;
        }
        self.forward(started, response, send).await;
    }

    /// Forwards the parts of a response, and keeps them for replays if the request has a key.
    async fn forward<E>(
        mut self,
        started: Started,
        mut response: impl Stream<Item = Result<Bytes, E>> + Unpin,
        send: &mut SendStream,
    ) {
        let (status, content) = (started.status, started.content_type.clone());
        let mut entry_connected = write_message(send, &Reply::Started(started)).await.is_ok();
        let mut stored = BytesMut::new();
        let mut can_store = true;
        let mut next_part = 0;
        while entry_connected || !self.stops_with_caller() {
            let part = tokio::select! {
                part = response.next() => part,
                () = self.part_timeout() => {
                    let failure = Reply::Failed(self.determine_failure().await);
                    return drop(write_message(send, &failure).await);
                }
                _ = send.stopped(), if entry_connected => {
                    entry_connected = false;
                    continue;
                }
            };
            let reply = match part {
                Some(Ok(data)) => {
                    can_store &= stored.len() + data.len() <= MAX_ANSWER_BYTES;
                    if can_store && self.request.key.is_some() {
                        stored.extend_from_slice(&data);
                    }
                    Reply::Part(next_part, data)
                }
                Some(Err(_)) => Reply::Failed(self.determine_failure().await),
                None => {
                    let body = can_store.then(|| stored.split().freeze());
                    let content = content.clone();
                    self.reporter.outcome = CallOutcome::Answered(Answer { status, content, body });
                    self.reporter.engine_end = RequestEnd::Completed;
                    Reply::End(next_part)
                }
            };
            let is_last = !matches!(reply, Reply::Part(..));
            entry_connected = entry_connected && write_message(send, &reply).await.is_ok();
            if is_last {
                return;
            }
            next_part += 1;
        }
        self.cancel().await;
    }

    fn request_id(&self) -> String {
        format!("{}.{}.{}", self.request.entry, self.request.incarnation, self.request.id)
    }

    /// Returns whether the request is cancelled when its caller disconnects.
    ///
    /// Model requests are: their response is of no use without the caller.
    fn stops_with_caller(&self) -> bool {
        self.admission.version.is_some()
    }

    /// Waits for [`PART_TIMEOUT`] at a model service, and forever at a plain service, whose parts
    /// may be any time apart.
    async fn part_timeout(&self) {
        match self.admission.version {
            Some(_) => actix_rt::time::sleep(PART_TIMEOUT).await,
            None => std::future::pending().await,
        }
    }

    /// Cancels a model request, which may still run unless the engine confirms the cancellation.
    async fn cancel(&mut self) {
        if self.admission.version.is_some() && self.handler.engine.cancel(&self.request_id()).await
        {
            self.reporter.engine_end = RequestEnd::Cancelled;
        }
    }

    /// Determines how a request without a complete response has ended, by probing the engine.
    async fn determine_failure(&mut self) -> Failure {
        if self.admission.version.is_none() {
            return Failure::Unknown;
        }
        for _ in 0..PROBE_ATTEMPTS {
            match self.handler.engine.state().await {
                Ok(state) if state.incarnation != self.admission.engine_incarnation => {
                    return self.report_engine_crash(state.incarnation).await;
                }
                Ok(_) if self.handler.engine.cancel(&self.request_id()).await => {
                    self.reporter.engine_end = RequestEnd::Cancelled;
                    return Failure::Cancelled;
                }
                _ => actix_rt::time::sleep(PROBE_INTERVAL).await,
            }
        }
        Failure::Unknown
    }

    async fn report_engine_crash(&self, incarnation: u64) -> Failure {
        let (reply, failure) = oneshot::channel();
        let offered = self.reporter.offered.clone();
        let _ = self.handler.events.send(Event::EngineCrashed(offered, incarnation, reply));
        failure.await.unwrap_or(Failure::Crashed)
    }
}

/// Reports the outcome of a request to the event loop on drop, however its task ends.
struct OutcomeReporter {
    offered: OfferedCall,
    outcome: CallOutcome,
    engine_end: RequestEnd,
    events: mpsc::UnboundedSender<Event>,
}

impl OutcomeReporter {
    fn new(offered: OfferedCall, events: mpsc::UnboundedSender<Event>) -> Self {
        Self { offered, outcome: CallOutcome::Unknown, engine_end: RequestEnd::Aborted, events }
    }

    /// Reports the limit in the head of a response to the event loop.
    fn report_limit(&self, limit: Option<&str>) {
        if let Some(limit) = limit.and_then(|text| text.parse().ok()) {
            let _ = self.events.send(Event::ResponseHead(self.offered.run_id.clone(), limit));
        }
    }
}

impl Drop for OutcomeReporter {
    fn drop(&mut self) {
        let _ = self.events.send(Event::CallEnded(
            self.offered.clone(),
            self.outcome.clone(),
            self.engine_end,
        ));
    }
}
