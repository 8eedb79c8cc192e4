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
const MAX_DATAGRAM: usize = 1_400;
/// Most bytes of changes that are passed on in one datagram.
const MAX_CHANGES: usize = 1_150;
/// Bytes that a change takes beside its key and value.
const CHANGE_OVERHEAD: usize = 16;
/// Time that the own watch has to bring what a peer already knows.
const PULL_AFTER: Span = Span::millis(150);

/// Starts to send and to receive.
pub(super) fn start<D: Codec>(node: &Rc<Node<D>>) -> anyhow::Result<()> {
    let addr = node.settings.peers;
    let socket = std::net::UdpSocket::bind(addr)
        .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
        .and_then(UdpSocket::from_std)
        .with_context(|| format!("cannot listen for peers on {addr}"))?;
    let socket = Rc::new(socket);
    node.socket.replace(Some(socket.clone()));
    actix_rt::spawn(receive(node.clone(), socket.clone()));
    actix_rt::spawn(rounds(node.clone()));
    Ok(())
}

/// Sends a datagram; one that cannot be sent counts as lost on the way, as any other may be.
pub(super) fn send(
    socket: &UdpSocket,
    to: impl IntoIterator<Item = SocketAddr>,
    datagram: &Datagram,
) {
    let bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM => bytes,
        Ok(bytes) => return log::warn!("datagram of {} bytes is too long", bytes.len()),
        Err(error) => return log::error!("datagram cannot be written: {error}"),
    };
    for peer in to {
        if let Err(error) = socket.try_send_to(&bytes, peer) {
            log::debug!("datagram to {peer}: {error}");
        }
    }
}

async fn rounds<D: Codec>(node: Rc<Node<D>>) {
    loop {
        let at = node.mirror.borrow().revision();
        let (gossip, to) =
            node.mesh.borrow_mut().start_round(node.now(), at, &mut *node.rng.borrow_mut());
        node.tell(to, &Datagram::Gossip(gossip));
        if node.view.borrow_mut().expire_endpoints(node.now()) {
            node.signal();
        }
        node.pool.evict_unusable();
        let pause = node.mesh.borrow().round_interval(node.now());
        actix_rt::time::sleep(pause.into()).await;
    }
}

async fn receive<D: Codec>(node: Rc<Node<D>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (len, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("receiving datagrams: {error}");
                continue;
            }
        };
        match postcard::from_bytes(&buffer[..len]) {
            Ok(Datagram::Gossip(gossip)) => hear(&node, from, gossip),
            Ok(Datagram::Changes(after, sync)) => take(&node, from, after, sync),
            Ok(datagram) => {
                if node.notes.send(datagram).is_err() {
                    log::debug!("datagram from {from}: nothing takes this kind");
                }
            }
            Err(error) => log::debug!("datagram from {from}: {error}"),
        }
    }
}

fn hear<D: Codec>(node: &Rc<Node<D>>, from: SocketAddr, gossip: Gossip) {
    let now = node.now();
    let joined = node.mesh.borrow().is_joined();
    let new = node.mesh.borrow_mut().merge_gossip(now, &gossip);
    if !joined {
        // The platform tells what is published; only peers tell since when.
        let (node, peer) = (node.clone(), gossip.from.addr);
        actix_rt::spawn(async move { peers::pull(&node, peer).await });
    }
    let at = node.mirror.borrow().revision();
    if gossip.ask || new {
        let answer = node.mesh.borrow().reply(now, at, &mut *node.rng.borrow_mut());
        node.tell([from], &Datagram::Gossip(answer));
    }
    if gossip.at > at {
        actix_rt::spawn(pull_later(node.clone(), gossip.from.addr, gossip.at));
    }
}

/// Passes changes on to the processes of the own zone; what fits no datagram is pulled.
pub(super) fn pass_on<D: Codec>(node: &Node<D>, after: Revision, mut told: StateDelta) {
    let size: usize = told.changes.iter().map(size_of_change).sum();
    if size > MAX_CHANGES {
        told.changes.clear();
    }
    let mesh = node.mesh.borrow();
    let near = mesh.live_in_zone(node.now()).map(|member| member.addr);
    node.tell(near, &Datagram::Changes(after, told));
}

fn size_of_change(change: &Change) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, |value| value.len()) + CHANGE_OVERHEAD
}

/// Takes changes that a peer passed on, or pulls where some before them are lacking.
fn take<D: Codec>(node: &Rc<Node<D>>, from: SocketAddr, after: Revision, sync: StateDelta) {
    let at = node.mirror.borrow().revision();
    if sync.at <= at {
        return;
    }
    if at < after || sync.changes.is_empty() {
        return peers::follow(node, from, sync.at);
    }
    let changes = node.mirror.borrow_mut().apply_delta(sync);
    node.take(changes, true);
}

/// Pulls what a peer knows unless it has come otherwise by then.
async fn pull_later<D: Codec>(node: Rc<Node<D>>, peer: SocketAddr, at: Revision) {
    if node.mirror.borrow().revision() > Revision(0) {
        actix_rt::time::sleep(PULL_AFTER.into()).await;
    }
    if node.mirror.borrow().revision() < at {
        peers::follow(&node, peer, at);
    }
}
