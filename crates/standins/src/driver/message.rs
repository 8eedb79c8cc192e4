//! Messages between driven processes.

use sequoiahold_core::{
    endpoint::OfferedCall,
    entry::RequestKey,
    ids::{Digest, VersionId},
    once::Handover,
    proto::{Heartbeat, KeysQuery},
    refusal::{Failure, Refusal},
    units::Span,
};

use super::CallId;

/// A request on its way to an endpoint.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The call of the caller.
    pub call: CallId,
    /// The key at the entry.
    pub request: RequestKey,
    /// The call at the endpoint.
    pub offered: OfferedCall,
    /// The time left.
    pub left: Span,
}

/// A message between two driven processes.
#[derive(Clone, Debug)]
pub enum Message {
    /// A heartbeat of an entry.
    Beat(Heartbeat),
    /// The answer to a heartbeat.
    Answer(Heartbeat),
    /// A request.
    Ask(Ask),
    /// A request did not run.
    Refused(RequestKey, Refusal),
    /// The answer to a request begins.
    Started(RequestKey),
    /// The answer to a request is whole.
    Ended(RequestKey, Option<VersionId>),
    /// A request was handed over and failed.
    Failed(RequestKey, Failure),
    /// A question for the keys that an endpoint has run.
    AskKeys(Box<KeysQuery>),
    /// The keys that an endpoint has run.
    Keys(Handover),
    /// A question for the chunks of a manifest that are held.
    AskHave(Digest),
    /// The chunks that are held, as bits.
    Have(Vec<u8>),
    /// A question for a chunk.
    AskChunk(Digest),
    /// A chunk, `None` where it is not held.
    Chunk(Digest, Option<Vec<u8>>),
}
