//! The life of one request at an endpoint.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _};
use quinn::{RecvStream, SendStream};
use sequoiahold_core::{
    endpoint::{Admission, Decision, OfferedCall},
    gate::Ended,
    ids::Incarnation,
    once::{Answer, CallOutcome, MAX_ANSWER_BYTES},
    proto::{Ask, Reply, Started},
    refuse::{Failure, Reason, Refusal},
};
use tokio::sync::{mpsc, oneshot};

use super::{
    engine::{Engine, SendError},
    event::{Admit, Event},
};
use crate::net::write_message;

/// Time without a part after which a model's answer counts as broken off.
const SILENT: Duration = Duration::from_secs(10);
/// Looks at an engine that broke off an answer before the outcome counts as unknown.
const LOOKS: u32 = 10;
/// Pause between two such looks.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Header in which an engine shows the requests that it bears.
const LIMIT: &str = "x-engine-limit";
/// The content type of an answer that names none.
const BYTES: &str = "application/octet-stream";

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
        let offered = OfferedCall {
            ticket: (ask.entry.clone(), ask.incarnation, ask.id),
            target_incarnation: ask.to,
            client: ask.client.clone(),
            service: ask.service.clone(),
            key: ask.key.clone(),
            fingerprint: ask.print,
        };
        match self.admit(&offered).await {
            Decision::Run(pass) => {
                let running = Running::new(offered, self.events.clone());
                Run { asks: self, ask: &ask, pass, running }.hand_over(&mut send).await;
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
        let _ = self.events.send(Event::Admit(Admit {
            offered: offered.clone(),
            looked: false,
            reply,
        }));
        decision.await.unwrap_or(Decision::Refuse(Refusal::new(Reason::Leaving)))
    }

    async fn replay(&self, answer: Answer, send: &mut SendStream) {
        let (status, content) = (answer.status, answer.content);
        let incarnation = self.incarnation;
        let started = Started { status, content, version: None, incarnation };
        let part = Reply::Part(0, answer.body.unwrap_or_default());
        for reply in [Reply::Started(started), part, Reply::End(1)] {
            if write_message(send, &reply).await.is_err() {
                return;
            }
        }
    }
}

/// A request that has passed the gate.
struct Run<'a> {
    asks: &'a Asks,
    ask: &'a Ask,
    pass: Admission,
    running: Running,
}

impl Run<'_> {
    /// Hands the request to the engine or service and forwards its answer.
    async fn hand_over(mut self, send: &mut SendStream) {
        let id = self.id();
        let key = self.ask.key.as_ref().map(ToString::to_string);
        let (method, path, body) = (&self.ask.method, &self.ask.path, self.ask.body.clone());
        let sent = self.asks.engine.send(method, path, &id, key.as_deref(), body);
        let sent = actix_rt::time::timeout(self.ask.left.into(), sent);
        let stays = !self.stops_with_caller();
        let answer = tokio::select! {
            answer = sent => answer,
            _ = send.stopped(), if !stays => return self.cancel().await,
        };
        let response = match answer {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent)) => {
                self.running.end = CallOutcome::NotRun;
                let refusal = Refusal::after(Reason::NoEndpoint, super::RETRY);
                return drop(write_message(send, &Reply::Refused(refusal)).await);
            }
            Ok(Err(SendError::Unknown)) | Err(_) => {
                let failure = self.failure().await;
                return drop(write_message(send, &Reply::Failed(failure)).await);
            }
        };
        self.running.head(response.headers().get(LIMIT).and_then(|v| v.to_str().ok()));
        let content = response.headers().get("content-type").and_then(|v| v.to_str().ok());
        let started = Started {
            status: response.status().as_u16(),
            content: content.unwrap_or(BYTES).to_owned(),
            version: self.pass.version.clone(),
            incarnation: self.asks.incarnation,
        };
        self.forward(started, response, send).await;
    }

    /// Forwards the parts of an answer and keeps it for repeats of its key.
    async fn forward<E>(
        mut self,
        started: Started,
        mut response: impl Stream<Item = Result<Bytes, E>> + Unpin,
        send: &mut SendStream,
    ) {
        let (status, content) = (started.status, started.content.clone());
        let mut heard = write_message(send, &Reply::Started(started)).await.is_ok();
        let mut kept = BytesMut::new();
        let mut whole = true;
        let mut count = 0;
        while heard || !self.stops_with_caller() {
            let part = tokio::select! {
                part = response.next() => part,
                () = self.silence() => {
                    let failure = Reply::Failed(self.failure().await);
                    return drop(write_message(send, &failure).await);
                }
                _ = send.stopped(), if heard => {
                    heard = false;
                    continue;
                }
            };
            let reply = match part {
                Some(Ok(data)) => {
                    whole &= kept.len() + data.len() <= MAX_ANSWER_BYTES;
                    if whole && self.ask.key.is_some() {
                        kept.extend_from_slice(&data);
                    }
                    Reply::Part(count, data)
                }
                Some(Err(_)) => Reply::Failed(self.failure().await),
                None => {
                    let body = whole.then(|| kept.split().freeze());
                    let content = content.clone();
                    self.running.end = CallOutcome::Answered(Answer { status, content, body });
                    self.running.engine = Ended::Whole;
                    Reply::End(count)
                }
            };
            let last = !matches!(reply, Reply::Part(..));
            heard = heard && write_message(send, &reply).await.is_ok();
            if last {
                return;
            }
            count += 1;
        }
        self.cancel().await;
    }

    fn id(&self) -> String {
        format!("{}.{}.{}", self.ask.entry, self.ask.incarnation, self.ask.id)
    }

    /// Returns whether the run is of no use once its caller has gone.
    fn stops_with_caller(&self) -> bool {
        self.pass.version.is_some()
    }

    /// Waits until a model that goes on would have sent a part; a plain service may take its time.
    async fn silence(&self) {
        match self.pass.version {
            Some(_) => actix_rt::time::sleep(SILENT).await,
            None => std::future::pending().await,
        }
    }

    /// Cancels a request; one whose end the engine did not confirm may still run.
    async fn cancel(&mut self) {
        if self.pass.version.is_some() && self.asks.engine.cancel(&self.id()).await {
            self.running.engine = Ended::Cancelled;
        }
    }

    /// Returns how a request ended whose answer broke off.
    async fn failure(&mut self) -> Failure {
        if self.pass.version.is_none() {
            return Failure::Unknown;
        }
        for _ in 0..LOOKS {
            match self.asks.engine.state().await {
                Ok(state) if state.incarnation != self.pass.engine => {
                    return self.engine_crashed(state.incarnation).await;
                }
                Ok(_) if self.asks.engine.cancel(&self.id()).await => {
                    self.running.engine = Ended::Cancelled;
                    return Failure::Cancelled;
                }
                _ => actix_rt::time::sleep(LOOK_PAUSE).await,
            }
        }
        Failure::Unknown
    }

    async fn engine_crashed(&self, engine: u64) -> Failure {
        let (reply, failure) = oneshot::channel();
        let offered = self.running.offered.clone();
        let _ = self.asks.events.send(Event::EngineCrashed(offered, engine, reply));
        failure.await.unwrap_or(Failure::Crashed)
    }
}

/// Tells the event loop how a request has ended, however its task ends.
struct Running {
    offered: OfferedCall,
    end: CallOutcome,
    engine: Ended,
    events: mpsc::UnboundedSender<Event>,
}

impl Running {
    fn new(offered: OfferedCall, events: mpsc::UnboundedSender<Event>) -> Self {
        Self { offered, end: CallOutcome::Unknown, engine: Ended::Broken, events }
    }

    /// Tells the event loop the limit that the head of an answer shows.
    fn head(&self, limit: Option<&str>) {
        if let Some(limit) = limit.and_then(|text| text.parse().ok()) {
            let _ = self.events.send(Event::Head(self.offered.ticket.clone(), limit));
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.events.send(Event::Ended(self.offered.clone(), self.end.clone(), self.engine));
    }
}
