//! Weights: manifests, chunks and the plan of a transfer.

pub mod bits;
mod estimate;
pub mod manifest;
pub mod outside;
pub mod pace;
mod peer;
pub mod rollout;
pub mod state;
pub mod topology;
pub mod transfer;
pub mod upload;

pub use self::{
    bits::Bits,
    manifest::{Manifest, ManifestError},
    outside::{Duty, Outside, Owners},
    pace::Pacer,
    rollout::{Rollout, Turn},
    state::{TransferEvent, TransferState},
    topology::{PeerKey, Topology},
    transfer::{Draw, DrawError, Limits, Supplier, Transfer, TransferOutcome},
    upload::Uploads,
};
