//! HTTP calls between processes for published state and chunks.

use std::{fmt, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Method, ServiceConfig, StatusCode, header::HeaderMap};
use anyhow::Context as _;
use bytes::Bytes;
use sequoiahold_core::{
    direct::{load_reports::LoadReport, mirror::Revision, platform::Codec},
    time::Time,
    units::Bytes as Size,
};

use super::{
    Node,
    state::{CACHE_LIFETIME, StateMessage},
};
use crate::h1::{
    CallerConnection, IncomingRequest, UpstreamError, accept_loop, listen, serve_requests,
    set_stream_options,
};

/// Path of the published state, followed by `?after=` and the revision known to the caller.
const SYNC_PATH: &str = "/sync";
/// Path of what is known of the loads of engines.
const LOADS_PATH: &str = "/loads";
/// Path prefix of the chunks and chunk lists that a loader holds.
pub(crate) const CHUNKS_PREFIX: &str = "/chunks/";
/// Timeout of a pull of load reports; another peer is asked after it.
const LOADS_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a pull of published state, and the maximum idle time of a reused connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the load reports of a peer.
const MAX_LOADS_BYTES: usize = 1_000_000;
/// Maximum compressed size of the published state of a peer.
const MAX_SYNC_BYTES: usize = 16_000_000;

/// Handles calls of peers below the chunks prefix.
pub trait PeerHandler: Clone + 'static {
    /// Returns the status and body for a path below the prefix.
    fn handle(&self, target: &str) -> (StatusCode, Bytes);
}

/// Handles every call with status 404.
#[derive(Clone, Copy, Debug, Default)]
pub struct NotFoundHandler;

impl PeerHandler for NotFoundHandler {
    fn handle(&self, _: &str) -> (StatusCode, Bytes) {
        (StatusCode::NOT_FOUND, Bytes::new())
    }
}

/// Starts to accept calls of peers; fails if the address cannot be bound.
pub(super) fn start<C: Codec>(node: &Rc<Node<C>>, handler: impl PeerHandler) -> anyhow::Result<()> {
    let addr = node.settings.peers;
    let listener = listen(addr).with_context(|| format!("cannot listen for peers on {addr}"))?;
    let node = node.clone();
    actix_rt::spawn(async move {
        let config = ServiceConfig::default();
        let on_connection = |stream| {
            if let Err(error) = set_stream_options(&stream) {
                log::debug!("cannot configure the connection of a peer: {error}");
            }
            let caller = CallerConnection::new(stream, config.clone());
            actix_rt::spawn(serve(node.clone(), handler.clone(), caller));
        };
        accept_loop(&listener, "peers", on_connection).await;
    });
    Ok(())
}

async fn serve<C: Codec>(node: Rc<Node<C>>, handler: impl PeerHandler, caller: CallerConnection) {
    let respond = async |request: &IncomingRequest| {
        let (status, body) = handle_request(&node, &handler, &request.target);
        if !request.target.starts_with(CHUNKS_PREFIX) || status != StatusCode::OK {
            return (status, HeaderMap::new(), body);
        }
        let Some(start) = node.reserve_upload(Size(body.len() as u64)) else {
            return (StatusCode::TOO_MANY_REQUESTS, HeaderMap::new(), Bytes::new());
        };
        node.clock.sleep_until(Some(start)).await;
        (status, HeaderMap::new(), body)
    };
    serve_requests(caller, respond).await;
}

fn handle_request<C: Codec>(
    node: &Node<C>,
    handler: &impl PeerHandler,
    target: &str,
) -> (StatusCode, Bytes) {
    if let Some(query) = target.strip_prefix(SYNC_PATH) {
        // A revision that cannot be read gets the whole state.
        let after = query.strip_prefix("?after=").and_then(|text| text.parse::<Revision>().ok());
        let (after, mirror, view) =
            (after.unwrap_or_default(), node.mirror.borrow(), node.view.borrow());
        return match node.delta_cache.borrow_mut().delta_since(node.now(), after, &mirror, &view) {
            Ok(body) => (StatusCode::OK, body),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into()),
        };
    }
    if target == LOADS_PATH {
        return match postcard::to_stdvec(&node.loads.borrow().all().collect::<Vec<_>>()) {
            Ok(body) => (StatusCode::OK, body.into()),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into()),
        };
    }
    if target.starts_with(CHUNKS_PREFIX) {
        return handler.handle(target);
    }
    (StatusCode::NOT_FOUND, Bytes::new())
}

/// Schedules a pull of the state of a peer that holds `revision`.
///
/// Only one pull runs at a time; of the pulls requested meanwhile, the one with the newest revision
/// is next, unless this process has reached that revision by then.
pub(super) fn schedule_pull<C: Codec>(node: &Rc<Node<C>>, peer: SocketAddr, revision: Revision) {
    if node.pending_pull.get().is_none_or(|(known, _)| known < revision) {
        node.pending_pull.set(Some((revision, peer)));
    }
    if node.pulling.replace(true) {
        return;
    }
    let node = node.clone();
    actix_rt::spawn(async move {
        while let Some((revision, peer)) = node.pending_pull.take() {
            if node.mirror.borrow().revision() < revision {
                pull_state(&node, peer).await;
            }
        }
        node.pulling.set(false);
    });
}

/// Pulls the changes of the published state that this process lacks from a peer.
pub(super) async fn pull_state<C: Codec>(node: &Node<C>, peer: SocketAddr) {
    let started = node.now();
    let after = node.mirror.borrow().revision();
    let target = format!("{SYNC_PATH}?after={after}");
    let call = get_from_peer(node, peer, &target, MAX_SYNC_BYTES);
    let body = actix_rt::time::timeout(CALL_TIMEOUT, call).await;
    let state = body.context("no answer in time").and_then(|body| StateMessage::decode(&body?));
    match state {
        Ok(StateMessage { delta, announced, sightings }) => {
            let (earliest, current_at) = {
                let freshness = node.freshness.borrow();
                (freshness.earliest_change(), freshness.current_at())
            };
            node.merge_announcements(started, current_at, announced);
            let changes = node.update_mirror(|mirror| mirror.apply_delta(delta));
            if !changes.is_empty() {
                let revision = node.mirror.borrow().revision().number;
                let peer = peer.to_string();
                log::info!(peer = peer.as_str(), revision, changes = changes.len(); "state from a peer");
            }
            node.apply_changes(changes, earliest, None);
            node.merge_sightings(Time(started.0.saturating_sub(CACHE_LIFETIME.0)), sightings);
        }
        Err(error) => log::debug!("cannot pull the published state from {peer}: {error:#}"),
    }
}

/// Pulls what a peer knows of the loads of engines.
pub(crate) async fn pull_loads<C: Codec>(node: &Node<C>, peer: SocketAddr) {
    let call = get_from_peer(node, peer, LOADS_PATH, MAX_LOADS_BYTES);
    let body = actix_rt::time::timeout(LOADS_TIMEOUT, call).await;
    let reports = body.context("no answer in time").and_then(|body| {
        let body = body?;
        postcard::from_bytes::<Vec<LoadReport>>(&body).context("cannot decode load reports")
    });
    match reports {
        Ok(reports) => node.merge_loads(reports),
        Err(error) => log::debug!("cannot pull load reports from {peer}: {error:#}"),
    }
}

/// The reason why a call to a peer failed.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The peer does not hold the requested data.
    Absent,
    /// Too many uploads are queued for the link of the peer.
    Busy,
    /// The peer gave no usable response.
    Failed(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("the peer does not hold the requested data"),
            Self::Busy => f.write_str("too many uploads are queued at the peer"),
            Self::Failed(fault) => f.write_str(fault),
        }
    }
}

impl std::error::Error for CallError {}

impl From<io::Error> for CallError {
    fn from(error: io::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

impl From<UpstreamError> for CallError {
    fn from(error: UpstreamError) -> Self {
        Self::Failed(error.to_string())
    }
}

/// Sends a GET request to a peer and returns the body of the response, at most `max_bytes` long.
pub(crate) async fn get_from_peer<C>(
    node: &Node<C>,
    peer: SocketAddr,
    target: &str,
    max_bytes: usize,
) -> Result<Bytes, CallError> {
    let mut upstream = node.pool.get_or_open(peer, CALL_TIMEOUT, &[]).await?;
    let (response, body) =
        upstream.exchange(Method::GET, target, HeaderMap::new(), &Bytes::new(), max_bytes).await?;
    node.pool.release(upstream);
    match response.status {
        StatusCode::OK => Ok(body),
        StatusCode::NOT_FOUND => Err(CallError::Absent),
        StatusCode::TOO_MANY_REQUESTS => Err(CallError::Busy),
        status => Err(CallError::Failed(format!("unexpected status {status}"))),
    }
}
