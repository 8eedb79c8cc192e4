//! Gossip over UDP: membership, and changes of the published state within a zone.

use std::{io, net::SocketAddr, rc::Rc};

use anyhow::Context as _;
use sequoiahold_core::{
    direct::{
        membership::{Envelope, Gossip, Role},
        mirror::{Change, Revision, StateDelta},
        platform::Codec,
        send_time::{SendStamp, SendTimes},
    },
    time::Time,
    units::Span,
};
use tokio::net::UdpSocket;

use super::{
    Datagram, Node, Received,
    datagram::{Changes, MAX_DATAGRAM_BYTES, MAX_STAMP_BYTES},
    peers,
};

/// Maximum total size of the changes in one datagram.
const MAX_CHANGE_BYTES: usize = 1_150;
/// Estimated size of an encoded change without its key and value.
const CHANGE_OVERHEAD_BYTES: usize = 16;
/// Minimum duration of a suspension of the VM that is logged.
const MIN_SUSPENSION: Span = Span::millis(100);
/// Delay before newer state is pulled from a peer, during which the watch of this process or a
/// datagram may deliver it.
const PULL_DELAY: Span = Span::millis(150);

/// Starts the tasks that send and receive datagrams; fails if the address cannot be bound.
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

/// Sends a datagram; one that cannot be sent is dropped, as receivers tolerate lost datagrams.
pub(super) fn send(
    socket: &UdpSocket,
    stamp: SendStamp,
    recipients: impl IntoIterator<Item = SocketAddr>,
    datagram: &Datagram,
) {
    let bytes = match datagram.encode(stamp) {
        Ok(bytes) => bytes,
        Err(error) => return log::error!("cannot encode datagram: {error}"),
    };
    for peer in recipients {
        if let Err(error) = socket.try_send_to(&bytes, peer) {
            log::debug!("cannot send datagram to {peer}: {error}");
        }
    }
}

/// A search for the ages of versions, as the first peer may not know them either.
#[derive(Default)]
struct AgeSearch {
    since: Option<Time>,
    asked: usize,
}

impl AgeSearch {
    /// Returns the peer to ask in this round, each in turn until the ages no longer matter.
    fn next_peer<C: Codec>(&mut self, node: &Node<C>) -> Option<SocketAddr> {
        let now = node.now();
        if !node.view.borrow().has_undated_versions(now, node.settings.bounds.version) {
            self.since = None;
            return None;
        }
        let since = *self.since.get_or_insert(now);
        if now - since > node.settings.bounds.version {
            return None;
        }
        // Those that watch the platform saw the versions as they were announced.
        let mut peers = node.watcher_addrs();
        peers.extend(node.peer_addrs(Role::Gateway));
        peers.extend(node.peer_addrs(Role::Loader));
        self.asked += 1;
        peers.get(self.asked % peers.len().max(1)).copied()
    }
}

async fn run_rounds<C: Codec>(node: Rc<Node<C>>) {
    let mut suspended = Span(0);
    let mut search = AgeSearch::default();
    loop {
        let suspended_before = std::mem::replace(&mut suspended, node.clock.suspended());
        if suspended.0 > suspended_before.0 + MIN_SUSPENSION.0 {
            let suspended_ms = (suspended.0 - suspended_before.0) / 1_000;
            log::warn!(suspended_ms; "VM was suspended");
        }
        let revision = node.mirror.borrow().revision();
        let messages = node.membership.borrow_mut().start_round(
            node.now(),
            revision,
            &mut *node.rng.borrow_mut(),
        );
        for Envelope { gossip, recipients } in messages {
            node.send(recipients, &Datagram::Gossip(gossip));
        }
        let (now, view) = (node.now(), &node.view);
        let has_expired = view.borrow_mut().expire_endpoints(now);
        if view.borrow_mut().apply_held(now) || has_expired {
            node.notify_subscribers();
        }
        if let Some(peer) = search.next_peer(&node) {
            let node = node.clone();
            actix_rt::spawn(async move { peers::pull_state(&node, peer).await });
        }
        node.pool.evict_unusable();
        let interval = node.membership.borrow().round_interval(node.now());
        actix_rt::time::sleep(interval.into()).await;
    }
}

async fn receive_datagrams<C: Codec>(node: Rc<Node<C>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + MAX_STAMP_BYTES];
    let mut send_times = SendTimes::default();
    // A datagram may have waited in the socket for as long as this process stood still.
    let mut drained_at = node.now();
    loop {
        tokio::task::coop::consume_budget().await;
        let received = match socket.try_recv_from(&mut buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                drained_at = node.now();
                socket.recv_from(&mut buffer).await
            }
            received => received,
        };
        let (len, from) = match received {
            Ok(received) => received,
            Err(error) => {
                log::debug!("cannot receive datagram: {error}");
                continue;
            }
        };
        let (datagram, stamp) = match Datagram::decode(&buffer[..len]) {
            Ok(decoded) => decoded,
            Err(error) => {
                log::debug!("cannot decode datagram from {from}: {error}");
                continue;
            }
        };
        let sent = send_times.estimate(node.now(), drained_at, from, stamp);
        match datagram {
            Datagram::Gossip(gossip) => on_gossip(&node, from, gossip),
            Datagram::Changes(changes) => on_changes(&node, from, sent.min(drained_at), changes),
            datagram => {
                if node.datagrams.send(Received { sent, datagram }).is_err() {
                    log::debug!("datagram from {from} dropped: its receiver is closed");
                }
            }
        }
    }
}

fn on_gossip<C: Codec>(node: &Rc<Node<C>>, from: SocketAddr, gossip: Gossip) {
    let now = node.now();
    let was_joined = node.membership.borrow().is_joined();
    let reply_owed = node.membership.borrow_mut().merge_gossip(now, &gossip);
    if !was_joined {
        // The platform publishes values without their times; only peers know when versions were
        // announced.
        let (node, peer) = (node.clone(), gossip.from.addr);
        actix_rt::spawn(async move {
            peers::pull_state(&node, peer).await;
            peers::pull_loads(&node, peer).await;
        });
    }
    let revision = node.mirror.borrow().revision();
    let rng = &mut *node.rng.borrow_mut();
    if gossip.ask || reply_owed {
        let reply = node.membership.borrow_mut().reply(now, revision, &gossip, rng);
        node.send([from], &Datagram::Gossip(reply));
    }
    if let Some(relayed) = node.membership.borrow_mut().relay(&gossip, rng) {
        node.send(relayed.recipients, &Datagram::Gossip(relayed.gossip));
    }
    if gossip.at > revision {
        actix_rt::spawn(pull_if_behind(node.clone(), gossip.from.addr, gossip.at));
    }
}

/// Forwards changes, not published before `earliest`, to the processes of the zone, which pull those
/// that exceed a datagram.
pub(super) fn forward_changes<C: Codec>(
    node: &Node<C>,
    after: Revision,
    mut delta: StateDelta,
    earliest: Option<Time>,
) {
    let size: usize = delta.changes.iter().map(estimated_size).sum();
    if size > MAX_CHANGE_BYTES {
        delta.changes.clear();
    }
    let now = node.now();
    let changes = Changes {
        after,
        delta,
        earliest: earliest.map(|earliest| now - earliest),
        current: node.freshness.borrow().age(now),
    };
    let membership = node.membership.borrow();
    let zone_peers = membership.live_in_zone().map(|member| member.addr);
    node.send(zone_peers, &Datagram::Changes(changes));
}

/// Tells the processes that may have to take over the watch that the state, `delta` being empty, is
/// still current.
pub(super) fn confirm_unchanged<C: Codec>(node: &Node<C>, delta: StateDelta) {
    let current = node.freshness.borrow().age(node.now());
    let changes = Changes { after: delta.at, delta, earliest: None, current };
    let membership = node.membership.borrow();
    let watchers = membership.next_watchers().into_iter().map(|member| member.addr);
    node.send(watchers, &Datagram::Changes(changes));
}

fn estimated_size(change: &Change) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, |value| value.len()) + CHANGE_OVERHEAD_BYTES
}

/// Applies changes that a peer forwarded at `sent` or later, or pulls its state if earlier changes
/// are missing.
fn on_changes<C: Codec>(node: &Rc<Node<C>>, from: SocketAddr, sent: Time, message: Changes) {
    let Changes { after, delta, earliest, current } = message;
    let revision = node.mirror.borrow().revision();
    let is_new = delta.at > revision;
    if is_new && (revision < after || delta.changes.is_empty()) {
        return peers::schedule_pull(node, from, delta.at);
    }
    let earliest = node.freshness.borrow().earliest_sent_change(sent, earliest);
    if let Some(age) = current {
        node.freshness.borrow_mut().record_peer(sent, age);
    }
    if is_new {
        let changes = node.update_mirror(|mirror| mirror.apply_delta(delta));
        node.apply_changes(changes, earliest, None);
    }
}

/// Pulls the state of a peer unless this process reaches `revision` within [`PULL_DELAY`]; pulls
/// at once while no state is known.
async fn pull_if_behind<C: Codec>(node: Rc<Node<C>>, peer: SocketAddr, revision: Revision) {
    if node.mirror.borrow().revision() > Revision::default() {
        actix_rt::time::sleep(PULL_DELAY.into()).await;
    }
    if node.mirror.borrow().revision() < revision {
        peers::schedule_pull(&node, peer, revision);
    }
}
