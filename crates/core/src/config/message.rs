//! Messages between processes about the configuration.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::HeadDelta;
use crate::{
    declare::{PublishedSet, SetId},
    ids::{Digest, VmId, ZoneId},
    units::Span,
};

/// A configuration request to another process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigCall {
    /// Exchange gossip.
    Gossip(Box<Gossip>),
    /// Return the full set in force.
    Set,
    /// Return the head in force as a delta from the head with this digest.
    Head(Digest),
    /// Return the part of the set in force with this digest.
    Part(Digest),
}

/// The reply to a `ConfigCall`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigReply {
    /// The gossip of the peer.
    Gossip(Box<Gossip>),
    /// The set, or `None` if the peer has none or is above its limit per second.
    Set(Option<Arc<PublishedSet>>),
    /// The head, or `None` if the peer has none.
    Head(Option<HeadDelta>),
    /// The part, or `None` if it is not in the set in force at the peer.
    Part(Option<Bytes>),
}

/// The configuration state of a process, as it is sent to peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Gossip {
    /// The sender.
    pub vm: VmId,
    /// The availability zone of the sender.
    pub zone: ZoneId,
    /// The address at which other processes reach the sender.
    pub addr: SocketAddr,
    /// The set in force at the sender, if any.
    pub held: Option<SetId>,
    /// The time since the platform last answered a reader of the zone, as known to the sender.
    pub age: Option<Span>,
}

/// A peer that a process contacts before it knows the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// The VM of the peer.
    pub vm: VmId,
    /// The address of the peer.
    pub addr: SocketAddr,
}

/// An error of a read from the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The platform refused the call because of its rate limit.
    RateLimited,
    /// The platform did not answer, or its answer is not a valid value.
    Unavailable,
    /// The platform has no such value.
    NotFound,
}
