//! What callers asked and received.

use sequoiahold_core::{
    ids::VersionId,
    once::CallKey,
    refusal::{Failure, Reason},
    time::Time,
    units::Span,
};

/// A call of a caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub usize);

/// What a caller asks.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The client account.
    pub client: &'a str,
    /// The key of a call that may not be repeated.
    pub key: Option<CallKey>,
    /// The body, another one for each key or call where there is none.
    pub body: Option<&'a str>,
}

/// What a caller received.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The whole answer, from this version.
    Answered(Option<VersionId>),
    /// A refusal that says the call did not run.
    Refused(Reason, Option<Span>),
    /// A refusal of a call with a key that does not say whether the key ran.
    KeyedRefused(Reason),
    /// An answer that says the call was handed over and failed.
    Failed(Failure),
}

/// A call and what became of it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The key of a call that may not be repeated.
    pub key: Option<CallKey>,
    /// When it was made.
    pub called_at: Time,
    /// The client account.
    pub client: String,
    /// When its answer began.
    pub first_token: Option<Time>,
    /// When it ended, and how.
    pub end: Option<(Time, Outcome)>,
    /// The times that an engine or service began to run it.
    pub runs: u32,
}
