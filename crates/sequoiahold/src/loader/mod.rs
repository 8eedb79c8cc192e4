//! The loader: brings the wanted weights to the engine on its VM.

use actix_http::ServiceConfig;
use sequoiahold_core::direct::{mesh::Role, seam::Dialect};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};

use crate::{
    node::{NoCalls, Node},
    settings,
};

/// Runs a loader until it is told to stop.
pub async fn run<D: Dialect>(dialect: D, settings: settings::Loader) -> anyhow::Result<()> {
    let (notes, _inbox) = mpsc::unbounded_channel();
    let config = ServiceConfig::default();
    let node = Node::new(dialect, Role::Loader, settings.node.clone(), config, notes);
    let mut stop = signal(SignalKind::terminate())?;
    node.start(NoCalls)?;
    let vm = settings.node.vm.to_string();
    log::info!(vm = vm.as_str(), version = env!("CARGO_PKG_VERSION"); "loader started");
    stop.recv().await;
    log::info!("stopped");
    Ok(())
}
