//! Exchange of loads between gateways, and handling of the other datagrams from peers.

use std::{rc::Rc, time::Duration};

use rand::seq::{IteratorRandom as _, SliceRandom as _};
use sequoiahold_core::{
    direct::{load_exchange::LocalLoad, membership::Role, platform::Codec, scheduler::EndpointKey},
    time::Time,
};
use tokio::sync::mpsc;

use super::{loads, notices, parts, rate_limits, state::Gateway};
use crate::node::{Datagram, Received};

/// Interval between two rounds of the exchange.
const ROUND_INTERVAL: Duration = Duration::from_millis(70);
/// Maximum total size of the reports in a datagram; the others follow in later ones.
const MAX_REPORT_BYTES: usize = 640;
/// Estimated size of an encoded report without its names.
const REPORT_BYTES: usize = 30;
/// Interval between two datagrams with the evidence against blocked prompt parts, and between two
/// with reports on endpoints.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(300);

/// Starts the task that exchanges load reports and handles the datagrams from peers.
pub(super) fn start<C: Codec>(
    gateway: &Rc<Gateway<C>>,
    mut inbox: mpsc::UnboundedReceiver<Received>,
) {
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        let mut round_timer = actix_rt::time::interval(ROUND_INTERVAL);
        let mut evidence_timer = actix_rt::time::interval(EVIDENCE_INTERVAL);
        loop {
            tokio::select! {
                received = inbox.recv() => match received {
                    Some(Received { sent, datagram }) => receive(&gateway, sent, datagram),
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
                    loads::send_reports(&gateway);
                    notices::log_changes(&gateway);
                }
            }
        }
    });
}

/// Sends reports whose ages count up to `at`, as many as fit in a datagram and picked at random, to
/// one other gateway; `name_bytes` returns the size of the names in a report.
pub(super) fn send_reports<C: Codec, R>(
    gateway: &Gateway<C>,
    at: Time,
    mut reports: Vec<R>,
    name_bytes: impl Fn(&R) -> usize,
    datagram: impl FnOnce(Vec<R>) -> Datagram,
) {
    if reports.is_empty() {
        return;
    }
    let rng = &mut *gateway.node.rng.borrow_mut();
    reports.shuffle(rng);
    let mut size = 0;
    let fitting = reports.into_iter().take_while(|report| {
        size += name_bytes(report) + REPORT_BYTES;
        size <= MAX_REPORT_BYTES
    });
    let datagram = datagram(fitting.collect());
    let peer = gateway.node.peer_addrs(Role::Gateway).into_iter().choose(rng);
    gateway.node.send_at(at, peer, &datagram);
}

/// Handles a datagram that a peer sent at `sent`.
fn receive<C: Codec>(gateway: &Rc<Gateway<C>>, sent: Time, datagram: Datagram) {
    let now = gateway.node.now();
    match datagram {
        Datagram::Load(message) => gateway.load_exchange.borrow_mut().receive(now, message),
        Datagram::Loading(note) => {
            let until = now + note.pause;
            gateway.scheduler.borrow_mut().set_loading(&note.instance, until);
        }
        Datagram::Crash(crash) => gateway.suspects.borrow_mut().record_crash(now, crash),
        Datagram::Parts(news) => parts::receive(gateway, &news),
        Datagram::RateLimits(reports) => rate_limits::receive(gateway, sent, reports),
        Datagram::Leaving(reports) => notices::receive(gateway, sent, reports),
        Datagram::Loads(reports) => gateway.node.merge_loads(reports),
        Datagram::Gossip(_) | Datagram::Changes(_) | Datagram::Holds(_) => {}
    }
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
