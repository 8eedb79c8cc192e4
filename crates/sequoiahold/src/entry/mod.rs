//! The entry process: takes callers and routes their requests to endpoints.

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

/// Time that a graceful shutdown may take at the most.
const DRAIN: Duration = Duration::from_secs(120);

/// Time that closed connections to other processes have to deliver their last bytes.
const LAST_BYTES: Duration = Duration::from_secs(2);

/// Runs an entry process until it is told to stop and its requests are done.
pub async fn run(settings: settings::Entry) -> anyhow::Result<()> {
    let tls = Rc::new(RefCell::new(Tls::load(&settings.keys)?));
    let clock = Clock::default();
    let (events, receiver) = mpsc::unbounded_channel();
    let (in_force, shown) = watch::channel(None);
    let traffic = TrafficCounter::default();
    let links =
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
        set_event: Event::Offer,
    });
    let peers = PeerService { events: events.clone(), config: handle.clone() };
    let listening = listen(settings.peers, &tls.borrow(), traffic.clone(), peers)?;
    status::serve(settings.admin, events.clone(), Event::Status).await?;
    let pace = (settings.config.list_interval, clock.incarnation().0);
    reader::start(platform, pace, handle, events.clone(), Event::Vms);

    actix_rt::spawn(watch_keys(settings.keys.clone(), tls, listening.clone(), metrics.clone()));
    let parts = event_loop::Parts { clock, links, in_force, events, traffic };
    let server = Server::new(&settings, &parts, shown, metrics.clone());
    let open = server.listen(settings.callers).await?;
    log::info!("entry {} takes callers on {}", settings.vm, settings.callers);

    let event_loop = EventLoop::new(settings, parts, metrics);
    actix_rt::spawn(event_loop.run(receiver));
    signal(SignalKind::terminate())?.recv().await;
    log::info!("told to stop, {} requests in progress", server.in_progress());
    server.drain(DRAIN, &open).await;
    listening.close(0u32.into(), b"stopped");
    let _ = actix_rt::time::timeout(LAST_BYTES, listening.wait_idle()).await;
    Ok(())
}
