//! Runs a transfer: pulls chunks, queries peers and stages chunks at the engine.

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
        ChunkOutcome, ChunkSource, ListSuspicion, Manifest, Pull, PullError, PullLimit,
        RendezvousOwners, Topology, Transfer, TransferLimits, ZoneLink,
    },
};

use super::{
    Loader,
    chunk_store::chunk_digest,
    sources, stage,
    target::{Target, VersionSource},
};
use crate::node::{ChunkOffer, Datagram};

/// Maximum number of concurrent pulls.
const MAX_PULLS: u32 = 6;
/// Maximum interval between checks for pulls and queries to start.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Minimum interval between announcements to the loaders of the zone.
const ANNOUNCE_INTERVAL: Span = Span::millis(30);
/// Minimum timeout of a pull from the origin, as all owners pull from it at the same time.
const MIN_ORIGIN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum size of the bitmap in an offer, which must fit into a datagram with its other fields.
const MAX_OFFER_BYTES: usize = 1_000;
/// Interval between updates of the topology from the membership.
const TOPOLOGY_INTERVAL: Span = Span::millis(500);

/// Time without a new chunk after which a version that is only claimed counts as absent, longer
/// than a pull from the origin may take.
const STALL_TIMEOUT: Span = Span::secs(4);

/// A pull that ended.
struct EndedPull {
    pull: Pull,
    result: Result<Bytes, PullError>,
    elapsed: Span,
    /// The number of pulls in progress at its start, this one included.
    concurrent: u32,
}

/// The result of a background operation of a transfer.
enum Event {
    Pulled(EndedPull),
    HeldChunks(VmId, Option<Bytes>),
    Staged(usize, anyhow::Result<()>),
    ListRead(anyhow::Result<ChunkList>),
}

/// How a transfer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TransferEnd {
    /// All chunks are held.
    Complete,
    /// The chunk store holds a corrected chunk list, by which another transfer must go on.
    ListCorrected,
    /// The version is only claimed, and no source has sent a chunk of it for some time.
    Stalled,
}

/// Pulls the missing chunks of a version and stages each one as it arrives.
pub(super) async fn run<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    list: &ChunkList,
) -> TransferEnd {
    let mut now = loader.node.now();
    let manifest = manifest(list);
    let held = |digest: &Digest| loader.chunk_store.contains(digest);
    let topology = topology(loader);
    let time_limit = Some(loader.settings.node.bounds.version);
    let limits = TransferLimits { rate: loader.settings.link, max_pulls: MAX_PULLS, time_limit };
    let mut transfer = Transfer::new(&manifest, held, topology, owner_policy(loader), limits, now);
    let mut events: FuturesUnordered<LocalBoxFuture<'_, Event>> = FuturesUnordered::new();
    let mut staging_queue: VecDeque<(usize, Bytes)> = VecDeque::new();
    let mut active_pulls = 0;
    let mut pull_limit = PullLimit::new(&limits, manifest.chunk, target.held.is_some());
    let mut is_staging = false;
    let mut suspicion = ListSuspicion::default();
    let mut next_refresh = now + TOPOLOGY_INTERVAL;
    let mut last_announced = now;
    let mut last_accepted = now;
    let mut has_unannounced = false;
    while !transfer.is_complete() || is_staging || !staging_queue.is_empty() {
        let is_stalled = !transfer.is_complete() && now >= last_accepted + STALL_TIMEOUT;
        if is_stalled && target.source == VersionSource::Claimed {
            return TransferEnd::Stalled;
        }
        if now >= next_refresh {
            transfer.set_topology(self::topology(loader));
            next_refresh = now + TOPOLOGY_INTERVAL;
        }
        while active_pulls < pull_limit.current()
            && let Some(job) = transfer.next_pull(now)
        {
            active_pulls += 1;
            events.push(pull(loader, target, list, job, active_pulls).boxed_local());
        }
        for vm in transfer.peers_to_query(now) {
            events.push(query_peer(loader, target, vm).boxed_local());
        }
        if !is_staging && let Some((chunk, data)) = staging_queue.pop_front() {
            is_staging = true;
            let request =
                async move { Event::Staged(chunk, stage::put(loader, target, chunk, data).await) };
            events.push(request.boxed_local());
        }
        if suspicion.start_read(now) {
            let read = sources::origin_chunk_list(loader, &target.model, target.version);
            events.push(read.map(Event::ListRead).boxed_local());
        }
        for offer in loader.offers.take() {
            if offer.model == target.model && offer.version == target.version {
                transfer.on_offer(now, &offer.from, &offer.bits);
            }
        }
        if has_unannounced && now >= last_announced + ANNOUNCE_INTERVAL {
            (last_announced, has_unannounced) = (now, false);
            announce_chunks(loader, target, list, zone_loaders(loader));
        }
        let event = timeout(POLL_INTERVAL, next_event(&mut events)).await;
        now = loader.node.now();
        match event {
            Ok(Event::Pulled(ended)) => {
                active_pulls -= 1;
                record_pull(list, &mut pull_limit, &ended);
                let digest = ended.pull.digest;
                let position = chunk_index(list, &digest);
                match accept_chunk(loader, list, &mut transfer, &mut staging_queue, ended) {
                    ChunkReceipt::Accepted => {
                        (has_unannounced, last_accepted) = (true, now);
                        let downstream = transfer.downstream_owner(&digest);
                        let downstream = downstream.and_then(|vm| loader_addr(loader, &vm));
                        announce_chunks(loader, target, list, downstream);
                    }
                    ChunkReceipt::Mismatch(actual) => suspicion.record_mismatch(position, actual),
                    ChunkReceipt::Dropped => {}
                }
            }
            Ok(Event::HeldChunks(vm, Some(bits))) => transfer.on_held_chunks(now, &vm, &bits),
            Ok(Event::HeldChunks(vm, None)) => transfer.on_query_unanswered(&vm),
            Ok(Event::Staged(chunk, staged)) => {
                is_staging = false;
                if let Err(error) = staged {
                    log::debug!("cannot stage chunk {chunk}: {error:#}");
                }
            }
            Ok(Event::ListRead(Ok(other))) => {
                if let Some(corrected) = suspicion.correct(list, &other) {
                    log::warn!(version = target.version; "chunk list corrected");
                    loader.chunk_store.insert_list(&target.model, corrected);
                    return TransferEnd::ListCorrected;
                }
            }
            Ok(Event::ListRead(Err(error))) => {
                log::debug!("cannot read the suspected chunk list again: {error:#}");
            }
            Err(_) => {}
        }
    }
    TransferEnd::Complete
}

/// What became of a pull that ended.
enum ChunkReceipt {
    /// The chunk was accepted.
    Accepted,
    /// The chunk has this digest instead of the listed one.
    Mismatch(Digest),
    /// The pull failed, or the chunk is not wanted any more.
    Dropped,
}

async fn next_event(events: &mut FuturesUnordered<LocalBoxFuture<'_, Event>>) -> Event {
    match events.next().await {
        Some(event) => event,
        None => std::future::pending().await,
    }
}

/// Announces the held chunks to loaders; beyond [`MAX_OFFER_BYTES`] peers find them by queries.
fn announce_chunks<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    list: &ChunkList,
    recipients: impl IntoIterator<Item = SocketAddr>,
) {
    let bits = loader.chunk_store.held_bits(list);
    if bits.len() > MAX_OFFER_BYTES {
        return;
    }
    let from = loader.settings.node.vm.clone();
    let offer = ChunkOffer { from, model: target.model.clone(), version: target.version, bits };
    loader.node.send(recipients, &Datagram::Holds(offer));
}

fn zone_loaders<C: Codec>(loader: &Loader<C>) -> Vec<SocketAddr> {
    let membership = loader.node.membership.borrow();
    let local = membership.live_in_zone().filter(|member| member.role == Role::Loader);
    local.map(|member| member.addr).collect()
}

/// Processes the result of a pull.
fn accept_chunk<C: Codec>(
    loader: &Loader<C>,
    list: &ChunkList,
    transfer: &mut Transfer,
    staging_queue: &mut VecDeque<(usize, Bytes)>,
    ended: EndedPull,
) -> ChunkReceipt {
    let now = loader.node.now();
    let digest = ended.pull.digest;
    let data = match ended.result {
        Ok(data) => data,
        Err(error) => {
            transfer.on_pull_failed(now, &digest, error);
            return ChunkReceipt::Dropped;
        }
    };
    let actual = chunk_digest(&data);
    match transfer.on_checked_chunk(now, digest, actual == digest) {
        ChunkOutcome::Accepted | ChunkOutcome::Complete => {
            let positions =
                list.digests.iter().enumerate().filter(|(_, listed)| **listed == digest);
            staging_queue.extend(positions.map(|(chunk, _)| (chunk, data.clone())));
            loader.chunk_store.insert(digest, data);
            ChunkReceipt::Accepted
        }
        ChunkOutcome::Corrupt => {
            let digest = digest.short();
            log::warn!(digest = digest.as_str(); "dropped a chunk that does not match its digest");
            ChunkReceipt::Mismatch(actual)
        }
        ChunkOutcome::Unwanted => ChunkReceipt::Dropped,
    }
}

/// Pulls a chunk while `concurrent` pulls are in progress, this one included.
async fn pull<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    list: &ChunkList,
    job: Pull,
    concurrent: u32,
) -> Event {
    let chunk_id = (&target.model, target.version, chunk_index(list, &job.digest));
    let request = async {
        match &job.source {
            ChunkSource::Origin => sources::origin_chunk(loader, chunk_id).await,
            ChunkSource::Peer(vm) => match loader_addr(loader, vm) {
                Some(addr) => sources::peer_chunk(loader, addr, chunk_id).await,
                None => Err(PullError::Silent),
            },
        }
    };
    let start = loader.node.now();
    let limit = match job.source {
        ChunkSource::Origin => Duration::from(job.timeout).max(MIN_ORIGIN_TIMEOUT),
        ChunkSource::Peer(_) => job.timeout.into(),
    };
    let result = timeout(limit, request).await.unwrap_or(Err(PullError::Silent));
    let elapsed = loader.node.now() - start;
    Event::Pulled(EndedPull { pull: job, result, elapsed, concurrent })
}

/// Adapts the limit of concurrent pulls to a pull that ended, and logs it.
fn record_pull(list: &ChunkList, limit: &mut PullLimit, ended: &EndedPull) {
    limit.record(&ended.pull.source, ended.elapsed, ended.concurrent, ended.result.is_ok());
    let is_slow = limit.is_slow(ended.elapsed, ended.concurrent);
    let chunk = chunk_index(list, &ended.pull.digest);
    let from = format!("{:?}", ended.pull.source);
    let error = format!("{:?}", ended.result.as_ref().err());
    let level = if is_slow { log::Level::Info } else { log::Level::Debug };
    log::log!(
        level,
        chunk,
        from = from.as_str(),
        took_ms = ended.elapsed.0 / 1_000,
        concurrent = ended.concurrent,
        error = error.as_str();
        "pull ended"
    );
}

fn chunk_index(list: &ChunkList, digest: &Digest) -> usize {
    list.digests.iter().position(|listed| listed == digest).unwrap_or(0)
}

async fn query_peer<C: Codec>(loader: &Loader<C>, target: &Target, vm: VmId) -> Event {
    let bits = match loader_addr(loader, &vm) {
        Some(addr) => {
            sources::peer_held_chunks(loader, addr, (&target.model, target.version)).await
        }
        None => None,
    };
    Event::HeldChunks(vm, bits)
}

fn loader_addr<C: Codec>(loader: &Loader<C>, vm: &VmId) -> Option<SocketAddr> {
    let membership = loader.node.membership.borrow();
    let mut loaders = membership.live_with_role(Role::Loader);
    loaders.find(|member| member.vm == *vm).map(|member| member.addr)
}

fn manifest(list: &ChunkList) -> Manifest {
    let size = list.chunk_size.saturating_mul(list.digests.len() as u64);
    Manifest { chunk: Size(list.chunk_size), size: Size(size), chunks: list.digests.clone() }
}

fn topology<C: Codec>(loader: &Loader<C>) -> Topology {
    let node = &loader.settings.node;
    let members = sources::live_loaders(loader);
    let all = members.iter().map(|member| (&member.vm, &member.zone));
    let own = (&node.vm, &node.zone);
    // The platform publishes no rates of the links between regions; the link of the origin limits
    // all pulls.
    let rate = owner_policy(loader).origin_rate;
    let zone_link = |zone: &_| {
        let region = node.zones.get(zone)?;
        Some(ZoneLink { region: region.as_str().to_owned(), link: rate })
    };
    let view = loader.node.view.borrow();
    let origin = view.catalog().and_then(|catalog| catalog.origin()?.zone.clone());
    let region = origin.and_then(|zone| node.zones.get(&zone));
    Topology::from_members(&node.vm, all.chain([own]), zone_link, region)
}

fn owner_policy<C: Codec>(loader: &Loader<C>) -> RendezvousOwners {
    let view = loader.node.view.borrow();
    let link = view.catalog().and_then(|catalog| catalog.origin()?.link);
    RendezvousOwners { origin_rate: link.unwrap_or(loader.settings.link) }
}
