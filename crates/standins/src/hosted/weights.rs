//! Simulated origin of weights whose chunk lists can be wrong.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use actix_http::{Request, Response};
use bytes::Bytes;
use sequoiahold::http;
use sequoiahold_core::ids::Digest;
use serde_json::json;
use sha2::{Digest as _, Sha256};

use crate::reply::{self, Body, KeepAlive};

/// The model.
pub const MODEL: &str = "assist";
/// Number of chunks of a version.
pub const CHUNKS: u64 = 24;
/// Size of a chunk, in bytes.
pub const CHUNK_BYTES: usize = 8_192;

/// What is wrong with the chunk lists that the origin sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListFault {
    /// One digit of one digest is wrong.
    WrongDigest,
    /// The last digest is missing.
    Truncated,
    /// A digest too many.
    Extended,
    /// The size of a chunk is wrong.
    WrongSize,
}

/// The calls at an origin so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OriginCalls {
    /// The calls for chunk lists.
    pub lists: u32,
    /// The calls for chunks.
    pub chunks: u32,
}

/// Which calls an origin does not serve.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// It serves all versions.
    #[default]
    None,
    /// It has no version but the first: calls for others get status 404.
    NewerVersions,
    /// It has the chunk lists of all versions, but only the chunks of the first.
    NewerChunks,
    /// It refuses all calls.
    All,
}

/// A running simulated origin.
#[derive(Clone, Debug, Default)]
pub struct WeightOrigin {
    /// The keep-alive timeout that the origin announces.
    pub keep_alive: KeepAlive,
    calls: Rc<Cell<OriginCalls>>,
    fault: Rc<RefCell<Option<ListFault>>>,
    outage: Rc<Cell<Outage>>,
}

/// Returns a chunk of a version.
pub fn chunk(version: u64, number: u64) -> Bytes {
    let mut data = format!("{version}/{number};").repeat(CHUNK_BYTES / 4).into_bytes();
    data.truncate(CHUNK_BYTES);
    data.into()
}

impl WeightOrigin {
    /// Starts an origin; fails if the address cannot be bound.
    pub async fn start(addr: SocketAddr) -> anyhow::Result<Self> {
        let origin = Self::default();
        let server = origin.clone();
        http::serve(addr, move |request| {
            let origin = server.clone();
            async move { origin.keep_alive.add_to(origin.handle(&request)) }
        })
        .await?;
        Ok(origin)
    }

    /// Sets what is wrong with the chunk lists sent from now on.
    pub fn set_fault(&self, fault: Option<ListFault>) {
        *self.fault.borrow_mut() = fault;
    }

    /// Sets which calls are not served from now on.
    pub fn set_outage(&self, outage: Outage) {
        self.outage.set(outage);
    }

    /// Returns the calls so far.
    pub fn calls(&self) -> OriginCalls {
        self.calls.get()
    }

    fn handle(&self, request: &Request) -> Response<Body> {
        let number = |name| reply::query(request, name).and_then(|text| text.parse().ok());
        let (version, mut calls) = (number("version").unwrap_or(1), self.calls.get());
        let (has_list, has_chunks) = match self.outage.get() {
            Outage::None => (true, true),
            Outage::NewerVersions => (version == 1, version == 1),
            Outage::NewerChunks => (true, version == 1),
            Outage::All => return reply::status(503),
        };
        let response = match (request.path().split('/').nth(2), number("sample_count")) {
            (Some("manifest"), _) => {
                calls.lists += 1;
                if has_list { self.list(version) } else { reply::status(404) }
            }
            (Some("piece"), Some(number)) => {
                calls.chunks += 1;
                if has_chunks { reply::data(chunk(version, number)) } else { reply::status(404) }
            }
            _ => reply::status(404),
        };
        self.calls.set(calls);
        response
    }

    fn list(&self, version: u64) -> Response<Body> {
        let digest = |number| Digest::from_bytes(Sha256::digest(chunk(version, number)).into());
        let mut digests: Vec<String> =
            (0..CHUNKS).map(|number| digest(number).to_string()).collect();
        let mut size = CHUNK_BYTES;
        match *self.fault.borrow() {
            None => {}
            Some(ListFault::WrongDigest) => {
                let digit = if digests[5].starts_with('0') { "1" } else { "0" };
                digests[5].replace_range(..1, digit);
            }
            Some(ListFault::Truncated) => digests.truncate(digests.len() - 1),
            Some(ListFault::Extended) => digests.push(digest(0).to_string()),
            Some(ListFault::WrongSize) => size /= 2,
        }
        let list = json!({
            "model": MODEL, "version": version, "chunk_bytes": size, "digests": digests
        });
        reply::json(&list)
    }
}
