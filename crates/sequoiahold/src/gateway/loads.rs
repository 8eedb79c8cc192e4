//! What loaders report of the loads of engines, exchanged between gateways.

use std::{rc::Rc, time::Duration};

use rand::seq::IteratorRandom as _;
use sequoiahold_core::direct::{load_reports::LoadReport, membership::Role, platform::Codec};

use super::{datagrams, state::Gateway};
use crate::node::{Datagram, pull_loads};

/// Interval at which a peer is asked for reports while some are missing; doubles up to the maximum
/// while they stay so.
const PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum interval.
const MAX_PULL_INTERVAL: Duration = Duration::from_secs(8);
/// Interval until the process knows its peers, as it may have to serve at once.
const FIRST_PULL_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the task that asks peers for reports that are missing here.
pub(super) fn start<C: Codec>(gateway: &Rc<Gateway<C>>) {
    actix_rt::spawn(pull_missing(gateway.clone()));
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
