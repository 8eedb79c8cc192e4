//! Weights: manifests, chunks and the plan of a transfer.

pub mod bits;
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
    bits::Bits,
    draw::{Draw, DrawError, Limits, Supplier, TransferOutcome},
    manifest::{Manifest, ManifestError},
    outside::{Duty, Outside, Owners},
    pace::Pacer,
    rollout::{Rollout, Turn},
    state::{TransferEvent, TransferState},
    topology::{PeerKey, Topology, ZoneLink},
    transfer::Transfer,
    upload::Uploads,
};
