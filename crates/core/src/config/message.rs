//! What processes tell each other about the configuration.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::HeadDelta;
use crate::{
    declare::{PublishedSet, SetId},
    ids::{Digest, VmId, ZoneId},
    units::Span,
};

/// What a process asks another about the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigCall {
    /// Exchange what is held.
    Gossip(Box<Gossip>),
    /// Send the whole set in force.
    Set,
    /// Send the head in force, as the difference from the head with this digest.
    Head(Digest),
    /// Send a part of the set in force.
    Part(Digest),
}

/// The answer to a call about the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigReply {
    /// What the peer holds.
    Gossip(Box<Gossip>),
    /// The set, or `None` where the peer holds none.
    Set(Option<Arc<PublishedSet>>),
    /// The head, or `None` where the peer holds none.
    Head(Option<HeadDelta>),
    /// The part, or `None` where the peer does not hold it.
    Part(Option<Bytes>),
}

/// The state that two processes exchange.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Gossip {
    /// The sender.
    pub vm: VmId,
    /// The availability zone of the sender.
    pub zone: ZoneId,
    /// The address of the sender for other processes.
    pub addr: SocketAddr,
    /// The set in force at the sender.
    pub held: Option<SetId>,
    /// The time since a reader had an answer of the platform, as far as the sender knows.
    pub age: Option<Span>,
}

/// A peer that is known from the settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// The name of the VM.
    pub vm: VmId,
    /// The address for other processes.
    pub addr: SocketAddr,
}

/// Why the platform did not give a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The platform refuses calls above its rate.
    RateLimited,
    /// The platform does not answer, or not with a value.
    Unavailable,
    /// The platform holds no value.
    NotFound,
}
