//! Runs a transfer: draws chunks, answers of peers, staging at the engine.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use actix_rt::time::timeout;
use bytes::Bytes;
use futures_util::{
    FutureExt as _, StreamExt as _, future::LocalBoxFuture, stream::FuturesUnordered,
};
use sequoiahold_core::{
    direct::{
        membership::Role,
        platform::{ChunkList, Codec},
    },
    ids::{Digest, VmId},
    units::{Bytes as Size, Span},
    weights::{
        ChunkOutcome, ChunkSource, Manifest, Pull, PullError, RendezvousOwners, Topology, Transfer,
        TransferLimits, ZoneLink,
    },
};

use super::{Loader, chunk_store::is_sound, sources, target::Goal};
use crate::node::{ChunkOffer, Datagram};

/// Chunks that are drawn at the same time.
const DRAWS: u32 = 6;
/// Time of a draw from a peer from which the VM's link counts as narrowed: twice what six draws at a
/// time took at p90. What waits on the link delays the engine's requests.
const SLOW: Span = Span::millis(750);
/// Longest time between two looks at what may be drawn.
const LOOK: Duration = Duration::from_millis(30);
/// Time between two notes to the loaders of the zone.
const TELL: Span = Span::millis(30);
/// Time that the origin has for a chunk at least: all owners draw from it at the same time.
const ORIGIN: Duration = Duration::from_millis(2_500);
/// Longest bits that are told by datagram.
const MAX_BITS: usize = 1_000;
/// Time between two looks at which loaders there are.
const MEMBERS: Span = Span::millis(500);

enum Event {
    Drawn(Digest, Result<Bytes, PullError>, Width),
    Holds(VmId, Option<Bytes>),
    Staged(usize, anyhow::Result<()>),
}

/// What a draw tells of the VM's link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Width {
    /// The draw was quick.
    Free,
    /// The draw took as long as over a narrowed link, whether it gave the chunk or not.
    Narrow,
    /// It failed early, or came from the origin, whose own link binds.
    Unknown,
}

impl Width {
    /// Returns how many draws may run at the same time after one that told this, from `most` before.
    fn most(self, most: u32) -> u32 {
        match self {
            Self::Free => (most + 1).min(DRAWS),
            Self::Narrow => 1,
            Self::Unknown => most,
        }
    }
}

/// Draws what is missing of a version and stages each chunk as it comes.
pub(super) async fn run<D: Codec>(
    loader: &Loader<D>,
    goal: &Goal,
    list: &ChunkList,
) -> anyhow::Result<()> {
    let mut now = loader.node.now();
    let manifest = manifest(list);
    let held = |digest: &Digest| loader.shelf.holds(digest);
    let topology = topology(loader);
    let within = Some(loader.settings.node.bounds.version);
    let limits =
        TransferLimits { rate: loader.settings.link, max_pulls: DRAWS, time_limit: within };
    let mut transfer = Transfer::new(&manifest, held, topology, owners(loader), limits, now);
    let mut events: FuturesUnordered<LocalBoxFuture<'_, Event>> = FuturesUnordered::new();
    let mut staging: VecDeque<(usize, Bytes)> = VecDeque::new();
    let mut drawing = 0;
    let mut most = DRAWS;
    let mut busy = false;
    let mut members = now + MEMBERS;
    let mut told = now;
    let mut news = false;
    while !transfer.is_complete() || busy || !staging.is_empty() {
        if now >= members {
            transfer.set_topology(self::topology(loader));
            members = now + MEMBERS;
        }
        while drawing < most
            && let Some(draw) = transfer.next_pull(now)
        {
            drawing += 1;
            events.push(drawn(loader, goal, list, draw).boxed_local());
        }
        for vm in transfer.peers_to_query(now) {
            events.push(holds(loader, goal, vm).boxed_local());
        }
        if !busy && let Some((chunk, data)) = staging.pop_front() {
            busy = true;
            let put = async move {
                Event::Staged(chunk, loader.engine.put(&goal.model, chunk, data).await)
            };
            events.push(put.boxed_local());
        }
        for note in loader.offers.take() {
            if note.model == goal.model && note.version == goal.version {
                transfer.on_offer(now, &note.from, &note.bits);
            }
        }
        if news && now >= told + TELL {
            (told, news) = (now, false);
            tell(loader, goal, list, near(loader));
        }
        let event = timeout(LOOK, next(&mut events)).await;
        now = loader.node.now();
        match event {
            Ok(Event::Drawn(digest, drawn, width)) => {
                drawing -= 1;
                most = width.most(most);
                if take(loader, list, &mut transfer, &mut staging, digest, drawn) {
                    news = true;
                    let far = transfer.downstream_owner(&digest).and_then(|vm| addr(loader, &vm));
                    tell(loader, goal, list, far);
                }
            }
            Ok(Event::Holds(vm, Some(bits))) => transfer.on_held_chunks(now, &vm, &bits),
            Ok(Event::Holds(vm, None)) => transfer.on_query_unanswered(&vm),
            Ok(Event::Staged(chunk, staged)) => {
                busy = false;
                if let Err(error) = staged {
                    log::debug!("chunk {chunk}: {error:#}");
                }
            }
            Err(_) => {}
        }
    }
    Ok(())
}

async fn next(events: &mut FuturesUnordered<LocalBoxFuture<'_, Event>>) -> Event {
    match events.next().await {
        Some(event) => event,
        None => std::future::pending().await,
    }
}

/// Tells loaders which chunks are held; what fits no datagram they find out by asking.
fn tell<D: Codec>(
    loader: &Loader<D>,
    goal: &Goal,
    list: &ChunkList,
    to: impl IntoIterator<Item = SocketAddr>,
) {
    let bits = loader.shelf.bits(list);
    if bits.len() > MAX_BITS {
        return;
    }
    let from = loader.settings.node.vm.clone();
    let note = ChunkOffer { from, model: goal.model.clone(), version: goal.version, bits };
    loader.node.send(to, &Datagram::Holds(note));
}

fn near<D: Codec>(loader: &Loader<D>) -> Vec<SocketAddr> {
    let mesh = loader.node.membership.borrow();
    let near = mesh.live_in_zone(loader.node.now()).filter(|member| member.role == Role::Loader);
    near.map(|member| member.addr).collect()
}

/// Takes a chunk that was drawn; returns whether it is kept.
fn take<D: Codec>(
    loader: &Loader<D>,
    list: &ChunkList,
    transfer: &mut Transfer,
    staging: &mut VecDeque<(usize, Bytes)>,
    digest: Digest,
    drawn: Result<Bytes, PullError>,
) -> bool {
    let now = loader.node.now();
    let data = match drawn {
        Ok(data) => data,
        Err(error) => {
            transfer.on_pull_failed(now, &digest, error);
            return false;
        }
    };
    let sound = is_sound(&data, &digest);
    match transfer.on_checked_chunk(now, digest, sound) {
        ChunkOutcome::Accepted | ChunkOutcome::Complete => {
            let places = list.digests.iter().enumerate().filter(|(_, held)| **held == digest);
            staging.extend(places.map(|(chunk, _)| (chunk, data.clone())));
            loader.shelf.put(digest, data);
            true
        }
        ChunkOutcome::Corrupt => {
            let digest = digest.short();
            log::warn!(digest = digest.as_str(); "chunk with another digest dropped");
            false
        }
        ChunkOutcome::Unwanted => false,
    }
}

async fn drawn<D: Codec>(loader: &Loader<D>, goal: &Goal, list: &ChunkList, draw: Pull) -> Event {
    let chunk = list.digests.iter().position(|digest| *digest == draw.digest).unwrap_or(0);
    let place = (&goal.model, goal.version, chunk);
    let drawn = async {
        match &draw.source {
            ChunkSource::Origin => sources::origin_chunk(loader, place).await,
            ChunkSource::Peer(vm) => match addr(loader, vm) {
                Some(addr) => sources::peer_chunk(loader, addr, place).await,
                None => Err(PullError::Silent),
            },
        }
    };
    let begun = loader.node.now();
    let limit = match draw.source {
        ChunkSource::Origin => Duration::from(draw.timeout).max(ORIGIN),
        ChunkSource::Peer(_) => draw.timeout.into(),
    };
    let drawn = timeout(limit, drawn).await.unwrap_or(Err(PullError::Silent));
    let took = (loader.node.now() - begun).0 / 1_000;
    let (from, error) = (format!("{:?}", draw.source), drawn.as_ref().err().copied());
    let error = format!("{error:?}");
    log::debug!(chunk, from = from.as_str(), took_ms = took, error = error.as_str(); "draw");
    let width = match draw.source {
        ChunkSource::Peer(_) if loader.node.now() - begun >= SLOW => Width::Narrow,
        ChunkSource::Peer(_) if drawn.is_ok() => Width::Free,
        _ => Width::Unknown,
    };
    Event::Drawn(draw.digest, drawn, width)
}

async fn holds<D: Codec>(loader: &Loader<D>, goal: &Goal, vm: VmId) -> Event {
    let bits = match addr(loader, &vm) {
        Some(addr) => sources::peer_holds(loader, addr, (&goal.model, goal.version)).await,
        None => None,
    };
    Event::Holds(vm, bits)
}

fn addr<D: Codec>(loader: &Loader<D>, vm: &VmId) -> Option<SocketAddr> {
    let mesh = loader.node.membership.borrow();
    let mut loaders = mesh.live_with_role(loader.node.now(), Role::Loader);
    loaders.find(|member| member.vm == *vm).map(|member| member.addr)
}

fn manifest(list: &ChunkList) -> Manifest {
    let size = list.chunk_size * list.digests.len() as u64;
    Manifest { chunk: Size(list.chunk_size), size: Size(size), chunks: list.digests.clone() }
}

fn topology<D: Codec>(loader: &Loader<D>) -> Topology {
    let node = &loader.settings.node;
    let members = sources::members(loader);
    let all = members.iter().map(|member| (&member.vm, &member.zone));
    let own = (&node.vm, &node.zone);
    // The platform tells no rate of the links between regions; the origin's bounds all draws.
    let rate = owners(loader).origin_rate;
    let links = |zone: &_| {
        let region = node.zones.get(zone)?;
        Some(ZoneLink { region: region.as_str().to_owned(), link: rate })
    };
    let view = loader.node.view.borrow();
    let origin = view.catalog().and_then(|catalog| catalog.origin()?.zone.clone());
    let region = origin.and_then(|zone| node.zones.get(&zone));
    Topology::from_members(&node.vm, all.chain([own]), links, region)
}

fn owners<D: Codec>(loader: &Loader<D>) -> RendezvousOwners {
    let view = loader.node.view.borrow();
    let link = view.catalog().and_then(|catalog| catalog.origin()?.link);
    RendezvousOwners { origin_rate: link.unwrap_or(loader.settings.link) }
}
