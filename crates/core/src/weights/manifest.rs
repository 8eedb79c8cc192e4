//! The manifest of a version: the digests of its chunks in order.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{ids::Digest, units::Bytes};

/// Largest chunk, in bytes.
pub const MAX_CHUNK_BYTES: u64 = 4_000_000;
/// Most chunks that a manifest may have; 400 GB at the largest chunk.
pub const MAX_CHUNKS: usize = 100_000;

/// The chunks of a version in order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The size of each chunk but the last.
    pub chunk: Bytes,
    /// The size of the weights.
    pub size: Bytes,
    /// The digest of each chunk.
    pub chunks: Vec<Digest>,
}

/// Why a manifest is not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ManifestError {
    /// The manifest is not the one that the version names.
    DigestMismatch,
    /// The text is not a manifest.
    InvalidJson,
    /// The sizes do not fit together or pass a bound.
    InvalidSize,
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::DigestMismatch => "the manifest has another digest",
            Self::InvalidJson => "the manifest cannot be read",
            Self::InvalidSize => "the manifest's sizes do not fit together",
        })
    }
}

impl std::error::Error for ManifestError {}

impl Manifest {
    /// Cuts weights into chunks.
    pub fn from_data(data: &[u8], chunk: Bytes) -> Self {
        let size = chunk.0.max(1) as usize;
        let chunks = data.chunks(size).map(Digest::of).collect();
        Self { chunk, size: Bytes(data.len() as u64), chunks }
    }

    /// Reads a manifest and checks it against the digest that names it.
    pub fn parse(text: &[u8], digest: Digest) -> Result<Self, ManifestError> {
        if Digest::of(text) != digest {
            return Err(ManifestError::DigestMismatch);
        }
        let manifest: Self =
            serde_json::from_slice(text).map_err(|_| ManifestError::InvalidJson)?;
        manifest.validate()?;
        Ok(manifest)
    }

    /// Returns the text that the manifest's digest is of.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the digest that names the manifest.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.to_json())
    }

    /// Returns the size of a chunk.
    pub fn chunk_size(&self, index: usize) -> Bytes {
        let start = self.chunk.0 * index as u64;
        Bytes(self.chunk.0.min(self.size.0.saturating_sub(start)))
    }

    fn validate(&self) -> Result<(), ManifestError> {
        let valid = (1..=MAX_CHUNK_BYTES).contains(&self.chunk.0)
            && self.chunks.len() <= MAX_CHUNKS
            && self.size.0.div_ceil(self.chunk.0) == self.chunks.len() as u64;
        if valid { Ok(()) } else { Err(ManifestError::InvalidSize) }
    }
}
