//! Messages between the processes of the system.
//!
//! The encoding depends on the order of fields and variants, which must not change.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    config::{ConfigCall, ConfigReply},
    ids::{ClientId, Digest, Generation, Incarnation, RequestId, ServiceId, VersionId, VmId},
    once::{CallKey, Handover, OnceTicket},
    refusal::{Failure, Refusal},
    suspect::{Crash, Fingerprint},
    units::Span,
};

/// The protocol identifier that both peers must use.
pub const PROTOCOL: &[u8] = b"sequoiahold/1";
/// The largest encoded message, in bytes; large enough for a chunk and its header.
pub const MAX_MESSAGE_BYTES: usize = 5_000_000;

/// The request that a peer sends on a new stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Call {
    /// Runs a caller's request at an endpoint.
    #[serde(rename = "Ask")]
    Run(Box<RunRequest>),
    /// Exchanges the current state of both peers and keeps the connection alive.
    #[serde(rename = "Beat")]
    Heartbeat(Box<Heartbeat>),
    /// Exchanges or fetches configuration.
    Config(ConfigCall),
    /// Pulls the chunk with this digest.
    Chunk(Digest),
    /// Queries which chunks of the manifest with this digest the peer holds.
    #[serde(rename = "Have")]
    HeldChunks(Digest),
    /// Queries which of the idempotency keys that the sender now owns have run at the peer.
    Keys(Box<KeysQuery>),
    /// Issues an idempotency ticket for a call of this client account to this service.
    Ticket(ClientId, ServiceId),
}

/// The query of the new owner of idempotency keys to an endpoint that may have run some of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeysQuery {
    /// The endpoint that sends the query.
    pub vm: VmId,
    /// The configuration generation on which the ownership is based.
    pub generation: Generation,
    /// The endpoints among which the keys are distributed in that generation.
    pub members: Vec<VmId>,
}

/// A caller's request as an entry sends it to an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunRequest {
    /// The entry that sends the request.
    pub entry: VmId,
    /// The incarnation of the entry.
    pub incarnation: Incarnation,
    /// The incarnation of the endpoint that the request is meant for.
    #[serde(rename = "to")]
    pub target: Incarnation,
    /// The number of the request, unique within the incarnation of the entry.
    pub id: RequestId,
    /// The client account.
    pub client: ClientId,
    /// The service.
    pub service: ServiceId,
    /// The HTTP method of a call to a plain service.
    pub method: String,
    /// The path and query of a call to a plain service.
    pub path: String,
    /// The idempotency key, if the call must not run twice.
    pub key: Option<CallKey>,
    /// The fingerprint of the request, the same for each retry and repetition.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// The time left until the caller's deadline.
    #[serde(rename = "left")]
    pub time_left: Span,
    /// The request body.
    pub body: Bytes,
}

/// The state that a process reports to its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub vm: VmId,
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The configuration generation in force at the sender.
    pub generation: Generation,
    /// The load of an endpoint, or `None` from an entry.
    pub load: Option<Load>,
    /// The recent engine crashes that the sender saw or learnt from peers.
    pub crashes: Vec<Crash>,
    /// The requests for the endpoint's service that wait or run at the entry, 0 from an endpoint.
    #[serde(rename = "want")]
    pub demand: u32,
}

/// The load that an endpoint reports.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// The version that the engine has loaded, if any.
    pub version: Option<VersionId>,
    /// The number of requests that the endpoint can run at the same time now.
    pub limit: u32,
    /// The number of requests in progress.
    pub running: u32,
    /// Whether the endpoint accepts new requests.
    pub open: bool,
    /// The number of requests that the receiving entry may have in progress at the endpoint.
    pub credit: u32,
}

/// A message of the reply on a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// The request was refused and did not run.
    Refused(Refusal),
    /// The engine or service accepted the request and sent the head of its answer.
    Started(Started),
    /// A part of the answer body, numbered from 0.
    Part(u32, Bytes),
    /// The answer is complete and has this many parts.
    End(u32),
    /// The request ended without a complete answer.
    Failed(Failure),
    /// The current state of the peer.
    #[serde(rename = "Beat")]
    Heartbeat(Box<Heartbeat>),
    /// The reply to a configuration call.
    Config(ConfigReply),
    /// The chunk, or `None` if the peer does not hold it.
    Chunk(Option<Bytes>),
    /// The peer has no free upload slot; the chunk may be requested again after this time.
    #[serde(rename = "Later")]
    Busy(Span),
    /// A bitmap of the chunks that the peer holds, the first chunk in the lowest bit.
    #[serde(rename = "Have")]
    HeldChunks(Vec<u8>),
    /// The handover of the records of idempotency keys that have run at the peer.
    Keys(Box<Handover>),
    /// A newly issued idempotency ticket.
    Ticket(OnceTicket),
}

/// The head of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Started {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    #[serde(rename = "content")]
    pub content_type: String,
    /// The version of the model that serves the request, `None` for a plain service.
    pub version: Option<VersionId>,
    /// The incarnation of the endpoint process.
    pub incarnation: Incarnation,
}

/// Encodes a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Decodes a message; fails if `data` is malformed or truncated.
pub fn decode<'a, T: Deserialize<'a>>(data: &'a [u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(data)
}
