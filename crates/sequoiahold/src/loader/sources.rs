//! Where chunk lists and chunks come from: peers, and the origin.

use std::{net::SocketAddr, time::Duration};

use actix_http::{Method, StatusCode, header::HeaderMap};
use actix_rt::time::timeout;
use anyhow::{Context as _, bail};
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
    weights::PullError,
};

use super::{Loader, chunk_store::read_list};
use crate::node::{CHUNKS_PREFIX, CallError, get_from_peer};

/// Largest chunk list or chunk that is read.
const MAX_BODY: usize = 16_000_000;
/// Time that a chunk list may take.
const LIST: Duration = Duration::from_millis(1_500);
/// Time by which each loader leaves the origin to the ones ranked before it.
const TURN: Span = Span::millis(60);
/// Longest such time.
const MAX_TURN: Span = Span::millis(600);
/// Peers that are asked for a chunk list before the origin is.
const ASKED: usize = 3;
/// Pause of a peer whose link is busy: it sends about two chunks of the usual size meanwhile.
const BUSY: Span = Span::millis(50);
/// Pause of the origin when it refuses a call or a connection; it is back within seconds.
const REFUSED: Span = Span::millis(150);

/// Returns the chunk list of a version, from a peer where one holds it, else from the origin.
pub(super) async fn list<D: Codec>(
    loader: &Loader<D>,
    model: &ModelId,
    version: Option<u64>,
) -> anyhow::Result<ChunkList> {
    if let Some(version) = version {
        if let Some(list) = loader.shelf.list(model, version) {
            return Ok(list);
        }
        let rank = rank(loader, &format!("{model}/{version}"));
        let turn = loader.node.now() + Span(TURN.0 * rank as u64).min(MAX_TURN);
        while loader.node.now() < turn {
            if let Some(list) = peer_list(loader, model, version).await {
                loader.shelf.put_list(model, list.clone());
                return Ok(list);
            }
            actix_rt::time::sleep(TURN.into()).await;
        }
    }
    let path = loader.node.codec.chunk_list_path(model, version);
    let call = timeout(LIST, origin(loader, &path));
    let body = call.await.context("the origin gave no chunk list in time")??;
    let list = loader.node.codec.decode_chunk_list(&body)?;
    if version.is_some_and(|version| version != list.version) {
        bail!("the origin gave the chunk list of version {}", list.version);
    }
    loader.shelf.put_list(model, list.clone());
    Ok(list)
}

/// Draws a chunk from a peer.
pub(super) async fn peer_chunk<D: Codec>(
    loader: &Loader<D>,
    addr: SocketAddr,
    (model, version, chunk): (&ModelId, u64, usize),
) -> Result<Bytes, PullError> {
    let path = format!("{CHUNKS_PREFIX}{model}/{version}/{chunk}");
    get_from_peer(&loader.node, addr, &path, MAX_BODY).await.map_err(|error| match error {
        CallError::Absent => PullError::Absent,
        CallError::Busy => PullError::Later(BUSY),
        CallError::Failed(_) => PullError::Silent,
    })
}

/// Asks a peer which chunks it holds.
pub(super) async fn peer_holds<D: Codec>(
    loader: &Loader<D>,
    addr: SocketAddr,
    (model, version): (&ModelId, u64),
) -> Option<Bytes> {
    let path = format!("{CHUNKS_PREFIX}{model}/{version}/have");
    timeout(LIST, get_from_peer(&loader.node, addr, &path, MAX_BODY)).await.ok()?.ok()
}

/// Draws a chunk from the origin.
pub(super) async fn origin_chunk<D: Codec>(
    loader: &Loader<D>,
    (model, version, chunk): (&ModelId, u64, usize),
) -> Result<Bytes, PullError> {
    let path = loader.node.codec.chunk_path(model, version, chunk);
    origin(loader, &path).await.map_err(|error| {
        log::debug!("chunk {chunk} from the origin: {error:#}");
        let refused = error.is::<Refused>() || error.is::<std::io::Error>();
        if refused { PullError::Later(REFUSED) } else { PullError::Silent }
    })
}

/// Returns the live loaders, this one left out.
pub(super) fn members<D: Codec>(loader: &Loader<D>) -> Vec<Member> {
    let mesh = loader.node.membership.borrow();
    mesh.live_with_role(loader.node.now(), Role::Loader).cloned().collect()
}

/// Returns how many loaders go before this one for an item.
fn rank<D: Codec>(loader: &Loader<D>, item: &str) -> usize {
    let members = members(loader);
    let own = loader.settings.node.vm.as_str();
    let names: Vec<&str> = members.iter().map(|member| member.vm.as_str()).chain([own]).collect();
    rank_nodes(names, item.as_bytes()).into_iter().position(|name| name == own).unwrap_or(0)
}

async fn peer_list<D: Codec>(
    loader: &Loader<D>,
    model: &ModelId,
    version: u64,
) -> Option<ChunkList> {
    let members = members(loader);
    let names: Vec<&str> = members.iter().map(|member| member.vm.as_str()).collect();
    let item = format!("{model}/{version}");
    let first: Vec<VmId> = rank_nodes(names, item.as_bytes())
        .into_iter()
        .take(ASKED)
        .filter_map(|name| name.parse().ok())
        .collect();
    let near: Vec<&Member> =
        members.iter().filter(|member| member.zone == loader.settings.node.zone).collect();
    let random = near.choose(&mut *loader.node.rng.borrow_mut()).map(|member| member.vm.clone());
    for vm in first.into_iter().chain(random) {
        let Some(member) = members.iter().find(|member| member.vm == vm) else { continue };
        let path = format!("{CHUNKS_PREFIX}{model}/{version}/list");
        let call = timeout(LIST / 4, get_from_peer(&loader.node, member.addr, &path, MAX_BODY));
        if let Ok(Ok(body)) = call.await
            && let Some(list) = read_list(&body)
        {
            return Some(list);
        }
    }
    None
}

/// The origin takes no call now.
#[derive(Debug)]
struct Refused(StatusCode);

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "refused with status {}", self.0)
    }
}

impl std::error::Error for Refused {}

async fn origin<D: Codec>(loader: &Loader<D>, path: &str) -> anyhow::Result<Bytes> {
    let node = &loader.node;
    let known = node.view.borrow().catalog().and_then(|catalog| catalog.origin().cloned());
    let origin = known.context("no origin is configured")?;
    let mut upstream = node.pool.get(origin.addr, LIST).await?;
    let sent = upstream.send(Method::GET, path, HeaderMap::new(), &Bytes::new()).await;
    sent.map_err(|error| error.error)?;
    let answer = upstream.head().await?;
    let body = upstream.body(MAX_BODY).await?;
    node.pool.put(upstream);
    match answer.status {
        StatusCode::OK => Ok(body),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(Refused(answer.status).into())
        }
        status => bail!("status {status} for {path}"),
    }
}
