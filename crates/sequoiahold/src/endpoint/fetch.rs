//! Fetching of manifests and pulling of chunks from the origin and from peers.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime},
};

use awc::{Client, http::header::RETRY_AFTER};
use bytes::Bytes;
use sequoiahold_core::{
    direct::pause::PauseRequest,
    endpoint::BlobSource,
    ids::{Digest, VmId},
    proto::{Call, Heartbeat, MAX_MESSAGE_BYTES, Reply},
    units::{Bytes as Size, Span},
    weights::{Manifest, Pacer, PullError},
};

use crate::{
    clock::Clock,
    net::{PeerConnections, call},
};

/// Timeout for a manifest, a chunk bitmap or a heartbeat.
const FETCH_TIMEOUT: Span = Span::secs(10);
/// Retry delay of an origin that refuses a request without a `retry-after` header.
const DEFAULT_RETRY_DELAY: Span = Span::secs(1);
/// Longest retry delay that is kept: past it one call asks the origin again, so that an absurd value
/// does not end a rollout.
const MAX_RETRY_DELAY: Span = Span::secs(60);
/// HTTP status of an origin whose rate limit is reached.
const TOO_MANY_REQUESTS: u16 = 429;
/// HTTP status of an origin that is temporarily out of service.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Fetches manifests and pulls chunks, both as blobs by digest.
#[derive(Clone)]
pub struct BlobFetcher {
    client: Client,
    connections: PeerConnections,
    origin: String,
    clock: Clock,
    pacer: Rc<RefCell<Pacer>>,
}

impl BlobFetcher {
    /// Returns a fetcher for the origin at this base URL, paced by `pacer`.
    pub fn new(
        connections: PeerConnections,
        origin: &str,
        clock: Clock,
        pacer: Rc<RefCell<Pacer>>,
    ) -> Self {
        let client = Client::builder().disable_timeout().finish();
        Self { client, connections, origin: origin.trim_end_matches('/').to_owned(), clock, pacer }
    }

    /// Waits until the pacer allows a chunk of `size` bytes, then pulls it within `timeout`.
    pub async fn pull_chunk(
        &self,
        digest: Digest,
        size: Size,
        source: &BlobSource,
        timeout: Span,
    ) -> Result<Bytes, PullError> {
        let start = self.pacer.borrow_mut().reserve(self.clock.now(), size);
        self.clock.sleep_until(Some(start)).await;
        self.get(digest, source, timeout).await
    }

    async fn get(&self, blob: Digest, src: &BlobSource, timeout: Span) -> Result<Bytes, PullError> {
        let fetched = async {
            match src {
                BlobSource::Origin => self.fetch_from_origin(blob).await,
                BlobSource::Peer(vm, addr) => self.fetch_from_peer(blob, vm, *addr).await,
            }
        };
        let fetched = actix_rt::time::timeout(Duration::from(timeout), fetched).await;
        fetched.unwrap_or(Err(PullError::Silent))
    }

    /// Fetches and verifies a manifest from the first source that has it.
    pub async fn fetch_manifest(&self, digest: Digest, sources: &[BlobSource]) -> Option<Manifest> {
        for source in sources {
            let text = self.get(digest, source, FETCH_TIMEOUT).await;
            let manifest = text.ok().and_then(|text| Manifest::parse(&text, digest).ok());
            if manifest.is_some() {
                return manifest;
            }
        }
        None
    }

    /// Requests the bitmap of the chunks that a peer holds of the manifest with this digest.
    pub async fn get_bitmap(&self, digest: Digest, vm: &VmId, addr: SocketAddr) -> Option<Vec<u8>> {
        let exchange = async {
            let connection = self.connections.acquire(vm, addr).await.ok()?;
            match call(&connection, &Call::HeldChunks(digest)).await {
                Ok(Reply::HeldChunks(bitmap)) => Some(bitmap),
                _ => None,
            }
        };
        actix_rt::time::timeout(Duration::from(FETCH_TIMEOUT), exchange).await.ok().flatten()
    }

    /// Sends a heartbeat to a peer and returns the peer's own.
    pub async fn exchange_heartbeat(
        &self,
        own: Box<Heartbeat>,
        vm: &VmId,
        addr: SocketAddr,
    ) -> Option<Box<Heartbeat>> {
        let exchange = async {
            let connection = self.connections.acquire(vm, addr).await.ok()?;
            match call(&connection, &Call::Heartbeat(own)).await {
                Ok(Reply::Heartbeat(heartbeat)) => Some(heartbeat),
                _ => None,
            }
        };
        actix_rt::time::timeout(Duration::from(FETCH_TIMEOUT), exchange).await.ok().flatten()
    }

    async fn fetch_from_origin(&self, digest: Digest) -> Result<Bytes, PullError> {
        let url = format!("{}/v1/blobs/{digest}", self.origin);
        let mut response = self.client.get(url).send().await.map_err(|_| PullError::Silent)?;
        match response.status().as_u16() {
            200..300 => {
                response.body().limit(MAX_MESSAGE_BYTES).await.map_err(|_| PullError::Silent)
            }
            TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE => {
                let header = response.headers().get(RETRY_AFTER);
                let text = header.and_then(|value| value.to_str().ok());
                Err(PullError::Later(retry_delay(text, SystemTime::now())))
            }
            _ => Err(PullError::Absent),
        }
    }

    async fn fetch_from_peer(
        &self,
        digest: Digest,
        vm: &VmId,
        addr: SocketAddr,
    ) -> Result<Bytes, PullError> {
        let connection = self.connections.acquire(vm, addr).await.map_err(|_| PullError::Silent)?;
        match call(&connection, &Call::Chunk(digest)).await {
            Ok(Reply::Chunk(Some(chunk))) => Ok(chunk),
            Ok(Reply::Chunk(None)) => Err(PullError::Absent),
            Ok(Reply::Busy(delay)) => Err(PullError::Later(delay)),
            _ => {
                self.connections.close(vm);
                Err(PullError::Silent)
            }
        }
    }
}

/// Returns the delay after which an origin that refused a call is asked again.
pub fn retry_delay(header: Option<&str>, wall: SystemTime) -> Span {
    let delay = header.map(|text| PauseRequest::decode(text, wall).span());
    delay.map_or(DEFAULT_RETRY_DELAY, |delay| delay.min(MAX_RETRY_DELAY))
}
