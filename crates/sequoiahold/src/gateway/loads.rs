//! What loaders report of the loads of engines, exchanged between gateways, and what engines report.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Method, StatusCode, header::HeaderMap};
use anyhow::Context as _;
use bytes::Bytes;
use rand::seq::IteratorRandom as _;
use sequoiahold_core::direct::{
    endpoint_notices::Start,
    engine_probes::{EngineProbes, UnknownEngine},
    load_reports::LoadReport,
    membership::Role,
    platform::{Codec, EngineReport},
};

use super::{datagrams, state::Gateway};
use crate::node::{Datagram, pull_loads};

/// Interval at which a peer is asked for reports while some are missing; doubles up to the maximum
/// while they stay so.
const PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum interval.
const MAX_PULL_INTERVAL: Duration = Duration::from_secs(8);
/// Interval until the process knows its peers, as it may have to serve at once.
const FIRST_PULL_INTERVAL: Duration = Duration::from_millis(100);

/// Pause between two probes to engines.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which to look for engines of whose loads nothing is known.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a probe; the next engine is probed after it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the report of an engine.
const MAX_REPORT_BYTES: usize = 65_536;

/// Starts the tasks that ask peers and probe engines for reports that are missing here.
pub(super) fn start<C: Codec>(gateway: &Rc<Gateway<C>>) {
    actix_rt::spawn(pull_missing(gateway.clone()));
    actix_rt::spawn(probe_engines(gateway.clone()));
}

/// Sends news to one other gateway, which the loader may not reach.
pub(super) fn send_reports<C: Codec>(gateway: &Gateway<C>) {
    let now = gateway.node.now();
    let news = gateway.node.loads.borrow().news(now);
    let name_bytes = |report: &LoadReport| {
        report.versions.keys().map(|model| model.as_str().len()).sum::<usize>()
    };
    datagrams::send_reports(gateway, now, news, name_bytes, Datagram::Loads);
}

/// Asks one peer after the other, gateways first, as they know of all engines.
async fn pull_missing<C: Codec>(gateway: Rc<Gateway<C>>) {
    let node = &gateway.node;
    let mut interval = PULL_INTERVAL;
    loop {
        let is_settled = node.membership.borrow().is_settled(node.now());
        actix_rt::time::sleep(if is_settled { interval } else { FIRST_PULL_INTERVAL }).await;
        if !gateway.scheduler.borrow().lacks_reports(node.now()) {
            interval = PULL_INTERVAL;
            continue;
        }
        interval = (interval * 2).min(MAX_PULL_INTERVAL);
        let rng = || node.rng.borrow_mut();
        let gateways = node.peer_addrs(Role::Gateway).into_iter().choose(&mut *rng());
        let peer =
            gateways.or_else(|| node.peer_addrs(Role::Loader).into_iter().choose(&mut *rng()));
        if let Some(peer) = peer {
            pull_loads(node, peer).await;
        }
    }
}

/// Probes one engine after the other of whose loads nobody reports.
async fn probe_engines<C: Codec>(gateway: Rc<Gateway<C>>) {
    let mut probes = EngineProbes::default();
    loop {
        let Some(start) = next_probe(&gateway, &mut probes) else {
            actix_rt::time::sleep(LOOK_INTERVAL).await;
            continue;
        };
        let answer = actix_rt::time::timeout(PROBE_TIMEOUT, probe_engine(&gateway, start.addr));
        match answer.await.context("no answer in time").flatten() {
            Ok(report) if is_of_start(&report, &start) => {
                if record_engine_report(&gateway, &start, &report) {
                    probes.record_answer(&start);
                }
            }
            Ok(_) => log::debug!("the engine at {} has started again", start.addr),
            Err(error) => log::debug!("cannot probe the engine at {}: {error:#}", start.addr),
        }
        actix_rt::time::sleep(PROBE_INTERVAL).await;
    }
}

fn next_probe<C: Codec>(gateway: &Gateway<C>, probes: &mut EngineProbes) -> Option<Start> {
    let (node, now) = (&gateway.node, gateway.node.now());
    let membership = node.membership.borrow();
    if !membership.is_settled(now) {
        return None;
    }
    let loaders = membership.live_with_role(Role::Loader);
    let loader_zones: BTreeSet<_> = loaders.map(|member| &member.zone).collect();
    let scheduler = gateway.scheduler.borrow();
    let loads = node.loads.borrow();
    let unknown = scheduler.unknown_loads().map(|(start, zone)| {
        // Loaders do not repeat a report that is in doubt.
        let has_loader = loader_zones.contains(zone) && loads.find(&start).is_none();
        UnknownEngine { start, has_loader }
    });
    let unknown: Vec<UnknownEngine> = unknown.collect();
    probes.next_probe(now, &unknown, &mut *node.rng.borrow_mut())
}

/// Reads the report of an engine over a connection of its own.
async fn probe_engine<C: Codec>(
    gateway: &Gateway<C>,
    addr: SocketAddr,
) -> anyhow::Result<EngineReport> {
    let (node, no_body) = (&gateway.node, Bytes::new());
    let mut upstream = node.pool.open(addr).await?;
    let path = node.codec.report_path();
    let call = upstream.exchange(Method::GET, path, HeaderMap::new(), &no_body, MAX_REPORT_BYTES);
    let (response, body) = call.await?;
    let status = response.status;
    anyhow::ensure!(status == StatusCode::OK, "status report failed with status {status}");
    Ok(node.codec.decode_report(&body)?)
}

/// Returns whether a report is of a published start, which may lack its time.
fn is_of_start(report: &EngineReport, start: &Start) -> bool {
    start.started_ms.is_none_or(|started_ms| report.started_ms == Some(started_ms))
}

/// Takes what an engine holds without any load, or without one since a proof that is in doubt, for
/// proved; returns whether another probe would tell no more.
fn record_engine_report<C: Codec>(
    gateway: &Gateway<C>,
    start: &Start,
    report: &EngineReport,
) -> bool {
    let (addr, orders) = (start.addr.to_string(), report.orders_begun);
    let proof = LoadReport::of_engine(start.addr, report);
    let is_confirmed = gateway.node.confirm_load(start.addr, report);
    let is_proved = proof.is_some() || is_confirmed;
    log::info!(
        addr = addr.as_str(), started_ms = report.started_ms, orders, proved = is_proved;
        "engine probed for its loads"
    );
    gateway.node.merge_loads(proof);
    is_proved || orders > 0
}
