//! Exchange of loads between gateways, and handling of the other datagrams from peers.

use std::{rc::Rc, time::Duration};

use sequoiahold_core::direct::{load_exchange::LocalLoad, platform::Codec, scheduler::EndpointKey};
use tokio::sync::mpsc;

use super::{notices, parts, rate_limits, state::Gateway};
use crate::node::Datagram;

/// Interval between two rounds of the exchange.
const ROUND_INTERVAL: Duration = Duration::from_millis(70);
/// Interval between two datagrams with the evidence against blocked prompt parts, and between two
/// with the rate limits of endpoints.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(300);

/// Starts the task that exchanges load reports and handles the datagrams from peers.
pub(super) fn start<C: Codec>(
    gateway: &Rc<Gateway<C>>,
    mut inbox: mpsc::UnboundedReceiver<Datagram>,
) {
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        let mut round_timer = actix_rt::time::interval(ROUND_INTERVAL);
        let mut evidence_timer = actix_rt::time::interval(EVIDENCE_INTERVAL);
        loop {
            tokio::select! {
                datagram = inbox.recv() => match datagram {
                    Some(Datagram::Load(message)) => {
                        let now = gateway.node.now();
                        gateway.load_exchange.borrow_mut().receive(now, message);
                    }
                    Some(Datagram::Loading(note)) => {
                        let until = gateway.node.now() + note.pause;
                        gateway.scheduler.borrow_mut().set_loading(&note.instance, until);
                    }
                    Some(Datagram::Crash(crash)) => {
                        let now = gateway.node.now();
                        gateway.suspects.borrow_mut().record_crash(now, crash);
                    }
                    Some(Datagram::Parts(news)) => parts::receive(&gateway, &news),
                    Some(Datagram::RateLimits(reports)) => rate_limits::receive(&gateway, reports),
                    Some(Datagram::Leaving(reports)) => {
                        notices::receive(&gateway, gateway.node.now(), reports);
                    }
                    Some(_) => {}
                    None => return,
                },
                _ = round_timer.tick() => {
                    exchange_loads(&gateway);
                    parts::send_news(&gateway);
                }
                _ = evidence_timer.tick() => {
                    parts::send_evidence(&gateway);
                    rate_limits::send_reports(&gateway);
                    notices::send_reports(&gateway);
                    notices::log_changes(&gateway);
                }
            }
        }
    });
}

/// Tells other gateways the loads known here, and applies those that they told.
fn exchange_loads<C: Codec>(gateway: &Gateway<C>) {
    let now = gateway.node.now();
    let mut exchange = gateway.load_exchange.borrow_mut();
    let (keys, peer_loads) = {
        let scheduler = gateway.scheduler.borrow();
        let (keys, loads): (Vec<EndpointKey>, Vec<LocalLoad>) = scheduler.local_loads().unzip();
        let peer_loads = exchange.peer_loads(now, &loads);
        let own = &gateway.node.settings.vm;
        for (message, recipients) in exchange.start_round(now, own, &loads, &peer_loads) {
            gateway.node.send(recipients, &Datagram::Load(message));
        }
        (keys, peer_loads)
    };
    let mut scheduler = gateway.scheduler.borrow_mut();
    for (key, peer_load) in keys.into_iter().zip(peer_loads) {
        scheduler.set_peer_load(now, key, peer_load);
    }
}
