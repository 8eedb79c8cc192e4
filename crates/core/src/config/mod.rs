//! Configuration in a process: which sets it learns of, from whom, and which is in force.

mod delta;
mod fetch;
mod follow;
mod message;
mod neighbors;
mod node;
mod state;

pub use self::{
    delta::{HeadDelta, Step},
    fetch::Source,
    message::{ConfigCall, ConfigReply, Gossip, ReadError, Seed},
    neighbors::Neighbors,
    node::{Counts, Identity, Node, Output, Timing},
    state::{ConfigEvent, ConfigState},
};
