//! The gateway: takes callers and sends their requests straight to the endpoints.

mod answer;
mod attempt;
mod metrics;
mod notes;
mod plan;
mod ready;
mod record;
mod relay;
mod request;
mod seat;
mod server;
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

/// Time after the signal to stop in which the platform still sends new connections.
const TURN_AWAY: Duration = Duration::from_millis(2_600);
/// Time before the end of the grace period at which the process ends.
const MARGIN: Duration = Duration::from_millis(700);
/// Time between two looks at what is in progress.
const LOOK: Duration = Duration::from_millis(50);

/// Runs a gateway until it is told to stop.
pub async fn run<D: Codec>(dialect: D, settings: settings::Gateway) -> anyhow::Result<()> {
    let config = ServiceConfig::default();
    let (notes, inbox) = mpsc::unbounded_channel();
    let node = Node::new(dialect, Role::Gateway, settings.node.clone(), config.clone(), notes);
    let gateway = Gateway::new(node.clone(), config.clone());
    let mut stop = signal(SignalKind::terminate())?;
    let reload = signal(SignalKind::hangup())?;
    node.start(NotFoundHandler)?;
    ready::start(&gateway, settings.ready)?;
    server::start(&gateway, settings.callers, settings.connections)?;
    state::start(&gateway);
    notes::start(&gateway, inbox);
    if let Some(addr) = settings.node.metrics {
        crate::exposition::start(gateway.metrics.registry(), addr)?;
    }
    let vm = settings.node.vm.to_string();
    log::info!(vm = vm.as_str(), version = env!("CARGO_PKG_VERSION"); "gateway started");
    tokio::select! {
        _ = stop.recv() => {}
        () = ignore_sighup(reload) => {}
    }
    drain(&gateway, settings.node.bounds.grace.into()).await;
    Ok(())
}

/// Turns new callers away and lets the requests in progress finish within the grace period.
async fn drain<D: Codec>(gateway: &Rc<Gateway<D>>, grace: Duration) {
    log::info!(active = gateway.active(); "stopping");
    let begun = actix_rt::time::Instant::now();
    gateway.set_draining();
    let turned = TURN_AWAY.min(grace / 2);
    actix_rt::time::sleep(turned).await;
    gateway.close_idle();
    while gateway.open() > 0 && begun.elapsed() + MARGIN < grace {
        actix_rt::time::sleep(LOOK).await;
    }
    let took = begun.elapsed().as_millis() as u64;
    log::info!(open = gateway.open(), active = gateway.active(), took_ms = took; "stopped");
}
