//! Messages between simulated processes.

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

/// A request that an entry sends to an endpoint.
#[derive(Clone, Debug)]
pub struct Request {
    /// The simulated call.
    pub call: CallId,
    /// Key of the request at the entry.
    pub request: RequestKey,
    /// The call as offered to the endpoint.
    pub offered: OfferedCall,
    /// Time left until the deadline.
    pub left: Span,
}

/// A message between two simulated processes.
#[derive(Clone, Debug)]
pub enum Message {
    /// A heartbeat from an entry or an endpoint.
    Heartbeat(Heartbeat),
    /// The reply to a heartbeat.
    HeartbeatReply(Heartbeat),
    /// A request from an entry to an endpoint.
    Request(Request),
    /// Tells the entry that a request was refused and did not run.
    Refused(RequestKey, Refusal),
    /// Tells the entry that the answer to a request has started.
    Started(RequestKey),
    /// Tells the entry that the answer is complete, with the version that gave it.
    Completed(RequestKey, Option<VersionId>),
    /// Tells the entry that a request failed after the endpoint had accepted it.
    Failed(RequestKey, Failure),
    /// Asks an endpoint for the idempotency keys that it has run.
    RequestHandover(Box<KeysQuery>),
    /// The idempotency keys that an endpoint has run.
    Handover(Handover),
    /// Asks which chunks of the manifest with this digest an endpoint holds.
    QueryChunks(Digest),
    /// The chunks that an endpoint holds, one bit per chunk of the manifest.
    ChunkBitmap(Vec<u8>),
    /// Asks for a chunk by digest.
    FetchChunk(Digest),
    /// The data of a chunk, `None` if the sender does not hold it.
    Chunk(Digest, Option<Vec<u8>>),
}
