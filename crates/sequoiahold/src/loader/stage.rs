//! Verifies the chunks staged at the engine and has the engine load them.

use std::time::Duration;

use anyhow::{Context as _, bail};
use sequoiahold_core::{
    direct::{
        load_schedule::load_start,
        membership::Role,
        platform::{ChunkList, Codec, LoadOrder},
    },
    ids::VmId,
    time::Time,
    units::Span,
};

use super::{Loader, chunk_store::matches_digest, engine::OrderReply, sources, target::Target};
use crate::node::{Datagram, LoadingNotice};

/// Age of the last verification above which the staged chunks are verified again before an order.
const MAX_CHECK_AGE: Span = Span::millis(1_500);
/// Maximum number of rounds of staging corrupt chunks again before the deployment fails.
const MAX_STAGING_ROUNDS: u32 = 5;
/// Interval between probes of a loading engine.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Timeout for a load, from its order to its end.
const LOAD_TIMEOUT: Span = Span::secs(20);
/// Time after a notice during which gateways send the engine no requests.
const LOADING_PAUSE: Span = Span::millis(400);
/// Time between the notice to gateways and the order, in which requests already sent arrive.
const NOTICE_LEAD: Duration = Duration::from_millis(20);

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

/// Has the engine load a version of which the chunk store holds all chunks.
pub(super) async fn load_version<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    list: &ChunkList,
) -> anyhow::Result<()> {
    verify_staged(loader, target, list).await?;
    let mut checked_at = loader.node.now();
    loop {
        wait_for_load_start(loader, target).await;
        if loader.node.now() - checked_at > MAX_CHECK_AGE {
            verify_staged(loader, target, list).await?;
            checked_at = loader.node.now();
        }
        let report = loader.engine.probe().await?;
        if report.versions.get(&target.model) == Some(&target.version) {
            return Ok(());
        }
        if report.busy {
            actix_rt::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        if target.held.is_some() {
            notify_gateways(loader, LOADING_PAUSE);
            actix_rt::time::sleep(NOTICE_LEAD).await;
        }
        let order = LoadOrder {
            model: target.model.clone(),
            version: target.version,
            orders_begun: report.orders_begun,
        };
        let result = loader.engine.send_order(&order).await;
        let outcome = format!("{result:?}");
        log::info!(version = target.version, orders = report.orders_begun, outcome = outcome.as_str(); "order to load");
        match result {
            Ok(OrderReply::Begun | OrderReply::InEffect) => return poll_load(loader, target).await,
            Ok(OrderReply::Rejected(status)) => bail!("the engine rejected the order: {status}"),
            // The order may have begun, which the next report shows.
            Err(_) => actix_rt::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Waits for the staggered load start of this engine; one that holds no version, or whose rollout
/// has no known start, loads at once.
async fn wait_for_load_start<C: Codec>(loader: &Loader<C>, target: &Target) {
    if target.held.is_none() || target.rollout_start == Time::default() {
        return;
    }
    let node = &loader.settings.node;
    let members = sources::live_loaders(loader).into_iter();
    let local = members.filter(|member| member.zone == node.zone).map(|member| member.vm);
    let zone_vms: Vec<VmId> = local.chain([node.vm.clone()]).collect();
    let item = format!("{}/{}", target.model, target.version);
    let start = load_start(&node.vm, &zone_vms, &item, target.rollout_start, node.bounds.version);
    loader.node.clock.sleep_until(Some(start)).await;
}

/// Reads the staged chunks back and stages missing and corrupt ones again; fails if some remain
/// after [`MAX_STAGING_ROUNDS`].
async fn verify_staged<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    list: &ChunkList,
) -> anyhow::Result<()> {
    for _ in 0..MAX_STAGING_ROUNDS {
        let mut spoilt = 0;
        for (chunk, digest) in list.digests.iter().enumerate() {
            let staged = loader.engine.get(&target.model, chunk).await?;
            if staged.is_some_and(|data| matches_digest(&data, digest)) {
                continue;
            }
            spoilt += 1;
            let data = loader.chunk_store.get(digest).context("chunk missing from the store")?;
            loader.engine.put(&target.model, chunk, data).await?;
        }
        if spoilt == 0 {
            return Ok(());
        }
        log::info!(version = target.version, spoilt; "chunks staged anew");
    }
    bail!("staged chunks are still corrupt after {MAX_STAGING_ROUNDS} rounds")
}

/// Probes the engine until the load ends, renewing the notice to gateways; fails after
/// [`LOAD_TIMEOUT`] or if the engine does not hold the version.
async fn poll_load<C: Codec>(loader: &Loader<C>, target: &Target) -> anyhow::Result<()> {
    let deadline = loader.node.now() + LOAD_TIMEOUT;
    notify_gateways(loader, LOADING_PAUSE);
    while loader.node.now() < deadline {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let report = loader.engine.probe().await?;
        if report.versions.get(&target.model) == Some(&target.version) {
            notify_gateways(loader, Span(0));
            return Ok(());
        }
        if !report.busy {
            bail!("the engine ended the load without the version");
        }
        notify_gateways(loader, LOADING_PAUSE);
    }
    bail!("the engine did not finish loading within {LOAD_TIMEOUT}")
}

/// Notifies gateways to send the engine no requests for a time, 0 to resume.
fn notify_gateways<C: Codec>(loader: &Loader<C>, pause: Span) {
    let instance = {
        let view = loader.node.view.borrow();
        let is_own = |endpoint: &&sequoiahold_core::direct::view::Endpoint| {
            endpoint.entry.addr == loader.settings.engine
        };
        view.endpoints().values().find(is_own).map(|endpoint| endpoint.entry.instance.clone())
    };
    let Some(instance) = instance else { return };
    let datagram = Datagram::Loading(LoadingNotice { instance, pause });
    loader.node.send(loader.node.peer_addrs(Role::Gateway), &datagram);
}
