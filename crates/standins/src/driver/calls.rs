//! Simulated calls of clients and their outcomes.

use sequoiahold_core::{
    ids::VersionId,
    once::CallKey,
    refusal::{Failure, Reason},
    time::Time,
    units::Span,
};

/// Index of a call in [`Simulation::calls`](super::Simulation::calls).
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub usize);

/// A call to make at an entry.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Name of the client account.
    pub client: &'a str,
    /// Idempotency key, `None` for a call without one.
    pub key: Option<CallKey>,
    /// Request body; `None` generates one that is unique to the key, or to a call without a key.
    pub body: Option<&'a str>,
}

/// The final answer to a call.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The complete answer, with the model version that gave it.
    Answered(Option<VersionId>),
    /// A refusal which guarantees that the call did not run, with the time after which to retry.
    Refused(Reason, Option<Span>),
    /// A refusal of a call with an idempotency key, which leaves open whether an earlier call ran.
    KeyedRefused(Reason),
    /// A failure after the call was sent to an endpoint.
    Failed(Failure),
}

/// The record of a call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Idempotency key, `None` for a call without one.
    pub key: Option<CallKey>,
    /// Time at which the call was made.
    pub called_at: Time,
    /// Name of the client account.
    pub client: String,
    /// Time of the first token of the answer.
    pub first_token: Option<Time>,
    /// Time and outcome of its end, `None` while it is in progress.
    pub end: Option<(Time, Outcome)>,
    /// Number of times that an engine or plain service started to run it.
    pub runs: u32,
}
