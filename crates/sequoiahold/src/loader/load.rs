//! Has the engine load the staged chunks, and judges whether they were intact.

use std::time::Duration;

use anyhow::bail;
use sequoiahold_core::{
    direct::{
        engine_load::LoadEvidence,
        load_proof::{AcceptedOrder, ChunkCheck, ForeignChunks, LoadProof, LoadVerdict},
        load_schedule::load_start,
        membership::Role,
        platform::{ChunkList, Codec, EngineReport, LoadOrder},
    },
    ids::{InstanceId, VmId},
    time::Time,
    units::Span,
};

use super::{Loader, engine::OrderReply, report, sources, stage, target::Target};
use crate::node::{Datagram, LoadingNotice};

/// Number of the first version of a model.
const FIRST_VERSION: u64 = 1;
/// Interval between probes of a loading engine, and between notices to gateways.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Timeout for a load, from its order to its end.
const LOAD_TIMEOUT: Span = Span::secs(20);
/// Time after a notice during which gateways send the engine no requests.
const LOADING_PAUSE: Span = Span::millis(400);
/// Time between the notice to gateways and the order, in which requests already sent arrive.
const NOTICE_LEAD: Duration = Duration::from_millis(20);

/// Has the engine load a version of which the chunk store holds all chunks.
///
/// While an order may still be accepted, it neither fails nor stages another version.
pub(super) async fn load_version<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    list: &ChunkList,
) -> anyhow::Result<()> {
    let staged = foreign_chunks(loader, target);
    loader.update_proof(|proof| proof.begin_load(staged));
    check_chunks(loader, target, list).await?;
    loop {
        wait_for_load_start(loader, target).await;
        let (report, is_checked) = match prepare_order(loader, target, list).await {
            Ok(prepared) => prepared,
            Err(error) if loader.proof.get().has_open_order() => {
                log::debug!("no answer of the engine to an order yet: {error:#}");
                actix_rt::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        if loader.evidence() == Some(LoadEvidence::Open) {
            return settle(loader, target, list, (&report, AcceptedOrder::Unknown)).await;
        }
        if report.versions.get(&target.model) == Some(&target.version) {
            return Ok(());
        }
        if report.busy {
            actix_rt::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        loader.update_proof(LoadProof::record_idle_engine);
        if !is_checked {
            continue;
        }
        if target.held.is_some() {
            notify_gateways(loader, LOADING_PAUSE);
            actix_rt::time::sleep(NOTICE_LEAD).await;
        }
        // The process may have stood still since the check.
        if !loader.proof.get().allows_order(loader.node.now()) {
            continue;
        }
        let had_open_order = loader.proof.get().has_open_order();
        match send_order(loader, target, &report).await {
            Ok(OrderReply::Begun) => {
                return settle(loader, target, list, (&report, AcceptedOrder::Last)).await;
            }
            Ok(OrderReply::Rejected(status)) if !had_open_order => {
                loader.update_proof(LoadProof::record_rejection);
                bail!("the engine rejected the order: {status}");
            }
            // An order may have begun or may yet begin, which a later report shows.
            Ok(OrderReply::InEffect | OrderReply::Rejected(_)) | Err(_) => {
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}

/// Returns of which versions an earlier process may have staged chunks.
fn foreign_chunks<C: Codec>(loader: &Loader<C>, target: &Target) -> ForeignChunks {
    let view = loader.node.view.borrow();
    let versions = view.target(&target.model);
    match target.version {
        FIRST_VERSION => ForeignChunks::OnlyVersion,
        version if versions.is_some_and(|versions| versions.is_announced_since_start(version)) => {
            ForeignChunks::OtherVersions
        }
        _ => ForeignChunks::AnyVersion,
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

async fn check_chunks<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    list: &ChunkList,
) -> anyhow::Result<()> {
    let check = stage::verify_staged(loader, target, list).await?;
    loader.update_proof(|proof| proof.record_check(check));
    Ok(())
}

/// Checks the chunks while an order is open, without staging any.
async fn recheck_chunks<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    list: &ChunkList,
) -> anyhow::Result<()> {
    let started = loader.node.now();
    let corrupt = stage::find_corrupt(loader, target, list).await?;
    let check = ChunkCheck { started, ended: loader.node.now() };
    loader.update_proof(|proof| match corrupt.is_empty() {
        true => proof.record_check(check),
        false => proof.record_spoilt(),
    });
    Ok(())
}

/// Checks the chunks again if the last check is too old, and probes the engine; also returns
/// whether the check still allows an order.
async fn prepare_order<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    list: &ChunkList,
) -> anyhow::Result<(EngineReport, bool)> {
    if loader.proof.get().allows_order(loader.node.now()) {
        // The last check still counts.
    } else if loader.proof.get().has_open_order() {
        recheck_chunks(loader, target, list).await?;
    } else {
        check_chunks(loader, target, list).await?;
    }
    let report = loader.probe_engine().await?;
    Ok((report, loader.proof.get().allows_order(loader.node.now())))
}

async fn send_order<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    report: &EngineReport,
) -> anyhow::Result<OrderReply> {
    let order = LoadOrder {
        model: target.model.clone(),
        version: target.version,
        orders_begun: report.orders_begun,
    };
    loader.update_proof(LoadProof::record_order);
    let result = loader.engine.send_order(&order).await;
    let outcome = format!("{result:?}");
    log::info!(version = target.version, orders = report.orders_begun, outcome = outcome.as_str(); "order to load");
    result
}

/// Judges a load that has begun, and waits until it has ended; fails if the chunks may have been
/// corrupt.
async fn settle<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    list: &ChunkList,
    (report, accepted): (&EngineReport, AcceptedOrder),
) -> anyhow::Result<()> {
    let orders = report.orders_begun.saturating_add(u64::from(accepted == AcceptedOrder::Last));
    let judge = |evidence| {
        let version = Some((target.model.clone(), target.version));
        loader.load.borrow_mut().judge(report.started_ms, orders, evidence, version);
    };
    let verdict = loader.proof.get().verdict(loader.node.now(), accepted);
    log_verdict(loader, target, report, accepted, verdict);
    loader.update_proof(LoadProof::close_orders);
    judge(LoadEvidence::Doubtful);
    let is_intact = match verdict {
        LoadVerdict::Intact => true,
        LoadVerdict::Recheck => is_staged_intact(loader, target, list).await,
        LoadVerdict::Doubtful => false,
    };
    if verdict != LoadVerdict::Intact {
        log::warn!(version = target.version, intact = is_intact; "chunks read after a load");
    }
    if !is_intact {
        bail!("the engine may have loaded corrupt chunks");
    }
    judge(LoadEvidence::Proved);
    poll_load(loader, target).await
}

/// Logs what is known of a load that has begun, and the evidence for it.
fn log_verdict<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    report: &EngineReport,
    accepted: AcceptedOrder,
    verdict: LoadVerdict,
) {
    let proof = loader.proof.get();
    let check_age = proof.check_age(loader.node.now());
    let check_age_ms = check_age.map_or(-1, |age| (age.0 / 1_000) as i64);
    let (accepted, verdict) = (format!("{accepted:?}"), format!("{verdict:?}"));
    log::info!(
        version = target.version, started_ms = report.started_ms, orders = report.orders_begun,
        accepted = accepted.as_str(), check_age_ms, verdict = verdict.as_str(),
        open_stagings = proof.open_stagings(), foreign_order = proof.has_foreign_order();
        "load begun"
    );
}

/// Returns whether all staged chunks are intact, as soon as the engine answers.
async fn is_staged_intact<C: Codec>(loader: &Loader<C>, target: &Target, list: &ChunkList) -> bool {
    loop {
        match stage::find_corrupt(loader, target, list).await {
            Ok(corrupt) => return corrupt.is_empty(),
            Err(error) => log::debug!("cannot check the loaded chunks: {error:#}"),
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Probes the engine until the load ends, renewing the notice to gateways; fails after
/// [`LOAD_TIMEOUT`] or if the engine does not hold the version.
async fn poll_load<C: Codec>(loader: &Loader<C>, target: &Target) -> anyhow::Result<()> {
    let deadline = loader.node.now() + LOAD_TIMEOUT;
    notify_gateways(loader, LOADING_PAUSE);
    while loader.node.now() < deadline {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let report = loader.probe_engine().await?;
        if report.versions.get(&target.model) == Some(&target.version) {
            report::send_report(loader);
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
    let instances: Vec<InstanceId> = {
        let view = loader.node.view.borrow();
        let settings = &loader.settings;
        view.instances_at(&settings.service, settings.engine).cloned().collect()
    };
    for instance in instances {
        let datagram = Datagram::Loading(LoadingNotice { instance, pause });
        loader.node.send(loader.node.peer_addrs(Role::Gateway), &datagram);
    }
}
