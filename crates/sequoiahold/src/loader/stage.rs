//! Staged chunks: checked against their digests, and loaded by the engine.

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

use super::{Loader, chunk_store::is_sound, engine::Ordered, sources, target::Goal};
use crate::node::{Datagram, LoadingNotice};

/// Age of a check of the staged chunks at which it is made again before an order.
const CHECKED: Span = Span::millis(1_500);
/// Rounds of staging after which a version counts as not brought.
const ROUNDS: u32 = 5;
/// Time between two looks at an engine that loads.
const LOOK: Duration = Duration::from_millis(60);
/// Time that an engine may take to begin and finish a load.
const LOAD: Span = Span::secs(20);
/// Time that gateways leave an engine alone after a note.
const NOTE: Span = Span::millis(400);

/// Time from the note to gateways to the order, in which requests on their way arrive.
const TOLD: Duration = Duration::from_millis(20);

/// Puts the chunks that the engine holds staged on the shelf, for peers.
pub(super) async fn take_stock<D: Codec>(
    loader: &Loader<D>,
    goal: &Goal,
    list: &ChunkList,
) -> anyhow::Result<()> {
    for (chunk, digest) in list.digests.iter().enumerate() {
        if loader.shelf.holds(digest) {
            continue;
        }
        match loader.engine.get(&goal.model, chunk).await? {
            Some(data) if is_sound(&data, digest) => loader.shelf.put(*digest, data),
            _ => {}
        }
    }
    Ok(())
}

/// Has the engine load a version that is held whole.
pub(super) async fn load<D: Codec>(
    loader: &Loader<D>,
    goal: &Goal,
    list: &ChunkList,
) -> anyhow::Result<()> {
    check(loader, goal, list).await?;
    let mut checked = loader.node.now();
    loop {
        wait(loader, goal).await;
        if loader.node.now() - checked > CHECKED {
            check(loader, goal, list).await?;
            checked = loader.node.now();
        }
        let report = loader.engine.report().await?;
        if report.versions.get(&goal.model) == Some(&goal.version) {
            return Ok(());
        }
        if report.busy {
            actix_rt::time::sleep(LOOK).await;
            continue;
        }
        if goal.held.is_some() {
            tell(loader, NOTE);
            actix_rt::time::sleep(TOLD).await;
        }
        let order = LoadOrder {
            model: goal.model.clone(),
            version: goal.version,
            orders_begun: report.orders_begun,
        };
        let ordered = loader.engine.order(&order).await;
        let outcome = format!("{ordered:?}");
        log::info!(version = goal.version, orders = report.orders_begun, outcome = outcome.as_str(); "order to load");
        match ordered {
            Ok(Ordered::Begun | Ordered::InEffect) => return finish(loader, goal).await,
            Ok(Ordered::Rejected(status)) => bail!("the engine rejected the order with {status}"),
            // The order may have begun; the report tells.
            Err(_) => actix_rt::time::sleep(LOOK).await,
        }
    }
}

/// Waits for the turn of this engine; one that holds nothing loads at once.
async fn wait<D: Codec>(loader: &Loader<D>, goal: &Goal) {
    if goal.held.is_none() || goal.since == Time::default() {
        return;
    }
    let node = &loader.settings.node;
    let members = sources::members(loader).into_iter();
    let near = members.filter(|member| member.zone == node.zone).map(|member| member.vm);
    let zone: Vec<VmId> = near.chain([node.vm.clone()]).collect();
    let item = format!("{}/{}", goal.model, goal.version);
    let at = load_start(&node.vm, &zone, &item, goal.since, node.bounds.version);
    loader.node.clock.until(Some(at)).await;
}

/// Reads the staged chunks back and stages those anew that are not sound.
async fn check<D: Codec>(loader: &Loader<D>, goal: &Goal, list: &ChunkList) -> anyhow::Result<()> {
    for _ in 0..ROUNDS {
        let mut spoilt = 0;
        for (chunk, digest) in list.digests.iter().enumerate() {
            let staged = loader.engine.get(&goal.model, chunk).await?;
            if staged.is_some_and(|data| is_sound(&data, digest)) {
                continue;
            }
            spoilt += 1;
            let data = loader.shelf.get(digest).context("a chunk is no longer held")?;
            loader.engine.put(&goal.model, chunk, data).await?;
        }
        if spoilt == 0 {
            return Ok(());
        }
        log::info!(version = goal.version, spoilt; "chunks staged anew");
    }
    bail!("staged chunks are still spoilt after {ROUNDS} rounds")
}

/// Waits for the end of a load and keeps gateways from sending requests meanwhile.
async fn finish<D: Codec>(loader: &Loader<D>, goal: &Goal) -> anyhow::Result<()> {
    let until = loader.node.now() + LOAD;
    tell(loader, NOTE);
    while loader.node.now() < until {
        actix_rt::time::sleep(LOOK).await;
        let report = loader.engine.report().await?;
        if report.versions.get(&goal.model) == Some(&goal.version) {
            tell(loader, Span(0));
            return Ok(());
        }
        if !report.busy {
            bail!("the engine ended the order without the version");
        }
        tell(loader, NOTE);
    }
    bail!("the engine did not finish in {LOAD}")
}

/// Tells gateways to leave the engine alone for a time.
fn tell<D: Codec>(loader: &Loader<D>, pause: Span) {
    let instance = {
        let view = loader.node.view.borrow();
        let own = |endpoint: &&sequoiahold_core::direct::view::Endpoint| {
            endpoint.entry.addr == loader.settings.engine
        };
        view.endpoints().values().find(own).map(|endpoint| endpoint.entry.instance.clone())
    };
    let Some(instance) = instance else { return };
    let datagram = Datagram::Loading(LoadingNotice { instance, pause });
    loader.node.send(loader.node.peer_addrs(Role::Gateway), &datagram);
}
