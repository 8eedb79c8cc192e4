//! Sources of chunk lists and chunks: peers and the origin.

use std::{net::SocketAddr, time::Duration};

use actix_rt::time::timeout;
use anyhow::Context as _;
use bytes::Bytes;
use rand::seq::IndexedRandom as _;
use sequoiahold_core::{
    direct::{
        membership::{Member, Role},
        platform::{ChunkList, Codec},
    },
    ids::{ModelId, VmId},
    rendezvous::rank_nodes,
    units::Span,
    weights::{PullError, WeightsSize, check_list},
};

use super::{Loader, chunk_store::decode_list, origin};
use crate::node::{CHUNKS_PREFIX, CallError, get_from_peer};

/// Maximum size of a chunk list or chunk of a peer.
const MAX_BODY_BYTES: usize = 16_000_000;
/// Timeout of calls for chunk lists and held chunks.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay per rank before a loader requests a chunk list from the origin, so that later ranks
/// get it from peers.
const RANK_DELAY: Span = Span::millis(60);
/// Maximum delay before a loader requests a chunk list from the origin.
const MAX_RANK_DELAY: Span = Span::millis(600);
/// Number of top-ranked peers that are asked for a chunk list, in addition to a random one.
const MAX_QUERIED_PEERS: usize = 3;
/// Pause before a busy peer is asked again, in which it sends about two chunks of the usual size.
const BUSY_PAUSE: Span = Span::millis(50);

/// Returns the chunk list of a version.
///
/// The list comes from the chunk store, from a peer that holds it or from the origin; fails if the
/// origin does not return a usable one in time.
pub(super) async fn chunk_list<C: Codec>(
    loader: &Loader<C>,
    model: &ModelId,
    version: u64,
) -> anyhow::Result<ChunkList> {
    if let Some(list) = loader.chunk_store.list(model, version) {
        return Ok(list);
    }
    let rank = rank_for(loader, &format!("{model}/{version}"));
    let origin_start = loader.node.now() + Span(RANK_DELAY.0 * rank as u64).min(MAX_RANK_DELAY);
    while loader.node.now() < origin_start {
        if let Some(list) = peer_chunk_list(loader, model, version).await {
            loader.chunk_store.insert_list(model, list.clone());
            return Ok(list);
        }
        actix_rt::time::sleep(RANK_DELAY.into()).await;
    }
    let list = origin_chunk_list(loader, model, version).await?;
    loader.chunk_store.insert_list(model, list.clone());
    Ok(list)
}

/// Returns the chunk list of a version at the origin; fails if the origin does not return a usable
/// one in time.
pub(super) async fn origin_chunk_list<C: Codec>(
    loader: &Loader<C>,
    model: &ModelId,
    version: u64,
) -> anyhow::Result<ChunkList> {
    let list = read_origin_list(loader, model, Some(version)).await?;
    check_list(&list, version, published_size(loader))?;
    Ok(list)
}

/// Returns the number of the newest version at the origin; fails if the origin returns no chunk
/// list in time.
pub(super) async fn newest_version<C: Codec>(
    loader: &Loader<C>,
    model: &ModelId,
) -> anyhow::Result<u64> {
    Ok(read_origin_list(loader, model, None).await?.version)
}

async fn read_origin_list<C: Codec>(
    loader: &Loader<C>,
    model: &ModelId,
    version: Option<u64>,
) -> anyhow::Result<ChunkList> {
    let path = loader.node.codec.chunk_list_path(model, version);
    let call = timeout(LIST_TIMEOUT, get_from_origin(loader, &path));
    let body = call.await.context("timed out waiting for the chunk list of the origin")??;
    Ok(loader.node.codec.decode_chunk_list(&body)?)
}

/// Returns the published size of the weights of the engine's service.
fn published_size<C: Codec>(loader: &Loader<C>) -> Option<WeightsSize> {
    let view = loader.node.view.borrow();
    let service = view.catalog()?.services.get(&loader.settings.service)?;
    service.engine.as_ref()?.weights
}

/// Pulls a chunk from a peer.
pub(super) async fn peer_chunk<C: Codec>(
    loader: &Loader<C>,
    addr: SocketAddr,
    (model, version, chunk): (&ModelId, u64, usize),
) -> Result<Bytes, PullError> {
    let path = format!("{CHUNKS_PREFIX}{model}/{version}/{chunk}");
    get_from_peer(&loader.node, addr, &path, MAX_BODY_BYTES).await.map_err(|error| match error {
        CallError::Absent => PullError::Absent,
        CallError::Busy => PullError::Later(BUSY_PAUSE),
        CallError::Failed(_) => PullError::Silent,
    })
}

/// Returns the chunks of a version that a peer holds as a bitmap, `None` without a response.
pub(super) async fn peer_held_chunks<C: Codec>(
    loader: &Loader<C>,
    addr: SocketAddr,
    (model, version): (&ModelId, u64),
) -> Option<Bytes> {
    let path = format!("{CHUNKS_PREFIX}{model}/{version}/have");
    timeout(LIST_TIMEOUT, get_from_peer(&loader.node, addr, &path, MAX_BODY_BYTES)).await.ok()?.ok()
}

/// Pulls a chunk from the origin.
pub(super) async fn origin_chunk<C: Codec>(
    loader: &Loader<C>,
    (model, version, chunk): (&ModelId, u64, usize),
) -> Result<Bytes, PullError> {
    let path = loader.node.codec.chunk_path(model, version, chunk);
    let addr = origin_addr(loader).ok_or(PullError::Silent)?;
    origin::get(&loader.node.pool, addr, &path).await.map_err(|error| {
        log::debug!("cannot pull chunk {chunk}: {error}");
        error.pull_error()
    })
}

/// Returns the live loaders, without this one.
pub(super) fn live_loaders<C: Codec>(loader: &Loader<C>) -> Vec<Member> {
    let membership = loader.node.membership.borrow();
    membership.live_with_role(Role::Loader).cloned().collect()
}

/// Returns the rank of this loader for an item, 0 for the owner.
fn rank_for<C: Codec>(loader: &Loader<C>, item: &str) -> usize {
    let members = live_loaders(loader);
    let own = loader.settings.node.vm.as_str();
    let names: Vec<&str> = members.iter().map(|member| member.vm.as_str()).chain([own]).collect();
    rank_nodes(names, item.as_bytes()).into_iter().position(|name| name == own).unwrap_or(0)
}

async fn peer_chunk_list<C: Codec>(
    loader: &Loader<C>,
    model: &ModelId,
    version: u64,
) -> Option<ChunkList> {
    let members = live_loaders(loader);
    let names: Vec<&str> = members.iter().map(|member| member.vm.as_str()).collect();
    let item = format!("{model}/{version}");
    let ranked: Vec<VmId> = rank_nodes(names, item.as_bytes())
        .into_iter()
        .take(MAX_QUERIED_PEERS)
        .filter_map(|name| name.parse().ok())
        .collect();
    let zone_members: Vec<&Member> =
        members.iter().filter(|member| member.zone == loader.settings.node.zone).collect();
    let random =
        zone_members.choose(&mut *loader.node.rng.borrow_mut()).map(|member| member.vm.clone());
    for vm in ranked.into_iter().chain(random) {
        let Some(member) = members.iter().find(|member| member.vm == vm) else { continue };
        let path = format!("{CHUNKS_PREFIX}{model}/{version}/list");
        let call = timeout(
            LIST_TIMEOUT / 4,
            get_from_peer(&loader.node, member.addr, &path, MAX_BODY_BYTES),
        );
        if let Ok(Ok(body)) = call.await
            && let Some(list) = decode_list(&body)
        {
            match check_list(&list, version, published_size(loader)) {
                Ok(()) => return Some(list),
                Err(error) => {
                    let (peer, fault) = (vm.to_string(), error.to_string());
                    log::warn!(peer = peer.as_str(), fault = fault.as_str(); "chunk list rejected");
                }
            }
        }
    }
    None
}

async fn get_from_origin<C: Codec>(loader: &Loader<C>, path: &str) -> anyhow::Result<Bytes> {
    let addr = origin_addr(loader).context("no origin is configured")?;
    Ok(origin::get(&loader.node.pool, addr, path).await?)
}

fn origin_addr<C: Codec>(loader: &Loader<C>) -> Option<SocketAddr> {
    let view = loader.node.view.borrow();
    view.catalog().and_then(|catalog| Some(catalog.origin()?.addr))
}
