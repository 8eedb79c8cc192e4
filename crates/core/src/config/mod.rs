//! Distribution of configuration sets by gossip, with the platform as their origin.

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
