//! Endpoint process: the only admission gate in front of its engine or plain service.

mod engine;
mod event;
mod event_loop;
mod fetch;
mod peers;
mod request;
mod store;
mod upload;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use actix_rt::signal::unix::{SignalKind, signal};
use sequoiahold_core::{config::Identity, units::Span, weights::Pacer};
use tokio::sync::{mpsc, oneshot};

pub use self::{
    engine::{EngineClient, SendError},
    event::Event,
    fetch::retry_delay,
};
use self::{
    event_loop::EventLoop, peers::PeerService, request::RequestHandler, store::ChunkStore,
    upload::Uploader,
};
use crate::{
    clock::Clock,
    config,
    metrics::Metrics,
    net::{PeerConnections, Tls, TrafficCounter, listen, watch_keys},
    platform::PlatformClient,
    reader, settings, status,
};

/// Retry delay of a refusal for which no better estimate is known.
const RETRY_DELAY: Span = Span::secs(1);
/// Maximum time that a shutdown waits for requests in progress.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval between checks for requests in progress during a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time that connections have to send their buffered data before they are closed.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs an endpoint process until SIGTERM, then waits for the requests in progress.
pub async fn run(settings: settings::Endpoint) -> anyhow::Result<()> {
    let tls = Rc::new(RefCell::new(Tls::load(&settings.keys)?));
    let clock = Clock::default();
    let (events, receiver) = mpsc::unbounded_channel();
    let traffic = TrafficCounter::default();
    let connections =
        PeerConnections::new(tls.clone(), traffic.clone()).with_local_addr(settings.peers.ip());
    let store = ChunkStore::default();
    let engine = EngineClient::new(&settings.engine);
    let platform = PlatformClient::new(settings.platform.clone());

    let requests = RequestHandler {
        events: events.clone(),
        engine: engine.clone(),
        incarnation: clock.incarnation(),
    };
    let metrics = Metrics::new(&settings.metrics, settings.vm.as_str())?;
    let config_connections =
        PeerConnections::new(tls.clone(), traffic.clone()).with_local_addr(settings.peers.ip());
    let shared = (platform.clone(), metrics.clone());
    let handle =
        config::start(config_params(&settings, clock, config_connections, shared, &events));
    let config = handle.clone();
    let pacers = [(); 2].map(|()| Rc::new(RefCell::new(Pacer::new(settings.weights.rate))));
    let uploader = Uploader {
        clock,
        store: store.clone(),
        max_uploads: settings.weights.max_uploads,
        pacer: pacers[0].clone(),
        active_uploads: Rc::new(Cell::new(0)),
    };
    let peers = PeerService { events: events.clone(), uploader, config, requests };
    let listener = listen(settings.peers, &tls.borrow(), traffic.clone(), peers)?;
    status::serve(settings.admin, events.clone(), Event::GetStatus).await?;
    let list_schedule = (settings.config.list_interval, clock.incarnation().0);
    reader::start(platform, list_schedule, handle, events.clone(), Event::VmsListed);
    log::info!("endpoint {} listens on {}", settings.vm, settings.peers);

    actix_rt::spawn(watch_keys(settings.keys.clone(), tls, listener.clone(), metrics.clone()));
    let context = event_loop::Context {
        clock,
        connections,
        store,
        pacers,
        engine,
        events: events.clone(),
        traffic,
        metrics,
    };
    actix_rt::spawn(EventLoop::new(settings, context).run(receiver));
    signal(SignalKind::terminate())?.recv().await;
    log::info!("received SIGTERM");
    drain(&events).await;
    let _ = actix_rt::time::timeout(FLUSH_TIMEOUT, listener.wait_idle()).await;
    listener.close(0u32.into(), b"stopped");
    Ok(())
}

fn config_params(
    settings: &settings::Endpoint,
    clock: Clock,
    connections: PeerConnections,
    (platform, metrics): (PlatformClient, Metrics),
    events: &mpsc::UnboundedSender<Event>,
) -> config::TaskParams<Event> {
    config::TaskParams {
        identity: Identity {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            addr: settings.peers,
        },
        settings: settings.config.clone(),
        clock,
        connections,
        platform,
        metrics,
        events: events.clone(),
        set_event: Event::ConfigOffered,
    }
}

async fn drain(events: &mpsc::UnboundedSender<Event>) {
    let done = async {
        loop {
            let (reply, running) = oneshot::channel();
            let _ = events.send(Event::Drain(reply));
            if running.await.unwrap_or(0) == 0 {
                return;
            }
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    let _ = actix_rt::time::timeout(DRAIN_TIMEOUT, done).await;
}
