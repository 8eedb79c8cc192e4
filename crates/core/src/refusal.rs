//! Refusals and failures that are reported to callers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::units::Span;

/// The retry delay given to a refused caller if no better estimate is known.
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
    /// The endpoint or its availability zone accepts no new requests.
    Leaving,
    /// No endpoint is ready for the service.
    NoEndpoint,
    /// The endpoint or the queue is at its limit.
    Overload,
    /// The client account has used up its share.
    Share,
    /// The request is suspected of crashing endpoints.
    Suspect,
    /// The process has no configuration yet.
    Unconfigured,
    /// The service is not declared.
    UnknownService,
    /// The endpoint has not loaded the required version.
    Version,
    /// The idempotency key may have run before, at another owner or in an earlier incarnation.
    Key,
    /// The idempotency key was used before for a different request.
    KeyReused,
    /// A call with this idempotency key is in progress.
    Running,
    /// A call with this idempotency key completed and its answer is no longer stored.
    Ran,
}

impl Reason {
    /// Returns the HTTP status code of the response to the caller.
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

/// A final response to a request that did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why the request was not run.
    pub reason: Reason,
    /// The delay after which the caller may retry, if it is known.
    pub retry: Option<Span>,
}

impl Refusal {
    /// Returns a refusal without a retry delay.
    pub fn new(reason: Reason) -> Self {
        Self { reason, retry: None }
    }

    /// Returns a refusal that allows a retry after the delay `retry`.
    pub fn retry_after(reason: Reason, retry: Span) -> Self {
        Self { reason, retry: Some(retry) }
    }
}

/// Why a request failed after it was sent to the engine or service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The engine or service crashed while the request was in progress.
    Crashed,
    /// The engine crashed and no other request in progress is suspected of the crash.
    CrashedAlone,
    /// The request was cancelled and the engine confirmed that it ended.
    Cancelled,
    /// It is not known whether the request completed.
    Unknown,
}
