//! Datagrams exchanged between processes.

use sequoiahold_core::{
    direct::{
        endpoint_notices::LeavingReport,
        load_exchange::LoadMessage,
        membership::Gossip,
        mirror::{Revision, StateDelta},
        part_suspects::PartNews,
        rate_limit::RateLimitReport,
    },
    ids::{InstanceId, ModelId, VmId},
    suspect::Crash,
    units::Span,
};
use serde::{Deserialize, Serialize};

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
}
