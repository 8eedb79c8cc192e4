//! Refusals and failures that a caller can be told.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::units::Span;

/// The time after which a refused caller may come back when no better figure is known.
pub const DEFAULT_RETRY_DELAY: Span = Span::secs(1);

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request, its path or its body is malformed.
    BadRequest,
    /// The API key is unknown.
    BadKey,
    /// The deadline of the request passed before it could run.
    Deadline,
    /// The endpoint or its availability zone takes no new work.
    Leaving,
    /// No endpoint is ready for the service.
    NoEndpoint,
    /// The limit of the endpoint or of the queue is reached.
    Overload,
    /// The client account has used up its share.
    Share,
    /// The request is suspected of crashing endpoints.
    Suspect,
    /// The process has no configuration yet.
    Unconfigured,
    /// The service is not declared.
    UnknownService,
    /// The endpoint does not hold the version.
    Version,
    /// The key may have run before, at another owner or incarnation.
    Key,
    /// The key was used for another request before.
    KeyReused,
    /// A call with this key is in progress.
    Running,
    /// A call with this key ran to its end and its answer is no longer held.
    Ran,
}

impl Reason {
    /// Returns the status code that the caller gets.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::BadKey => 401,
            Self::UnknownService => 404,
            Self::Key | Self::Ran | Self::Running => 409,
            Self::KeyReused | Self::Suspect => 422,
            Self::Overload | Self::Share => 429,
            _ => 503,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadRequest => "the request is malformed",
            Self::BadKey => "the API key is unknown",
            Self::Deadline => "the deadline passed before the request could run",
            Self::Leaving => "the endpoint takes no new work",
            Self::NoEndpoint => "no endpoint is ready for the service",
            Self::Overload => "all endpoints of the service are at their limit",
            Self::Share => "the client account has used up its share",
            Self::Suspect => "the request is suspected of crashing endpoints",
            Self::Unconfigured => "the process has no configuration yet",
            Self::UnknownService => "the service is not declared",
            Self::Version => "the endpoint does not hold the version",
            Self::Key => "the key may have been used before",
            Self::KeyReused => "the key was used for another request before",
            Self::Running => "a call with this key is in progress",
            Self::Ran => "a call with this key ran to its end and its answer is no longer held",
        })
    }
}

/// A final answer that says the request did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why the request was not run.
    pub reason: Reason,
    /// When the caller may come back.
    pub retry: Option<Span>,
}

impl Refusal {
    /// Returns a refusal without a time to come back.
    pub fn new(reason: Reason) -> Self {
        Self { reason, retry: None }
    }

    /// Returns a refusal that asks the caller to come back after `retry`.
    pub fn retry_after(reason: Reason, retry: Span) -> Self {
        Self { reason, retry: Some(retry) }
    }
}

/// How a request ended after its hand-over to the engine or service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The engine or service crashed while the request was in progress.
    Crashed,
    /// The engine crashed and no other request in progress is suspected of it.
    CrashedAlone,
    /// The run was cancelled and the engine confirmed its end.
    Cancelled,
    /// Whether the request ran to its end is not known.
    Unknown,
}
