//! Weights: manifests, chunks and the plan of a transfer.

pub mod manifest;
pub mod transfer;

pub use self::{
    manifest::{Manifest, ManifestError},
    transfer::{Supplier, Transfer, TransferOutcome},
};
