//! Simulated weight store that refuses calls above its rate limit.

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
use sequoiahold_core::ids::Digest;

use crate::{
    content::Content,
    reply::{self, Body},
};

/// Period over which calls are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// State that tests set and read.
#[derive(Debug)]
pub struct State {
    /// The blobs by digest: chunks and manifests.
    pub blobs: BTreeMap<Digest, Bytes>,
    /// The bytes sent.
    pub bytes_sent: u64,
    /// The number of calls refused above the rate limit.
    pub refused: u64,
    window_start: Instant,
    window_calls: u32,
}

/// A running simulated weight store, with the same paths as the origin.
#[derive(Clone, Debug)]
pub struct Store {
    /// The state, shared with the server.
    pub state: Rc<RefCell<State>>,
    rate: u32,
}

impl Store {
    /// Starts the store on `addr`, with a limit of `rate` calls per second.
    pub async fn start(addr: SocketAddr, rate: u32) -> anyhow::Result<Self> {
        let (blobs, window_start) = (BTreeMap::new(), Instant::now());
        let state = State { blobs, bytes_sent: 0, refused: 0, window_start, window_calls: 0 };
        let store = Self { state: Rc::new(RefCell::new(state)), rate };
        let server = store.clone();
        http::serve(addr, move |request| {
            let response = server.handle(&request);
            async move { response }
        })
        .await?;
        Ok(store)
    }

    /// Adds the chunks and the manifest of a version.
    pub fn add(&self, content: &Content) {
        let mut state = self.state.borrow_mut();
        let manifest = content.manifest.to_json();
        state.blobs.insert(Digest::of(&manifest), Bytes::from(manifest));
        let chunks = content.chunks.iter().map(|(digest, data)| (*digest, data.clone()));
        state.blobs.extend(chunks);
    }

    fn handle(&self, request: &Request) -> Response<Body> {
        let mut state = self.state.borrow_mut();
        if state.window_start.elapsed() >= RATE_WINDOW {
            (state.window_start, state.window_calls) = (Instant::now(), 0);
        }
        state.window_calls += 1;
        if state.window_calls > self.rate {
            state.refused += 1;
            return reply::retry_after(429, RATE_WINDOW.as_secs());
        }
        let digest = request.path().strip_prefix("/v1/blobs/").and_then(|d| d.parse().ok());
        let blob = digest.and_then(|digest: Digest| state.blobs.get(&digest).cloned());
        let Some(blob) = blob else { return reply::status(404) };
        state.bytes_sent += blob.len() as u64;
        reply::data(blob)
    }
}
