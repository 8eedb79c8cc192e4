//! Distribution of model weights: manifests, chunk transfers between VMs and staged rollout.

pub mod chunk_set;
pub mod cross_zone;
mod estimate;
mod list_check;
pub mod manifest;
pub mod pace;
mod peer;
pub mod pull;
pub mod pull_limit;
pub mod rollout;
pub mod state;
mod task;
pub mod topology;
pub mod transfer;
pub mod upload;

pub use self::{
    chunk_set::ChunkSet,
    cross_zone::{CrossZonePolicy, PullPlan, RendezvousOwners},
    list_check::{ListError, ListSuspicion, WeightsSize, check_list},
    manifest::{Manifest, ManifestError},
    pace::Pacer,
    pull::{ChunkOutcome, ChunkSource, Pull, PullError, TransferLimits},
    pull_limit::PullLimit,
    rollout::{Rollout, RolloutDecision},
    state::{TransferEvent, TransferState},
    topology::{PeerKey, Topology, ZoneLink},
    transfer::Transfer,
    upload::UploadLimits,
};
