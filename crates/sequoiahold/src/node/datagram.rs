//! Datagrams exchanged between processes.

use std::fmt;

use sequoiahold_core::{
    direct::{
        endpoint_notices::LeavingReport,
        load_exchange::LoadMessage,
        load_reports::LoadReport,
        membership::Gossip,
        mirror::{Revision, StateDelta},
        part_suspects::PartNews,
        rate_limit::RateLimitReport,
        send_time::SendStamp,
    },
    ids::{InstanceId, ModelId, VmId},
    suspect::Crash,
    time::Time,
    units::Span,
};
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram without the clock of the sender.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum size of the clock of the sender.
pub const MAX_STAMP_BYTES: usize = 20;

/// Announces that an engine is loading and accepts no new requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadingNotice {
    /// The instance of the engine.
    pub instance: InstanceId,
    /// The time during which gateways send it no requests; 0 once the load has ended.
    pub pause: Span,
}

/// Announces the chunks that a loader holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkOffer {
    /// The VM of the loader.
    pub from: VmId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: u64,
    /// The held chunks as a bitmap in the order of the chunk list.
    pub bits: Vec<u8>,
}

/// Changes of the published state for peers that know all changes up to a revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// The revision.
    pub after: Revision,
    /// The changes.
    pub delta: StateDelta,
    /// The changes were published at most this long before they were sent, `None` if unknown.
    pub earliest: Option<Span>,
    /// The state with the changes was current this long before they were sent.
    pub current: Option<Span>,
}

/// A datagram between processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Datagram {
    /// A gossip message of the membership protocol.
    Gossip(Gossip),
    /// Loads of gateways at endpoints.
    Load(LoadMessage),
    /// The start, continuation or end of a load at an engine.
    Loading(LoadingNotice),
    /// An endpoint crashed with requests in flight.
    Crash(Crash),
    /// The chunks that a loader holds.
    Holds(ChunkOffer),
    /// Changes of the published state.
    Changes(Changes),
    /// Prompt parts in flight at crashes, and those with completed answers.
    Parts(PartNews),
    /// Rate limits that endpoints advertise.
    RateLimits(Vec<RateLimitReport>),
    /// Endpoints that say that they leave, or no longer do.
    Leaving(Vec<LeavingReport>),
    /// What loaders know of the loads of engines.
    Loads(Vec<LoadReport>),
}

impl Datagram {
    /// Encodes the datagram, followed by the clock of the sender; processes of the release before
    /// ignore what follows.
    pub fn encode(&self, stamp: SendStamp) -> Result<Vec<u8>, EncodeError> {
        let bytes = postcard::to_stdvec(self).map_err(EncodeError::Format)?;
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(EncodeError::Size(bytes.len()));
        }
        postcard::to_extend(&stamp, bytes).map_err(EncodeError::Format)
    }

    /// Decodes a datagram and the clock of the sender, `None` from a process of the release before.
    pub fn decode(bytes: &[u8]) -> Result<(Self, Option<SendStamp>), postcard::Error> {
        let (datagram, rest) = postcard::take_from_bytes(bytes)?;
        Ok((datagram, postcard::from_bytes(rest).ok()))
    }
}

/// The reason why a datagram cannot be encoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EncodeError {
    /// It exceeds [`MAX_DATAGRAM_BYTES`].
    Size(usize),
    /// It has no encoding.
    Format(postcard::Error),
}

impl fmt::Display for EncodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Size(bytes) => write!(f, "{bytes} bytes exceed the limit"),
            Self::Format(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for EncodeError {}

/// A datagram from another process.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// When it was sent, by the clock of this process and as far as known.
    pub sent: Time,
    /// The datagram.
    pub datagram: Datagram,
}
