//! Loader process: deploys the target version of the weights to the engine on its VM.

mod chunk_store;
mod engine;
mod load;
pub mod origin;
mod report;
mod sources;
mod stage;
mod target;
mod transfer;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use actix_http::ServiceConfig;
use anyhow::bail;
use sequoiahold_core::{
    direct::{
        engine_load::{EngineChange, EngineLoad, LoadEvidence},
        load_announcer::LoadAnnouncer,
        load_proof::LoadProof,
        load_reports::LoadReport,
        membership::Role,
        platform::{Codec, EngineReport},
        version_choice::VersionChoice,
    },
    units::ByteRate,
};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};

use self::{
    chunk_store::ChunkStore,
    engine::Engine,
    target::{Target, VersionSource},
    transfer::TransferEnd,
};
use crate::{
    node::{ChunkOffer, Datagram, Node, Received, ignore_sighup},
    settings,
};

/// Interval between probes of the engine while there is nothing to deploy.
const ENGINE_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of pending offers; when it is reached, all are dropped.
const MAX_OFFERS: usize = 256;
/// Interval between checks whether the membership has settled.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Fraction of the VM's link rate available to uploads; the engine's responses share the link.
const UPLOAD_LINK_FRACTION: f64 = 0.95;
/// Delay before a retry after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The state shared by the tasks of a loader.
struct Loader<C> {
    node: Rc<Node<C>>,
    settings: settings::Loader,
    engine: Engine<C>,
    chunk_store: ChunkStore,
    offers: Offers,
    /// The evidence on the load in progress.
    proof: Cell<LoadProof>,
    /// What is known of the last load.
    load: RefCell<EngineLoad>,
    announcer: RefCell<LoadAnnouncer>,
    /// The choice of a version where none is announced.
    choice: RefCell<VersionChoice>,
    /// The last report to gateways, `None` before any.
    last_report: RefCell<Option<LoadReport>>,
}

impl<C> Loader<C> {
    fn update_proof(&self, update: impl FnOnce(&mut LoadProof)) {
        let mut proof = self.proof.get();
        update(&mut proof);
        self.proof.set(proof);
    }

    /// Returns what is known of the last load of the engine, `None` before its first report.
    fn evidence(&self) -> Option<LoadEvidence> {
        self.load.borrow().evidence()
    }
}

impl<C: Codec> Loader<C> {
    /// Probes the engine and logs whether its start, loads or versions differ from the last report;
    /// fails without a valid response in time.
    async fn probe_engine(&self) -> anyhow::Result<EngineReport> {
        let report = self.engine.probe().await?;
        let change = self.load.borrow_mut().observe(&report);
        self.update_proof(match change {
            EngineChange::Restarted => LoadProof::record_engine_start,
            EngineChange::None | EngineChange::Other => LoadProof::record_report,
        });
        if change != EngineChange::None {
            let versions: Vec<String> = report
                .versions
                .iter()
                .map(|(model, version)| format!("{model}/{version}"))
                .collect();
            let evidence = format!("{:?}", self.evidence());
            log::info!(
                started_ms = report.started_ms, orders = report.orders_begun, busy = report.busy,
                versions = versions.join(",").as_str(), evidence = evidence.as_str();
                "engine state"
            );
        }
        Ok(report)
    }
}

/// Chunks announced by other loaders, pending until a transfer processes them.
type Offers = Rc<RefCell<Vec<ChunkOffer>>>;

/// Runs a loader until SIGTERM; fails if a signal handler or the address for peers is unavailable.
pub async fn run<C: Codec>(codec: C, settings: settings::Loader) -> anyhow::Result<()> {
    let (sender, datagrams) = mpsc::unbounded_channel();
    let config = ServiceConfig::default();
    let node = Node::new(codec, Role::Loader, settings.node.clone(), config.clone(), sender);
    let mut stop = signal(SignalKind::terminate())?;
    let reload = signal(SignalKind::hangup())?;
    let chunk_store = ChunkStore::default();
    node.limit_upload_rate(ByteRate((settings.link.0 as f64 * UPLOAD_LINK_FRACTION) as u64));
    node.start(chunk_store.clone())?;
    let vm = settings.node.vm.to_string();
    log::info!(vm = vm.as_str(), version = env!("CARGO_PKG_VERSION"); "loader started");
    let engine = Engine::new(codec, settings.engine, config);
    let offers = Offers::default();
    let loader = Loader {
        node,
        settings,
        engine,
        chunk_store,
        offers: offers.clone(),
        proof: Cell::new(LoadProof::started()),
        load: RefCell::default(),
        announcer: RefCell::default(),
        choice: RefCell::default(),
        last_report: RefCell::default(),
    };
    tokio::select! {
        () = update_engine(&loader) => {}
        () = report::report_loads(&loader) => {}
        () = collect_offers(datagrams, offers) => {}
        () = ignore_sighup(reload) => {}
        _ = stop.recv() => {}
    }
    log::info!("stopped");
    Ok(())
}

/// Collects the offers of other loaders, which a running transfer processes within milliseconds;
/// without one, all are dropped at [`MAX_OFFERS`].
async fn collect_offers(mut datagrams: mpsc::UnboundedReceiver<Received>, offers: Offers) {
    while let Some(Received { datagram, .. }) = datagrams.recv().await {
        if let Datagram::Holds(offer) = datagram {
            let mut offers = offers.borrow_mut();
            if offers.len() >= MAX_OFFERS {
                offers.clear();
            }
            offers.push(offer);
        }
    }
}

/// Deploys each target version to the engine, for as long as the process runs.
async fn update_engine<C: Codec>(loader: &Loader<C>) {
    wait_until_settled(loader).await;
    loop {
        let target = match target::find(loader).await {
            Ok(Some(target)) => target,
            Ok(None) => {
                actix_rt::time::sleep(ENGINE_PROBE_INTERVAL).await;
                continue;
            }
            Err(error) => {
                log::debug!("cannot determine the target version: {error:#}");
                actix_rt::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let result = tokio::select! {
            result = deploy_version(loader, &target) => result,
            () = target::wait_until_superseded(loader, &target) => {
                log::info!(version = target.version; "overtaken by a newer version");
                continue;
            }
        };
        if let Err(error) = result {
            let (fault, source) = (format!("{error:#}"), format!("{:?}", target.source));
            log::warn!(
                version = target.version, source = source.as_str(), fault = fault.as_str();
                "version not brought"
            );
            if matches!(target.source, VersionSource::Claimed | VersionSource::Named) {
                loader.choice.borrow_mut().record_failure(target.version);
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Waits until the membership has settled, so that all loaders of a zone choose the same owner of
/// each chunk.
async fn wait_until_settled<C: Codec>(loader: &Loader<C>) {
    while !loader.node.membership.borrow().is_settled(loader.node.now()) {
        actix_rt::time::sleep(SETTLE_POLL_INTERVAL).await;
    }
}

/// Transfers one version and has the engine load it, or stores the chunks that it already holds.
async fn deploy_version<C: Codec>(loader: &Loader<C>, target: &Target) -> anyhow::Result<()> {
    let start = loader.node.now();
    let elapsed_ms = |node: &Node<C>| (node.now() - start).0 / 1_000;
    let (model, version) = (target.model.to_string(), target.version);
    let list = loop {
        let list = sources::chunk_list(loader, &target.model, target.version).await?;
        if target.held == Some(target.version) {
            return stage::store_staged_chunks(loader, target, &list).await;
        }
        match transfer::run(loader, target, &list).await {
            TransferEnd::Complete => break list,
            TransferEnd::ListCorrected => {}
            TransferEnd::Stalled => bail!("no source sends chunks of the claimed version"),
        }
    };
    log::info!(model = model.as_str(), version, took_ms = elapsed_ms(&loader.node); "chunks held whole");
    load::load_version(loader, target, &list).await?;
    log::info!(model = model.as_str(), version, took_ms = elapsed_ms(&loader.node); "version in use");
    Ok(())
}
