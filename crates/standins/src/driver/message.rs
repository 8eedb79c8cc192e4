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
pub struct Request {
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
    Heartbeat(Heartbeat),
    /// The answer to a heartbeat.
    HeartbeatReply(Heartbeat),
    /// A request.
    Request(Request),
    /// A request did not run.
    Refused(RequestKey, Refusal),
    /// The answer to a request begins.
    Started(RequestKey),
    /// The answer to a request is whole.
    Completed(RequestKey, Option<VersionId>),
    /// A request was handed over and failed.
    Failed(RequestKey, Failure),
    /// A question for the keys that an endpoint has run.
    RequestHandover(Box<KeysQuery>),
    /// The keys that an endpoint has run.
    Handover(Handover),
    /// A question for the chunks of a manifest that are held.
    QueryChunks(Digest),
    /// The chunks that are held, as bits.
    ChunkBitmap(Vec<u8>),
    /// A question for a chunk.
    FetchChunk(Digest),
    /// A chunk, `None` where it is not held.
    Chunk(Digest, Option<Vec<u8>>),
}
