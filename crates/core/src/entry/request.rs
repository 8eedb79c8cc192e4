//! The life of a request at an entry.

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

/// The chart of a request's life.
const CHART: &str = include_str!("../../charts/request.json");

/// A request as it came from its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The client account.
    pub client: ClientId,
    /// The service.
    pub service: ServiceId,
    /// The key of a call that may not be repeated.
    pub key: Option<CallKey>,
    /// The digest of what is asked, the same for each copy of the request.
    pub print: Digest,
    /// The time that the call may take.
    pub timeout: Span,
    /// The urgency within the client account, 0 first and 7 last.
    pub urgency: u8,
    /// The size of the body.
    pub size: Bytes,
}

/// The urgency of a request that names none.
pub const URGENCY: u8 = 3;

/// The state of a request at an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// It has a whole answer.
    Answered,
    /// It has just come.
    Arrived,
    /// It was handed over and has no whole answer.
    Failed,
    /// Its caller has gone.
    Left,
    /// It is offered to an endpoint.
    Offered,
    /// It did not run.
    Refused,
    /// Its answer has begun.
    Running,
}

/// What happens to a request at an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEvent {
    /// The whole answer was given.
    End,
    /// It failed after the hand-over.
    Fail,
    /// The caller went.
    Leave,
    /// It was refused.
    Refuse,
    /// It is sent to an endpoint.
    Send,
    /// Its answer begins.
    Start,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) tried: Vec<VmId>,
    pub(super) at: Time,
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
        Self { arrival, tried, at: now, sent: None, state, failure: None, timer, deadline }
    }

    /// Returns the time left until the deadline, `None` where it has passed.
    pub(super) fn left(&self, now: Time) -> Option<Span> {
        Some(self.deadline - now).filter(|left| left.0 > 0)
    }
}

/// Reads the chart of a request's life.
pub(super) fn chart() -> Chart<RequestState, RequestEvent> {
    Chart::parse(CHART).expect("the committed chart is sound")
}
