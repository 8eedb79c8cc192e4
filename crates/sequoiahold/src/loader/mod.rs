//! The loader: brings the wanted weights to the engine on its VM.

mod chunk_store;
mod engine;
mod sources;
mod stage;
mod target;
mod transfer;

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_http::ServiceConfig;
use sequoiahold_core::{
    direct::{membership::Role, platform::Codec},
    units::ByteRate,
};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};

use self::{chunk_store::Shelf, engine::Engine, target::Goal};
use crate::{
    node::{ChunkOffer, Datagram, Node, ignore_sighup},
    settings,
};

/// Time between two looks at the engine.
const LOOK: Duration = Duration::from_millis(250);
/// Offers that are kept while no transfer takes them.
const MAX_OFFERS: usize = 256;
/// Time between two looks at whether the other loaders are known.
const SETTLE: Duration = Duration::from_millis(50);
/// Part of the VM's link that uploads may use; the engine's answers use the same link.
const UPLOAD_PART: f64 = 0.95;
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(200);

/// What the tasks of a loader share.
struct Loader<D> {
    node: Rc<Node<D>>,
    settings: settings::Loader,
    engine: Engine<D>,
    shelf: Shelf,
    offers: Offers,
}

/// What other loaders say that they hold, until a transfer takes it.
type Offers = Rc<RefCell<Vec<ChunkOffer>>>;

/// Runs a loader until it is told to stop.
pub async fn run<D: Codec>(dialect: D, settings: settings::Loader) -> anyhow::Result<()> {
    let (notes, inbox) = mpsc::unbounded_channel();
    let config = ServiceConfig::default();
    let node = Node::new(dialect, Role::Loader, settings.node.clone(), config.clone(), notes);
    let mut stop = signal(SignalKind::terminate())?;
    let reload = signal(SignalKind::hangup())?;
    let shelf = Shelf::default();
    node.limit_upload_rate(ByteRate((settings.link.0 as f64 * UPLOAD_PART) as u64));
    node.start(shelf.clone())?;
    let vm = settings.node.vm.to_string();
    log::info!(vm = vm.as_str(), version = env!("CARGO_PKG_VERSION"); "loader started");
    let engine = Engine::new(dialect, settings.engine, config);
    let offers = Offers::default();
    let loader = Loader { node, settings, engine, shelf, offers: offers.clone() };
    tokio::select! {
        () = follow(&loader) => {}
        () = hear(inbox, offers) => {}
        () = ignore_sighup(reload) => {}
        _ = stop.recv() => {}
    }
    log::info!("stopped");
    Ok(())
}

/// Keeps the offers of other loaders; a transfer takes them within milliseconds, or nobody does.
async fn hear(mut inbox: mpsc::UnboundedReceiver<Datagram>, offers: Offers) {
    while let Some(datagram) = inbox.recv().await {
        if let Datagram::Holds(note) = datagram {
            let mut offers = offers.borrow_mut();
            if offers.len() >= MAX_OFFERS {
                offers.clear();
            }
            offers.push(note);
        }
    }
}

/// Brings each wanted version to the engine, for as long as the process runs.
async fn follow<D: Codec>(loader: &Loader<D>) {
    settle(loader).await;
    loop {
        let goal = match target::find(loader).await {
            Ok(Some(goal)) => goal,
            Ok(None) => {
                actix_rt::time::sleep(LOOK).await;
                continue;
            }
            Err(error) => {
                log::debug!("engine: {error:#}");
                actix_rt::time::sleep(PAUSE).await;
                continue;
            }
        };
        let reached = tokio::select! {
            reached = reach(loader, &goal) => reached,
            () = target::overtaken(loader, &goal) => {
                log::info!(version = goal.version; "overtaken by a newer version");
                continue;
            }
        };
        if let Err(error) = reached {
            let fault = format!("{error:#}");
            log::warn!(version = goal.version, fault = fault.as_str(); "version not brought");
            actix_rt::time::sleep(PAUSE).await;
        }
    }
}

/// Waits until the other loaders are known, so that each chunk has one owner in a zone.
async fn settle<D: Codec>(loader: &Loader<D>) {
    while !loader.node.membership.borrow().is_settled(loader.node.now()) {
        actix_rt::time::sleep(SETTLE).await;
    }
}

/// Brings one version to the engine.
async fn reach<D: Codec>(loader: &Loader<D>, goal: &Goal) -> anyhow::Result<()> {
    let begun = loader.node.now();
    let took = |node: &Node<D>| (node.now() - begun).0 / 1_000;
    let (model, version) = (goal.model.to_string(), goal.version);
    let list = sources::list(loader, &goal.model, Some(goal.version)).await?;
    if goal.held == Some(goal.version) {
        return stage::take_stock(loader, goal, &list).await;
    }
    transfer::run(loader, goal, &list).await?;
    log::info!(model = model.as_str(), version, took_ms = took(&loader.node); "chunks held whole");
    stage::load(loader, goal, &list).await?;
    log::info!(model = model.as_str(), version, took_ms = took(&loader.node); "version in use");
    Ok(())
}
