//! The manifest of a version, which lists the digests of its chunks in order.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{ids::Digest, units::Bytes};

/// Maximum size of a chunk, in bytes.
pub const MAX_CHUNK_BYTES: u64 = 4_000_000;
/// Maximum number of chunks in a manifest; allows 400 GB of weights at the maximum chunk size.
pub const MAX_CHUNKS: usize = 100_000;

/// The list of chunks that make up the weights of a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The size of each chunk except the last, which may be smaller.
    pub chunk: Bytes,
    /// The total size of the weights.
    pub size: Bytes,
    /// The digest of each chunk, in the order of the weights.
    pub chunks: Vec<Digest>,
}

/// The reason why a manifest was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ManifestError {
    /// The digest of the text is not the expected one.
    DigestMismatch,
    /// The text is not the JSON of a manifest.
    Malformed,
    /// The sizes are inconsistent or exceed a limit.
    InvalidSize,
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::DigestMismatch => "manifest digest does not match",
            Self::Malformed => "manifest is malformed",
            Self::InvalidSize => "manifest sizes are inconsistent or exceed a limit",
        })
    }
}

impl std::error::Error for ManifestError {}

impl Manifest {
    /// Builds the manifest of `data` split into chunks of `chunk` bytes.
    pub fn from_data(data: &[u8], chunk: Bytes) -> Self {
        let size = chunk.0.max(1) as usize;
        let chunks = data.chunks(size).map(Digest::of).collect();
        Self { chunk, size: Bytes(data.len() as u64), chunks }
    }

    /// Parses a manifest and verifies its digest and sizes.
    pub fn parse(text: &[u8], digest: Digest) -> Result<Self, ManifestError> {
        if Digest::of(text) != digest {
            return Err(ManifestError::DigestMismatch);
        }
        let manifest: Self = serde_json::from_slice(text).map_err(|_| ManifestError::Malformed)?;
        manifest.validate()?;
        Ok(manifest)
    }

    /// Serializes the manifest to the JSON text that its digest is computed over.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the digest of the JSON text, which identifies the manifest.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.to_json())
    }

    /// Returns the size of the chunk at `index`, zero past the end of the weights.
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
