//! Judges the load of the engine on the VM, and reports it to gateways.

use std::time::Duration;

use rand::seq::{IndexedRandom as _, IteratorRandom as _};
use sequoiahold_core::{
    direct::{
        endpoint_notices::Start,
        engine_load::LoadEvidence,
        load_reports::LoadReport,
        membership::Role,
        platform::{Codec, EngineReport},
        send_time::SendStamp,
    },
    ids::Incarnation,
};

use super::{Loader, sources, stage, target::Target};
use crate::node::{Datagram, pull_loads};

/// Interval between rounds of reports.
const ROUND_INTERVAL: Duration = Duration::from_millis(60);
/// Number of rounds in which one gateway picked at random gets the report again.
const REPEAT_ROUNDS: u64 = 5;
/// Number of gateways asked what an earlier process on the VM reported.
const MAX_QUERIED_GATEWAYS: usize = 3;

/// Reports the load of the engine to gateways, for as long as the process runs.
pub(super) async fn report_loads<C: Codec>(loader: &Loader<C>) {
    for round in 0_u64.. {
        if loader.evidence().is_none()
            && let Err(error) = loader.probe_engine().await
        {
            log::debug!("no report of the engine yet: {error:#}");
        }
        send_report(loader);
        if round.is_multiple_of(REPEAT_ROUNDS)
            && let Some(report) = own_report(loader)
        {
            let gateways = loader.node.peer_addrs(Role::Gateway).into_iter();
            let gateway = gateways.choose(&mut *loader.node.rng.borrow_mut());
            loader.node.send(gateway, &Datagram::Loads(vec![report]));
        }
        actix_rt::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Reports the load to the gateways that have yet to be sent it.
pub(super) fn send_report<C: Codec>(loader: &Loader<C>) {
    let Some(report) = own_report(loader) else { return };
    let gateways: Vec<(std::net::SocketAddr, Incarnation)> = {
        let membership = loader.node.membership.borrow();
        let live = membership.live_with_role(Role::Gateway);
        live.map(|member| (member.addr, member.incarnation)).collect()
    };
    let recipients = loader.announcer.borrow_mut().recipients(&report, &gateways);
    if !recipients.is_empty() {
        loader.node.send(recipients, &Datagram::Loads(vec![report]));
    }
}

/// Judges a load that no order of this process is known to have begun; fails if the version is the
/// newest and its chunk list is not available yet.
pub(super) async fn judge_found_load<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
    report: &EngineReport,
) -> anyhow::Result<()> {
    let (evidence, source) = match told_evidence(loader, report).await {
        Some(evidence) => (evidence, "peer"),
        None => (check_found_load(loader, target).await?, "staged chunks"),
    };
    let verdict = format!("{evidence:?}");
    log::info!(
        started_ms = report.started_ms, orders = report.orders_begun, source, verdict = verdict.as_str();
        "load found"
    );
    loader.load.borrow_mut().judge(report.started_ms, report.orders_begun, evidence, None);
    Ok(())
}

/// Returns what an earlier process on this VM reported of the load, as far as gateways know.
async fn told_evidence<C: Codec>(
    loader: &Loader<C>,
    report: &EngineReport,
) -> Option<LoadEvidence> {
    let told = || known_evidence(loader, report);
    if let Some(evidence) = told() {
        return Some(evidence);
    }
    let gateways: Vec<std::net::SocketAddr> = {
        let rng = &mut *loader.node.rng.borrow_mut();
        let gateways = loader.node.peer_addrs(Role::Gateway);
        gateways.choose_multiple(rng, MAX_QUERIED_GATEWAYS).copied().collect()
    };
    for gateway in gateways {
        pull_loads(&loader.node, gateway).await;
        if let Some(evidence) = told() {
            return Some(evidence);
        }
    }
    None
}

fn known_evidence<C: Codec>(loader: &Loader<C>, report: &EngineReport) -> Option<LoadEvidence> {
    let start = Start { addr: loader.settings.engine, started_ms: report.started_ms };
    let loads = loader.node.loads.borrow();
    let known = loads.find(&start).filter(|known| known.orders == report.orders_begun)?;
    Some(if known.proved { LoadEvidence::Proved } else { LoadEvidence::Doubtful })
}

/// Staged chunks that are all intact now were intact as they were loaded, unless this process has
/// replaced some since.
async fn check_found_load<C: Codec>(
    loader: &Loader<C>,
    target: &Target,
) -> anyhow::Result<LoadEvidence> {
    let Some(held) = target.held else { return Ok(LoadEvidence::Proved) };
    if loader.proof.get().has_restaged() {
        return Ok(LoadEvidence::Doubtful);
    }
    let list = match sources::chunk_list(loader, &target.model, held).await {
        Ok(list) => list,
        Err(error) if held == target.newest => return Err(error),
        Err(error) => {
            log::info!(version = held, fault = format!("{error:#}").as_str(); "no chunk list");
            return Ok(LoadEvidence::Doubtful);
        }
    };
    let corrupt = stage::find_corrupt(loader, target, &list).await?;
    Ok(if corrupt.is_empty() { LoadEvidence::Proved } else { LoadEvidence::Doubtful })
}

/// Returns the report of the load, with the time since which it is known.
fn own_report<C: Codec>(loader: &Loader<C>) -> Option<LoadReport> {
    let now = SendStamp { incarnation: loader.node.clock.incarnation(), at: loader.node.now() };
    let report = loader.load.borrow().report(loader.settings.engine, now)?;
    let mut last = loader.last_report.borrow_mut();
    if !last.as_ref().is_some_and(|last| last.says_same(&report)) {
        last.replace(report);
    }
    last.clone()
}
