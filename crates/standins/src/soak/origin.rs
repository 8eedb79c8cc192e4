//! Simulated origin of the weights, whose chunks follow from their version and number.

use std::net::SocketAddr;

use actix_http::{Request, Response};
use bytes::Bytes;
use sequoiahold::http;
use sequoiahold_core::ids::Digest;
use serde_json::json;
use sha2::{Digest as _, Sha256};

use crate::reply::{self, Body};

/// Number of chunks of a version.
pub(super) const CHUNKS: u64 = 16;
/// Size of a chunk, in bytes.
const CHUNK_SIZE: usize = 8_192;

/// Returns a chunk of a version.
pub(super) fn chunk(version: u64, number: u64) -> Bytes {
    let mut data = format!("{version}/{number};").repeat(CHUNK_SIZE / 4).into_bytes();
    data.truncate(CHUNK_SIZE);
    data.into()
}

/// Starts an origin; fails if the address cannot be bound.
pub(super) async fn start(addr: SocketAddr) -> anyhow::Result<()> {
    http::serve(addr, handle).await
}

async fn handle(request: Request) -> Response<Body> {
    let number = |name| reply::query(&request, name).and_then(|text| text.parse().ok());
    let version = number("version").unwrap_or(1);
    match (request.path().split('/').nth(2), number("sample_count")) {
        (Some("manifest"), _) => {
            let digest = |number| Sha256::digest(chunk(version, number));
            let digests = (0..CHUNKS).map(|number| Digest::from_bytes(digest(number).into()));
            let digests: Vec<String> = digests.map(|digest| digest.to_string()).collect();
            let size = CHUNK_SIZE;
            reply::json(&json!({
                "model": "assist", "version": version, "chunk_bytes": size, "digests": digests
            }))
        }
        (Some("piece"), Some(number)) => reply::data(chunk(version, number)),
        _ => reply::status(404),
    }
}
