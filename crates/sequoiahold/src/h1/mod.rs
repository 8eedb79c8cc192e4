//! HTTP/1.1 connections on the codecs of `actix-http`.
//!
//! `awc` and the dispatcher of `actix-http` do not report when a caller disconnects, which bytes of
//! a request were sent, or whether a response without a length was complete. A gateway bases its
//! decisions on all three.

mod body;
mod caller;
mod connect;
mod pool;
mod upstream;

use actix_http::header::{self, HeaderMap};

pub use self::{
    body::{Allowance, Unlimited},
    caller::{
        CallerConnection, IncomingRequest, Received, RequestReader, ResponseWriter, serve_requests,
    },
    connect::{accept_loop, connect, listen, set_stream_options},
    pool::{ConnectionPool, PoolLimits},
    upstream::{SendError, Upstream, UpstreamError, UpstreamResponse},
};

/// Headers that are not forwarded, as they apply to a single connection.
const HOP_BY_HOP: [header::HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the headers to forward: all but the hop-by-hop headers and those listed in `Connection`.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let listed = |name: &str| {
        let mut values = headers.get_all(header::CONNECTION);
        values.any(|value| {
            let text = value.to_str().unwrap_or_default();
            text.split(',').any(|token| token.trim().eq_ignore_ascii_case(name))
        })
    };
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter() {
        let is_hop_by_hop = HOP_BY_HOP.contains(name)
            || name.as_str() == "keep-alive"
            || name.as_str() == "proxy-connection"
            || listed(name.as_str());
        if !is_hop_by_hop {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
