//! Generated weights, with the same bytes for the same version in every process.

use std::collections::BTreeMap;

use anyhow::Context as _;
use bytes::Bytes as Data;
use sequoiahold_core::{
    ids::{Digest, VersionId},
    units::Bytes,
    weights::Manifest,
};

/// Share of the chunks that a new version changes, in thousandths.
const CHANGED_PERMILLE: u64 = 50;

/// The generated weights of a version.
#[derive(Clone, Debug)]
pub struct Content {
    /// The manifest.
    pub manifest: Manifest,
    /// The chunks by digest.
    pub chunks: BTreeMap<Digest, Data>,
}

impl Content {
    /// Generates the weights of a version named `MODEL-NUMBER`; another name is an error.
    pub fn of(version: &VersionId, size: Bytes, chunk: Bytes) -> anyhow::Result<Self> {
        let (model, number) =
            version.as_str().rsplit_once('-').context("version name does not end in a number")?;
        let number: u64 = number.parse().context("version name does not end in a number")?;
        let count = size.0.div_ceil(chunk.0);
        let parts = (0..count).map(|index| {
            let length = chunk.0.min(size.0 - index * chunk.0);
            generate_chunk(model, last_change(model, number, (index, count)), index, length)
        });
        let parts: Vec<Data> = parts.collect();
        let digests: Vec<Digest> = parts.iter().map(|part| Digest::of(part)).collect();
        let chunks = digests.iter().copied().zip(parts).collect();
        Ok(Self { manifest: Manifest { chunk, size, chunks: digests }, chunks })
    }
}

/// Returns the digest of the chunk digests, in the order of the chunks.
pub fn fingerprint<'a>(digests: impl IntoIterator<Item = &'a Digest>) -> Digest {
    let mut all = Vec::new();
    for digest in digests {
        all.extend_from_slice(digest.bytes());
    }
    Digest::of(&all)
}

/// Returns the token at `index` of the answer to `prompt` from weights with this fingerprint.
pub fn answer_token(fingerprint: &Digest, prompt: &str, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(fingerprint.bytes());
    hasher.update(prompt.as_bytes());
    hasher.update(&index.to_le_bytes());
    hasher.finalize().to_hex()[..8].to_owned()
}

/// Returns the number of the last version that changed a chunk; each changes at least one.
fn last_change(model: &str, number: u64, (index, count): (u64, u64)) -> u64 {
    let changed = |n: &u64| {
        if index == n % count {
            return true;
        }
        let digest = blake3::hash(format!("{model} {n} {index}").as_bytes());
        u64::from(u16::from_le_bytes([digest.as_bytes()[0], digest.as_bytes()[1]])) % 1_000
            < CHANGED_PERMILLE
    };
    (2..=number).rev().find(changed).unwrap_or(1)
}

fn generate_chunk(model: &str, change: u64, index: u64, length: u64) -> Data {
    let mut hasher = blake3::Hasher::new();
    hasher.update(format!("weights {model} {change} {index}").as_bytes());
    let mut data = vec![0; length as usize];
    hasher.finalize_xof().fill(&mut data);
    Data::from(data)
}
