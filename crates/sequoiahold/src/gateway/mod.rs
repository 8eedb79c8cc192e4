//! Gateway process: accepts callers' requests and forwards them directly to the endpoints.

mod answer;
mod attempt;
mod charge;
mod datagrams;
mod loads;
mod memory;
mod metrics;
mod notices;
mod parts;
mod plan;
mod rate_limits;
mod readiness;
mod record;
mod relay;
mod request;
mod server;
mod slot;
mod state;
mod suspects;

use std::{rc::Rc, time::Duration};

use actix_http::ServiceConfig;
use sequoiahold_core::direct::{membership::Role, platform::Codec};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};

use self::state::Gateway;
use crate::{
    node::{Node, NotFoundHandler, ignore_sighup},
    settings,
};

/// Time after SIGTERM during which the platform may still route new connections here.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// Time before the end of the grace period at which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Interval at which the drain checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until SIGTERM and drains it; fails if a listener cannot be opened.
pub async fn run<C: Codec>(codec: C, settings: settings::Gateway) -> anyhow::Result<()> {
    let http_config = ServiceConfig::default();
    let (datagrams, inbox) = mpsc::unbounded_channel();
    let node =
        Node::new(codec, Role::Gateway, settings.node.clone(), http_config.clone(), datagrams);
    let gateway = Gateway::new(node.clone(), http_config.clone(), &settings);
    let mut stop = signal(SignalKind::terminate())?;
    let reload = signal(SignalKind::hangup())?;
    node.start(NotFoundHandler)?;
    readiness::start(&gateway, settings.ready)?;
    server::start(&gateway, settings.callers, settings.connections)?;
    state::start(&gateway);
    datagrams::start(&gateway, inbox);
    loads::start(&gateway);
    if let Some(addr) = settings.node.metrics {
        crate::exposition::start(gateway.metrics.registry(), addr)?;
    }
    let vm = settings.node.vm.to_string();
    log::info!(vm = vm.as_str(), version = env!("CARGO_PKG_VERSION"), restarted = settings.node.restarted; "gateway started");
    tokio::select! {
        _ = stop.recv() => {}
        () = ignore_sighup(reload) => {}
    }
    drain(&gateway, settings.node.bounds.grace.into()).await;
    Ok(())
}

/// Reports the gateway as not ready and lets active requests complete within the grace period.
async fn drain<C: Codec>(gateway: &Rc<Gateway<C>>, grace: Duration) {
    log::info!(active = gateway.active_requests(); "stopping");
    let started = actix_rt::time::Instant::now();
    gateway.set_draining();
    let delay = DRAIN_DELAY.min(grace / 2);
    actix_rt::time::sleep(delay).await;
    gateway.close_idle_connections();
    while gateway.open_connections() > 0 && started.elapsed() + EXIT_MARGIN < grace {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let took_ms = started.elapsed().as_millis() as u64;
    log::info!(
        open = gateway.open_connections(), active = gateway.active_requests(), took_ms = took_ms;
        "stopped"
    );
}
