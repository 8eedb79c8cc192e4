//! Entry process: accepts requests of callers and routes them to endpoints.

mod auth;
mod body;
mod event;
mod event_loop;
mod peers;
mod problem;
mod request;
mod server;
mod stopwatch;

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_rt::signal::unix::{SignalKind, signal};
use sequoiahold_core::config::Identity;
use tokio::sync::{mpsc, watch};

pub use self::event::Event;
use self::{event_loop::EventLoop, peers::PeerService, server::Server};
use crate::{
    clock::Clock,
    config,
    metrics::Metrics,
    net::{PeerConnections, Tls, TrafficCounter, listen, watch_keys},
    platform::PlatformClient,
    reader, settings, status,
};

/// Maximum time that a shutdown waits for requests in progress.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum time that closed connections to other processes have to send their buffered data.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs an entry process until SIGTERM, then waits for the requests in progress.
pub async fn run(settings: settings::Entry) -> anyhow::Result<()> {
    let tls = Rc::new(RefCell::new(Tls::load(&settings.keys)?));
    let clock = Clock::default();
    let (events, receiver) = mpsc::unbounded_channel();
    let (in_force, config_receiver) = watch::channel(None);
    let traffic = TrafficCounter::default();
    let connections =
        PeerConnections::new(tls.clone(), traffic.clone()).with_local_addr(settings.peers.ip());
    let platform = PlatformClient::new(settings.platform.clone());

    let metrics = Metrics::new(&settings.metrics, settings.vm.as_str())?;
    let handle = config::start(config::TaskParams {
        identity: Identity {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            addr: settings.peers,
        },
        settings: settings.config.clone(),
        clock,
        connections: PeerConnections::new(tls.clone(), traffic.clone())
            .with_local_addr(settings.peers.ip()),
        platform: platform.clone(),
        metrics: metrics.clone(),
        events: events.clone(),
        set_event: Event::ConfigOffered,
    });
    let peers = PeerService { events: events.clone(), config: handle.clone() };
    let listener = listen(settings.peers, &tls.borrow(), traffic.clone(), peers)?;
    status::serve(settings.admin, events.clone(), Event::GetStatus).await?;
    let list_schedule = (settings.config.list_interval, clock.incarnation().0);
    reader::start(platform, list_schedule, handle, events.clone(), Event::VmsListed);

    actix_rt::spawn(watch_keys(settings.keys.clone(), tls, listener.clone(), metrics.clone()));
    let context = event_loop::Context { clock, connections, in_force, events, traffic };
    let server = Server::new(&settings, &context, config_receiver, metrics.clone());
    let open_connections = server.listen(settings.callers).await?;
    log::info!("entry {} listens for callers on {}", settings.vm, settings.callers);

    let event_loop = EventLoop::new(settings, context, metrics);
    actix_rt::spawn(event_loop.run(receiver));
    signal(SignalKind::terminate())?.recv().await;
    log::info!("received SIGTERM with {} requests in progress", server.in_progress());
    server.drain(DRAIN_TIMEOUT, &open_connections).await;
    listener.close(0u32.into(), b"stopped");
    let _ = actix_rt::time::timeout(FLUSH_TIMEOUT, listener.wait_idle()).await;
    Ok(())
}
