//! Calls between processes: published state and chunks.

use std::{fmt, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Method, ServiceConfig, StatusCode, header::HeaderMap};
use anyhow::Context as _;
use bytes::Bytes;
use sequoiahold_core::{
    direct::{mirror::Revision, platform::Codec},
    units::Bytes as Size,
};

use super::{Node, state::State};
use crate::h1::{
    CallerConnection, IncomingRequest, UpstreamError, accept_loop, listen, serve_requests,
    set_stream_options,
};

/// Path of the published state.
const SYNC: &str = "/sync";
/// Prefix of what a loader holds.
pub(crate) const CHUNKS: &str = "/chunks/";
/// Time that a call to a peer may take.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest published state that is taken from a peer.
const MAX_SYNC: usize = 16_000_000;

/// Answers calls of peers beyond those for the published state.
pub trait PeerCalls: Clone + 'static {
    /// Returns the status and body for a path below the prefix of chunks.
    fn answer(&self, target: &str) -> (StatusCode, Bytes);
}

/// Answers no further calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoCalls;

impl PeerCalls for NoCalls {
    fn answer(&self, _: &str) -> (StatusCode, Bytes) {
        (StatusCode::NOT_FOUND, Bytes::new())
    }
}

/// Starts to answer peers.
pub(super) fn start<D: Codec>(node: &Rc<Node<D>>, calls: impl PeerCalls) -> anyhow::Result<()> {
    let addr = node.settings.peers;
    let listener = listen(addr).with_context(|| format!("cannot listen for peers on {addr}"))?;
    let node = node.clone();
    actix_rt::spawn(async move {
        let config = ServiceConfig::default();
        let take = |stream| {
            if let Err(error) = set_stream_options(&stream) {
                log::debug!("connection of a peer: {error}");
            }
            let caller = CallerConnection::new(stream, config.clone());
            actix_rt::spawn(serve(node.clone(), calls.clone(), caller));
        };
        accept_loop(&listener, "peers", take).await;
    });
    Ok(())
}

async fn serve<D: Codec>(node: Rc<Node<D>>, calls: impl PeerCalls, caller: CallerConnection) {
    let answer = async |request: &IncomingRequest| {
        let (status, body) = answer(&node, &calls, &request.target);
        if !request.target.starts_with(CHUNKS) || status != StatusCode::OK {
            return (status, HeaderMap::new(), body);
        }
        let Some(at) = node.upload_at(Size(body.len() as u64)) else {
            return (StatusCode::TOO_MANY_REQUESTS, HeaderMap::new(), Bytes::new());
        };
        node.clock.sleep_until(Some(at)).await;
        (status, HeaderMap::new(), body)
    };
    serve_requests(caller, answer).await;
}

fn answer<D: Codec>(node: &Node<D>, calls: &impl PeerCalls, target: &str) -> (StatusCode, Bytes) {
    if let Some(query) = target.strip_prefix(SYNC) {
        let after = query.strip_prefix("?after=").and_then(|text| text.parse().ok());
        let (after, mirror, view) =
            (Revision(after.unwrap_or(0)), node.mirror.borrow(), node.view.borrow());
        return match node.packed.borrow_mut().since(node.now(), after, &mirror, &view) {
            Ok(body) => (StatusCode::OK, body),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into()),
        };
    }
    if target.starts_with(CHUNKS) {
        return calls.answer(target);
    }
    (StatusCode::NOT_FOUND, Bytes::new())
}

/// Takes what a peer knows up to `at`; while one pull runs, the newest peer told of is next.
pub(super) fn follow<D: Codec>(node: &Rc<Node<D>>, peer: SocketAddr, at: Revision) {
    if node.ahead.get().is_none_or(|(known, _)| known < at) {
        node.ahead.set(Some((at, peer)));
    }
    if node.pulling.replace(true) {
        return;
    }
    let node = node.clone();
    actix_rt::spawn(async move {
        while let Some((at, peer)) = node.ahead.take() {
            if node.mirror.borrow().revision() < at {
                pull(&node, peer).await;
            }
        }
        node.pulling.set(false);
    });
}

/// Takes from a peer what this process lacks of the published state.
pub(super) async fn pull<D: Codec>(node: &Node<D>, peer: SocketAddr) {
    let after = node.mirror.borrow().revision();
    let target = format!("{SYNC}?after={after}");
    let call = get(node, peer, &target, MAX_SYNC);
    let body = actix_rt::time::timeout(TIMEOUT, call).await;
    let state = body.context("no answer in time").and_then(|body| State::unpack(&body?));
    match state {
        Ok(State { sync, named }) => {
            let now = node.now();
            named
                .into_iter()
                .for_each(|named| node.view.borrow_mut().merge_announcement(now, named));
            let changes = node.mirror.borrow_mut().apply_delta(sync);
            if !changes.is_empty() {
                let revision = node.mirror.borrow().revision().0;
                let peer = peer.to_string();
                log::info!(peer = peer.as_str(), revision, changes = changes.len(); "state from a peer");
            }
            node.take(changes, false);
        }
        Err(error) => log::debug!("published state of {peer}: {error:#}"),
    }
}

/// Why a peer gave nothing.
#[derive(Debug)]
pub(crate) enum CallError {
    /// It does not have what was asked for.
    Absent,
    /// Too many calls wait for its link.
    Busy,
    /// It gave no sound answer.
    Failed(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("the peer does not have it"),
            Self::Busy => f.write_str("too many calls wait for the peer's link"),
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

/// Calls a peer and returns the body of its answer.
pub(crate) async fn get<D>(
    node: &Node<D>,
    peer: SocketAddr,
    target: &str,
    most: usize,
) -> Result<Bytes, CallError> {
    let mut upstream = node.pool.get_or_open(peer, TIMEOUT).await?;
    let (status, body) =
        upstream.exchange(Method::GET, target, HeaderMap::new(), &Bytes::new(), most).await?;
    node.pool.release(upstream);
    match status {
        StatusCode::OK => Ok(body),
        StatusCode::NOT_FOUND => Err(CallError::Absent),
        StatusCode::TOO_MANY_REQUESTS => Err(CallError::Busy),
        status => Err(CallError::Failed(format!("status {status}"))),
    }
}
