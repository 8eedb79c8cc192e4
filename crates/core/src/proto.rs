//! Typed messages between the system's processes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    config::{ConfigCall, ConfigReply},
    ids::{ClientId, Digest, Generation, Incarnation, RequestId, ServiceId, VersionId, VmId},
    once::{CallKey, HandOver, OnceTicket},
    refusal::{Failure, Refusal},
    suspect::{Crash, Fingerprint},
    units::Span,
};

/// The protocol version that both ends must share.
pub const PROTOCOL: &[u8] = b"sequoiahold/1";
/// Largest encoded message, in bytes; a chunk and its header fit.
pub const MAX_MESSAGE_BYTES: usize = 5_000_000;

/// What an opened stream asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Call {
    /// Run a request.
    #[serde(rename = "Ask")]
    Run(Box<RunRequest>),
    /// Tell and learn the present state; also the heartbeat of the connection.
    #[serde(rename = "Beat")]
    Heartbeat(Box<Heartbeat>),
    /// Exchange or ask for the configuration.
    Config(ConfigCall),
    /// Send the chunk with this digest.
    Chunk(Digest),
    /// Tell which chunks of this manifest are held.
    #[serde(rename = "Have")]
    HeldChunks(Digest),
    /// Tell which keys of the asking endpoint have run.
    Keys(Box<KeysQuery>),
    /// Issue a ticket for a call of this client account at this service.
    Ticket(ClientId, ServiceId),
}

/// A question of the new owner of keys to an endpoint that may have run some of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeysQuery {
    /// The endpoint that asks.
    pub vm: VmId,
    /// The generation that it follows.
    pub generation: Generation,
    /// The endpoints that share the keys under that generation.
    pub members: Vec<VmId>,
}

/// A request on its way to an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunRequest {
    /// The entry that sends the request.
    pub entry: VmId,
    /// The incarnation of the entry.
    pub incarnation: Incarnation,
    /// The incarnation of the endpoint that the entry means.
    #[serde(rename = "to")]
    pub target: Incarnation,
    /// The number of the request at the entry.
    pub id: RequestId,
    /// The client account.
    pub client: ClientId,
    /// The service.
    pub service: ServiceId,
    /// The HTTP method of a plain call.
    pub method: String,
    /// The path and query of a plain call.
    pub path: String,
    /// The key of a call that may not be repeated.
    pub key: Option<CallKey>,
    /// The fingerprint, the same for each copy of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// The time left until the deadline.
    #[serde(rename = "left")]
    pub time_left: Span,
    /// The body.
    pub body: Bytes,
}

/// The state that a process tells its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub vm: VmId,
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The generation in force.
    pub generation: Generation,
    /// What an endpoint bears, or `None` from an entry.
    pub load: Option<Load>,
    /// The crashes that the sender saw or was told of lately.
    pub crashes: Vec<Crash>,
    /// The requests that an entry has, waiting or in progress, for the service of the endpoint.
    #[serde(rename = "want")]
    pub demand: u32,
}

/// The load that an endpoint reports.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// The version that the engine holds, or `None` while it holds none.
    pub version: Option<VersionId>,
    /// The requests that the endpoint bears now.
    pub limit: u32,
    /// The requests that run now.
    pub running: u32,
    /// Whether the endpoint takes new work.
    pub open: bool,
    /// The requests that the entry which is told may have in progress here.
    pub credit: u32,
}

/// An answer on a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// The request did not run.
    Refused(Refusal),
    /// The request was handed over; its status and content type follow.
    Started(Started),
    /// A part of the answer, numbered from 0.
    Part(u32, Bytes),
    /// The answer is whole and has this many parts.
    End(u32),
    /// The request ended without a whole answer.
    Failed(Failure),
    /// The state of the peer.
    #[serde(rename = "Beat")]
    Heartbeat(Box<Heartbeat>),
    /// What was asked for about the configuration.
    Config(ConfigReply),
    /// The chunk, or `None` where the peer does not hold it.
    Chunk(Option<Bytes>),
    /// The peer's uploads are full; the chunk may be asked for again after this time.
    #[serde(rename = "Later")]
    Busy(Span),
    /// The bits of the chunks that the peer holds, first chunk lowest.
    #[serde(rename = "Have")]
    HeldChunks(Vec<u8>),
    /// The keys that the peer has run.
    Keys(Box<HandOver>),
    /// A ticket.
    Ticket(OnceTicket),
}

/// The first part of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Started {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    #[serde(rename = "content")]
    pub content_type: String,
    /// The version of the weights that answer.
    pub version: Option<VersionId>,
    /// The incarnation of the endpoint process.
    pub incarnation: Incarnation,
}

/// Encodes a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Decodes a message; the error says what is malformed.
pub fn decode<'a, T: Deserialize<'a>>(data: &'a [u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(data)
}
