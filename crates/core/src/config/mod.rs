//! Configuration in a process: which sets it learns of, from whom, and which is in force.

mod delta;
mod fetch;
mod message;
mod neighbors;
mod node;
mod state;
mod sync;

pub use self::{
    delta::{DeltaStep, HeadDelta},
    fetch::SetSource,
    message::{ConfigCall, ConfigReply, Gossip, PlatformError, Seed},
    neighbors::Neighbors,
    node::{ConfigCounters, ConfigNode, Identity, Output, SyncParams},
    state::{ConfigEvent, ConfigState},
};
