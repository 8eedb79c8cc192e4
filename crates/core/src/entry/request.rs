//! Lifecycle of a request at an entry.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    chart::{Chart, Machine},
    ids::{ClientId, Digest, ServiceId, VmId},
    once::CallKey,
    refusal::Failure,
    time::{Time, TimerId},
    units::{Bytes, Span},
};

/// The state chart of a request's lifecycle.
const CHART: &str = include_str!("../../charts/request.json");

/// A request as it arrived from its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The client account.
    pub client: ClientId,
    /// The service.
    pub service: ServiceId,
    /// The key of a call that must run at most once.
    pub key: Option<CallKey>,
    /// The digest of the request, equal for all copies.
    pub fingerprint: Digest,
    /// The timeout of the request.
    pub timeout: Span,
    /// The urgency within the client account, from 0 (served first) to 7.
    pub urgency: u8,
    /// The size of the body in bytes.
    pub size: Bytes,
}

/// The urgency of a request that does not specify one.
pub const DEFAULT_URGENCY: u8 = 3;

/// The state of a request at an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// The request has its complete answer.
    Answered,
    /// The request has arrived and has not been sent.
    Arrived,
    /// The request was handed over and has no complete answer.
    Failed,
    /// The caller has disconnected.
    Left,
    /// The request is offered to an endpoint.
    Offered,
    /// The request did not run.
    Refused,
    /// The answer has begun.
    Running,
}

/// An event in the lifecycle of a request at an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEvent {
    /// The answer is complete.
    End,
    /// The request failed after it was handed over.
    Fail,
    /// The caller disconnected.
    Leave,
    /// The request was refused.
    Refuse,
    /// The request is sent to an endpoint.
    Send,
    /// The answer begins.
    Start,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) tried: Vec<VmId>,
    pub(super) arrived_at: Time,
    pub(super) sent: Option<(Time, VmId)>,
    pub(super) state: Machine<RequestState, RequestEvent>,
    pub(super) failure: Option<Failure>,
    pub(super) timer: TimerId,
    deadline: Time,
}

impl Request {
    pub(super) fn new(
        arrival: Arrival,
        now: Time,
        chart: Arc<Chart<RequestState, RequestEvent>>,
        timer: TimerId,
    ) -> Self {
        let deadline = now + arrival.timeout;
        let state = Machine::new(chart);
        let tried = vec![];
        Self { arrival, tried, arrived_at: now, sent: None, state, failure: None, timer, deadline }
    }

    /// Returns the time left until the deadline, `None` if it has passed.
    pub(super) fn time_left(&self, now: Time) -> Option<Span> {
        Some(self.deadline - now).filter(|left| left.0 > 0)
    }
}

/// Parses the state chart of a request's lifecycle.
pub(super) fn chart() -> Chart<RequestState, RequestEvent> {
    Chart::parse(CHART).expect("the built-in state chart is valid")
}
