//! The endpoint process: the one gate before its engine or plain service.

mod ask;
mod draw;
mod engine;
mod event;
mod event_loop;
mod peers;
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

use self::{ask::Asks, event_loop::EventLoop, peers::PeerService, store::Store, upload::Uploader};
pub use self::{
    engine::{Engine, SendError},
    event::Event,
};
use crate::{
    clock::Clock,
    config,
    metrics::Metrics,
    net::{PeerConnections, Tls, TrafficCounter, listen, watch_keys},
    platform::PlatformClient,
    reader, settings, status,
};

/// The time after which a refused caller may come back when no better figure is known.
const RETRY: Span = Span::secs(1);
/// Time that a graceful shutdown may take at the most.
const DRAIN: Duration = Duration::from_secs(120);
/// Pause between two looks at the requests in progress during a shutdown.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// Time that closed connections have to deliver their last bytes.
const LAST_BYTES: Duration = Duration::from_secs(2);

/// Runs an endpoint process until it is told to stop and its requests are done.
pub async fn run(settings: settings::Endpoint) -> anyhow::Result<()> {
    let tls = Rc::new(RefCell::new(Tls::load(&settings.keys)?));
    let clock = Clock::default();
    let (events, receiver) = mpsc::unbounded_channel();
    let traffic = TrafficCounter::default();
    let links =
        PeerConnections::new(tls.clone(), traffic.clone()).with_local_addr(settings.peers.ip());
    let store = Store::default();
    let engine = Engine::new(&settings.engine);
    let platform = PlatformClient::new(settings.platform.clone());

    let asks =
        Asks { events: events.clone(), engine: engine.clone(), incarnation: clock.incarnation() };
    let metrics = Metrics::new(&settings.metrics, settings.vm.as_str())?;
    let own_links =
        PeerConnections::new(tls.clone(), traffic.clone()).with_local_addr(settings.peers.ip());
    let reads = (platform.clone(), metrics.clone());
    let handle = config::start(config_parts(&settings, clock, own_links, reads, &events));
    let config = handle.clone();
    let pacers = [(); 2].map(|()| Rc::new(RefCell::new(Pacer::new(settings.weights.rate))));
    let uploader = Uploader {
        clock,
        store: store.clone(),
        slots: settings.weights.max_uploads,
        pacer: pacers[0].clone(),
        busy: Rc::new(Cell::new(0)),
    };
    let peers = PeerService { events: events.clone(), uploader, config, asks };
    let listening = listen(settings.peers, &tls.borrow(), traffic.clone(), peers)?;
    status::serve(settings.admin, events.clone(), Event::Status).await?;
    let pace = (settings.config.list_interval, clock.incarnation().0);
    reader::start(platform, pace, handle, events.clone(), Event::Vms);
    log::info!("endpoint {} listens on {}", settings.vm, settings.peers);

    actix_rt::spawn(watch_keys(settings.keys.clone(), tls, listening.clone(), metrics.clone()));
    let parts = event_loop::Parts {
        clock,
        links,
        store,
        pacers,
        engine,
        events: events.clone(),
        traffic,
        metrics,
    };
    actix_rt::spawn(EventLoop::new(settings, parts).run(receiver));
    signal(SignalKind::terminate())?.recv().await;
    log::info!("told to stop");
    drain(&events).await;
    let _ = actix_rt::time::timeout(LAST_BYTES, listening.wait_idle()).await;
    listening.close(0u32.into(), b"stopped");
    Ok(())
}

fn config_parts(
    settings: &settings::Endpoint,
    clock: Clock,
    links: PeerConnections,
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
        connections: links,
        platform,
        metrics,
        events: events.clone(),
        set_event: Event::Offer,
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
            actix_rt::time::sleep(DRAIN_LOOK).await;
        }
    };
    let _ = actix_rt::time::timeout(DRAIN, done).await;
}
