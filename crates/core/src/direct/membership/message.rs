//! Members and the messages by which they learn of each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    direct::mirror::Revision,
    ids::{Incarnation, VmId, ZoneId},
};

/// The role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// Accepts requests of callers.
    Gateway,
    /// Transfers weights to the engine on its VM.
    Loader,
}

/// A member process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The VM that it runs on, which identifies it.
    pub vm: VmId,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its address for peers: UDP for gossip, TCP for calls.
    pub addr: SocketAddr,
    /// Its incarnation, derived from its start time.
    pub incarnation: Incarnation,
    /// Its heartbeat counter, which rises when it refutes a suspicion or its state changes.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Whether it is suspected to have failed.
    pub suspected: bool,
    /// Whether the platform answers its reads, as far as it knows.
    #[serde(rename = "reads")]
    pub platform_reachable: bool,
}

/// A probe that is relayed by a third process, as the path between two may be harmed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Relay {
    /// The recipient probes the process at this address for the sender.
    To(SocketAddr),
    /// The answer to this probe is passed on to the process at this address.
    For(SocketAddr),
}

/// A gossip message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// The sender.
    pub from: Member,
    /// Recent changes, and a random selection of the live members known to the sender.
    pub members: Vec<Member>,
    /// The number of live members known to the sender, including itself.
    pub live: u32,
    /// The revision of the published state that the sender holds.
    pub at: Revision,
    /// Whether the sender requests a reply.
    pub ask: bool,
    /// Set where the probe is relayed.
    pub relay: Option<Relay>,
}

/// A message and its recipients.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// The message.
    pub gossip: Gossip,
    /// The addresses of the recipients.
    pub recipients: Vec<SocketAddr>,
}
