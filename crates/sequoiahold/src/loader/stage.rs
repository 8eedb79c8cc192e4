//! Checks the chunks staged at the engine and replaces corrupt ones.

use anyhow::{Context as _, bail};
use bytes::Bytes;
use futures_util::{StreamExt as _, TryStreamExt as _, stream};
use sequoiahold_core::direct::{
    load_proof::{ChunkCheck, LoadProof},
    platform::{ChunkList, Codec},
};

use super::{Loader, chunk_store::matches_digest, engine::MAX_CONCURRENT_CALLS, target::Target};

/// Maximum number of rounds of staging corrupt chunks again before the deployment fails.
const MAX_STAGING_ROUNDS: u32 = 5;

/// Copies the chunks staged at the engine to the chunk store, for peers; skips corrupt ones.
pub(super) async fn store_staged_chunks<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    list: &ChunkList,
) -> anyhow::Result<()> {
    for (chunk, digest) in list.digests.iter().enumerate() {
        if loader.chunk_store.contains(digest) {
            continue;
        }
        match loader.engine.get(&target.model, chunk).await? {
            Some(data) if matches_digest(&data, digest) => loader.chunk_store.insert(*digest, data),
            _ => {}
        }
    }
    Ok(())
}

/// Stages a chunk; after an error it may yet be staged.
pub(super) async fn put<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    chunk: usize,
    data: Bytes,
) -> anyhow::Result<()> {
    loader.update_proof(LoadProof::begin_staging);
    loader.engine.put(&target.model, chunk, data).await?;
    loader.update_proof(LoadProof::end_staging);
    Ok(())
}

/// Reads the staged chunks back and stages missing and corrupt ones again until one check finds all
/// intact; fails if some remain after [`MAX_STAGING_ROUNDS`].
pub(super) async fn verify_staged<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    list: &ChunkList,
) -> anyhow::Result<ChunkCheck> {
    for _ in 0..MAX_STAGING_ROUNDS {
        let started = loader.node.now();
        let corrupt = find_corrupt(loader, target, list).await?;
        if corrupt.is_empty() {
            return Ok(ChunkCheck { started, ended: loader.node.now() });
        }
        for chunk in &corrupt {
            let digest = &list.digests[*chunk];
            let data = loader.chunk_store.get(digest).context("chunk missing from the store")?;
            put(loader, target, *chunk, data).await?;
        }
        log::info!(version = target.version, spoilt = corrupt.len(); "chunks staged anew");
    }
    bail!("staged chunks are still corrupt after {MAX_STAGING_ROUNDS} rounds")
}

/// Reads the staged chunks back and returns the positions of missing and corrupt ones.
pub(super) async fn find_corrupt<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    list: &ChunkList,
) -> anyhow::Result<Vec<usize>> {
    let reads = stream::iter(list.digests.iter().enumerate()).map(async |(chunk, digest)| {
        let staged = loader.engine.get(&target.model, chunk).await?;
        let is_intact = staged.is_some_and(|data| matches_digest(&data, digest));
        anyhow::Ok((!is_intact).then_some(chunk))
    });
    let corrupt = reads.buffer_unordered(MAX_CONCURRENT_CALLS);
    corrupt.try_filter_map(async |chunk| Ok(chunk)).try_collect().await
}
