//! Gossip by datagrams: membership, and who knows newer published state.

use std::{net::SocketAddr, rc::Rc};

use anyhow::Context as _;
use sequoiahold_core::{
    direct::{
        membership::Gossip,
        mirror::{Change, Revision, StateDelta},
        platform::Codec,
    },
    units::Span,
};
use tokio::net::UdpSocket;

use super::{Datagram, Node, peers};

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Most bytes of changes that are passed on in one datagram.
const MAX_CHANGE_BYTES: usize = 1_150;
/// Bytes that a change takes beside its key and value.
const CHANGE_OVERHEAD_BYTES: usize = 16;
/// Time that the own watch has to bring what a peer already knows.
const PULL_DELAY: Span = Span::millis(150);

/// Starts to send and to receive.
pub(super) fn start<C: Codec>(node: &Rc<Node<C>>) -> anyhow::Result<()> {
    let addr = node.settings.peers;
    let socket = std::net::UdpSocket::bind(addr)
        .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
        .and_then(UdpSocket::from_std)
        .with_context(|| format!("cannot listen for peers on {addr}"))?;
    let socket = Rc::new(socket);
    node.socket.replace(Some(socket.clone()));
    actix_rt::spawn(receive_datagrams(node.clone(), socket.clone()));
    actix_rt::spawn(run_rounds(node.clone()));
    Ok(())
}

/// Sends a datagram; one that cannot be sent counts as lost on the way, as any other may be.
pub(super) fn send(
    socket: &UdpSocket,
    recipients: impl IntoIterator<Item = SocketAddr>,
    datagram: &Datagram,
) {
    let bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => bytes,
        Ok(bytes) => return log::warn!("datagram of {} bytes is too long", bytes.len()),
        Err(error) => return log::error!("datagram cannot be written: {error}"),
    };
    for peer in recipients {
        if let Err(error) = socket.try_send_to(&bytes, peer) {
            log::debug!("datagram to {peer}: {error}");
        }
    }
}

async fn run_rounds<C: Codec>(node: Rc<Node<C>>) {
    loop {
        let revision = node.mirror.borrow().revision();
        let (gossip, recipients) = node.membership.borrow_mut().start_round(
            node.now(),
            revision,
            &mut *node.rng.borrow_mut(),
        );
        node.send(recipients, &Datagram::Gossip(gossip));
        if node.view.borrow_mut().expire_endpoints(node.now()) {
            node.notify_subscribers();
        }
        node.pool.sweep();
        let interval = node.membership.borrow().round_interval(node.now());
        actix_rt::time::sleep(interval.into()).await;
    }
}

async fn receive_datagrams<C: Codec>(node: Rc<Node<C>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("receiving datagrams: {error}");
                continue;
            }
        };
        match postcard::from_bytes(&buffer[..len]) {
            Ok(Datagram::Gossip(gossip)) => on_gossip(&node, from, gossip),
            Ok(Datagram::Changes(after, delta)) => on_changes(&node, from, after, delta),
            Ok(datagram) => {
                if node.datagrams.send(datagram).is_err() {
                    log::debug!("datagram from {from}: nothing takes this kind");
                }
            }
            Err(error) => log::debug!("datagram from {from}: {error}"),
        }
    }
}

fn on_gossip<C: Codec>(node: &Rc<Node<C>>, from: SocketAddr, gossip: Gossip) {
    let now = node.now();
    let was_joined = node.membership.borrow().is_joined();
    let has_new_member = node.membership.borrow_mut().merge_gossip(now, &gossip);
    if !was_joined {
        // The platform tells what is published; only peers tell since when.
        let (node, peer) = (node.clone(), gossip.from.addr);
        actix_rt::spawn(async move { peers::pull_state(&node, peer).await });
    }
    let revision = node.mirror.borrow().revision();
    if gossip.ask || has_new_member {
        let reply = node.membership.borrow().reply(now, revision, &mut *node.rng.borrow_mut());
        node.send([from], &Datagram::Gossip(reply));
    }
    if gossip.at > revision {
        actix_rt::spawn(pull_if_behind(node.clone(), gossip.from.addr, gossip.at));
    }
}

/// Passes changes on to the processes of the own zone; what fits no datagram is pulled.
pub(super) fn forward_changes<C: Codec>(node: &Node<C>, after: Revision, mut delta: StateDelta) {
    let size: usize = delta.changes.iter().map(estimated_size).sum();
    if size > MAX_CHANGE_BYTES {
        delta.changes.clear();
    }
    let membership = node.membership.borrow();
    let zone_peers = membership.live_in_zone(node.now()).map(|member| member.addr);
    node.send(zone_peers, &Datagram::Changes(after, delta));
}

fn estimated_size(change: &Change) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, |value| value.len()) + CHANGE_OVERHEAD_BYTES
}

/// Takes changes that a peer passed on, or pulls where some before them are lacking.
fn on_changes<C: Codec>(node: &Rc<Node<C>>, from: SocketAddr, after: Revision, delta: StateDelta) {
    let revision = node.mirror.borrow().revision();
    if delta.at <= revision {
        return;
    }
    if revision < after || delta.changes.is_empty() {
        return peers::pull_until(node, from, delta.at);
    }
    let changes = node.mirror.borrow_mut().apply_delta(delta);
    node.apply_changes(changes, true);
}

/// Pulls what a peer knows unless it has come otherwise by then.
async fn pull_if_behind<C: Codec>(node: Rc<Node<C>>, peer: SocketAddr, revision: Revision) {
    if node.mirror.borrow().revision() > Revision(0) {
        actix_rt::time::sleep(PULL_DELAY.into()).await;
    }
    if node.mirror.borrow().revision() < revision {
        peers::pull_until(&node, peer, revision);
    }
}
