//! Simulated origin of weights, behind one link of limited rate.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{Request, Response};
use bytes::Bytes;
use sequoiahold::http;
use sequoiahold_core::{
    ids::Digest,
    units::{self, ByteRate},
};

use crate::{
    content::Content,
    reply::{self, Body},
};

/// Time between two checks of whether a stall has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// State that tests set and read.
#[derive(Debug)]
pub struct State {
    /// The blobs by digest: chunks and manifests.
    pub blobs: BTreeMap<Digest, Bytes>,
    /// The bytes sent.
    pub bytes_sent: u64,
    /// The share of blobs sent with a corrupted byte, in thousandths.
    pub corrupt_permille: u64,
    /// The number of blobs sent with a corrupted byte.
    pub corrupted: u64,
    /// Whether answers are held back until this is false again.
    pub stalled: bool,
    blobs_sent: u64,
    link_free: Instant,
}

/// A running simulated origin.
#[derive(Clone, Debug)]
pub struct Origin {
    /// The state, shared with the server.
    pub state: Rc<RefCell<State>>,
    rate: ByteRate,
}

impl Origin {
    /// Starts the origin on `addr`, with a link of `rate`.
    pub async fn start(addr: SocketAddr, rate: ByteRate) -> anyhow::Result<Self> {
        let state = State {
            blobs: BTreeMap::new(),
            bytes_sent: 0,
            corrupt_permille: 0,
            corrupted: 0,
            stalled: false,
            blobs_sent: 0,
            link_free: Instant::now(),
        };
        let origin = Self { state: Rc::new(RefCell::new(state)), rate };
        let server = origin.clone();
        http::serve(addr, move |request| server.clone().handle(request)).await?;
        Ok(origin)
    }

    /// Adds the chunks and the manifest of a version.
    pub fn add(&self, content: &Content) {
        let mut state = self.state.borrow_mut();
        let chunks = content.chunks.iter().map(|(digest, data)| (*digest, data.clone()));
        state.blobs.extend(chunks);
        let manifest = content.manifest.to_json();
        state.blobs.insert(Digest::of(&manifest), Bytes::from(manifest));
    }

    async fn handle(self, request: Request) -> Response<Body> {
        let digest = request.path().strip_prefix("/v1/blobs/").and_then(|d| d.parse().ok());
        let blob = digest.and_then(|d: Digest| self.state.borrow().blobs.get(&d).cloned());
        let Some(blob) = blob else { return reply::status(404) };
        let sent = self.reserve_link(blob.len() as u64);
        actix_rt::time::sleep_until(sent.into()).await;
        while self.state.borrow().stalled {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        reply::data(self.corrupt_some(blob))
    }

    /// Returns the blob to send, with a corrupted byte in the share that the test sets.
    fn corrupt_some(&self, blob: Bytes) -> Bytes {
        let mut state = self.state.borrow_mut();
        state.blobs_sent += 1;
        let before = (state.blobs_sent - 1) * state.corrupt_permille / 1_000;
        if state.blobs_sent * state.corrupt_permille / 1_000 == before || blob.is_empty() {
            return blob;
        }
        state.corrupted += 1;
        let mut corrupted = blob.to_vec();
        let middle = corrupted.len() / 2;
        corrupted[middle] ^= 1;
        Bytes::from(corrupted)
    }

    fn reserve_link(&self, size: u64) -> Instant {
        let mut state = self.state.borrow_mut();
        let start = state.link_free.max(Instant::now());
        state.link_free = start + Duration::from(self.rate.transfer_time(units::Bytes(size)));
        state.bytes_sent += size;
        state.link_free
    }
}
