//! Drawing manifests and chunks from the origin and from peers.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use awc::{Client, http::header::RETRY_AFTER};
use bytes::Bytes;
use sequoiahold_core::{
    endpoint::BlobSource as Place,
    ids::{Digest, VmId},
    proto::{Beat, Call, MAX_MESSAGE, Reply},
    units::{Bytes as Size, Span},
    weights::{Manifest, Pacer, PullError},
};

use crate::{
    clock::Clock,
    net::{PeerConnections, call},
};

/// Time that a manifest or an answer about chunks may take.
const DRAW: Span = Span::secs(10);
/// Pause of a place that refuses without saying how long.
const PAUSE: Span = Span::secs(1);
/// HTTP status of a place whose rate limit is reached.
const TOO_MANY: u16 = 429;
/// HTTP status of a place that is out of service for now.
const UNAVAILABLE: u16 = 503;

/// Draws blobs by digest.
#[derive(Clone)]
pub struct Drawer {
    client: Client,
    links: PeerConnections,
    origin: String,
    clock: Clock,
    pacer: Rc<RefCell<Pacer>>,
}

impl Drawer {
    /// Returns a drawer for the origin at this base address, paced by `pacer`.
    pub fn new(
        links: PeerConnections,
        origin: &str,
        clock: Clock,
        pacer: Rc<RefCell<Pacer>>,
    ) -> Self {
        let client = Client::builder().disable_timeout().finish();
        Self { client, links, origin: origin.trim_end_matches('/').to_owned(), clock, pacer }
    }

    /// Draws one chunk of `size` bytes within a time, once the pace allows it.
    pub async fn chunk(
        &self,
        digest: Digest,
        size: Size,
        place: &Place,
        timeout: Span,
    ) -> Result<Bytes, PullError> {
        let start = self.pacer.borrow_mut().reserve(self.clock.now(), size);
        self.clock.sleep_until(Some(start)).await;
        self.draw(digest, place, timeout).await
    }

    async fn draw(&self, digest: Digest, place: &Place, timeout: Span) -> Result<Bytes, PullError> {
        let drawn = async {
            match place {
                Place::Origin => self.origin_blob(digest).await,
                Place::Peer(vm, addr) => self.peer_blob(digest, vm, *addr).await,
            }
        };
        let drawn = actix_rt::time::timeout(Duration::from(timeout), drawn).await;
        drawn.unwrap_or(Err(PullError::Silent))
    }

    /// Draws and checks a manifest, from the first place that gives it.
    pub async fn manifest(&self, digest: Digest, places: &[Place]) -> Option<Manifest> {
        for place in places {
            let text = self.draw(digest, place, DRAW).await;
            let manifest = text.ok().and_then(|text| Manifest::parse(&text, digest).ok());
            if manifest.is_some() {
                return manifest;
            }
        }
        None
    }

    /// Asks a peer which chunks of a manifest it holds.
    pub async fn have(&self, manifest: Digest, vm: &VmId, addr: SocketAddr) -> Option<Vec<u8>> {
        let asked = async {
            let connection = self.links.acquire(vm, addr).await.ok()?;
            match call(&connection, &Call::Have(manifest)).await {
                Ok(Reply::Have(bits)) => Some(bits),
                _ => None,
            }
        };
        actix_rt::time::timeout(Duration::from(DRAW), asked).await.ok().flatten()
    }

    /// Asks a peer for its state.
    pub async fn beat(&self, own: Box<Beat>, vm: &VmId, addr: SocketAddr) -> Option<Box<Beat>> {
        let asked = async {
            let connection = self.links.acquire(vm, addr).await.ok()?;
            match call(&connection, &Call::Beat(own)).await {
                Ok(Reply::Beat(beat)) => Some(beat),
                _ => None,
            }
        };
        actix_rt::time::timeout(Duration::from(DRAW), asked).await.ok().flatten()
    }

    async fn origin_blob(&self, digest: Digest) -> Result<Bytes, PullError> {
        let url = format!("{}/v1/blobs/{digest}", self.origin);
        let mut response = self.client.get(url).send().await.map_err(|_| PullError::Silent)?;
        match response.status().as_u16() {
            200..300 => response.body().limit(MAX_MESSAGE).await.map_err(|_| PullError::Silent),
            TOO_MANY | UNAVAILABLE => {
                let header = response.headers().get(RETRY_AFTER);
                let pause = header.and_then(|value| value.to_str().ok()?.parse().ok());
                Err(PullError::Later(pause.map_or(PAUSE, Span::secs)))
            }
            _ => Err(PullError::Absent),
        }
    }

    async fn peer_blob(
        &self,
        digest: Digest,
        vm: &VmId,
        addr: SocketAddr,
    ) -> Result<Bytes, PullError> {
        let connection = self.links.acquire(vm, addr).await.map_err(|_| PullError::Silent)?;
        match call(&connection, &Call::Chunk(digest)).await {
            Ok(Reply::Chunk(Some(chunk))) => Ok(chunk),
            Ok(Reply::Chunk(None)) => Err(PullError::Absent),
            Ok(Reply::Later(pause)) => Err(PullError::Later(pause)),
            _ => {
                self.links.close(vm);
                Err(PullError::Silent)
            }
        }
    }
}
