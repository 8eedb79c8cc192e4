//! Distribution of model weights: manifests, chunk transfers between VMs and staged rollout.

pub mod chunk_set;
pub mod draw;
mod estimate;
pub mod manifest;
pub mod outside;
pub mod pace;
mod peer;
pub mod rollout;
pub mod state;
mod task;
pub mod topology;
pub mod transfer;
pub mod upload;

pub use self::{
    chunk_set::ChunkSet,
    draw::{ChunkOutcome, ChunkSource, Pull, PullError, TransferLimits},
    manifest::{Manifest, ManifestError},
    outside::{CrossZonePolicy, PullPlan, RendezvousOwners},
    pace::Pacer,
    rollout::{Rollout, RolloutDecision},
    state::{TransferEvent, TransferState},
    topology::{PeerKey, Topology, ZoneLink},
    transfer::Transfer,
    upload::UploadLimits,
};
