//! The datagrams between processes.

use sequoiahold_core::{
    direct::{
        membership::Gossip,
        mirror::{Revision, StateDelta},
    },
    ids::{InstanceId, ModelId, VmId},
    suspect::Crash,
    units::Span,
};
use serde::{Deserialize, Serialize};

/// The load that a gateway causes at one endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointLoad {
    /// The hash of the endpoint's instance.
    pub instance: u32,
    /// Requests in progress.
    pub count: u16,
    /// The time that reading their prompts takes, for those without a first event yet, in ms.
    pub reading: u32,
}

/// The loads that a gateway causes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The gateway.
    pub from: VmId,
    /// The endpoints with requests in progress.
    pub loads: Vec<EndpointLoad>,
}

/// Says that an engine loads and takes no new requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadingNotice {
    /// The engine.
    pub instance: InstanceId,
    /// The time for which nothing is to be sent there; 0 where the load is over.
    pub pause: Span,
}

/// Says which chunks a loader holds, as bits in the order of the chunk list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkOffer {
    /// The loader.
    pub from: VmId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: u64,
    /// The chunks.
    pub bits: Vec<u8>,
}

/// A datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// Membership.
    Gossip(Gossip),
    /// The loads that a gateway causes.
    Load(LoadReport),
    /// An engine loads.
    Loading(LoadingNotice),
    /// An endpoint crashed with requests in progress.
    Crash(Crash),
    /// A loader has got chunks.
    Holds(ChunkOffer),
    /// Changes of the published state, after a revision.
    Changes(Revision, StateDelta),
}
