//! Client for the engine on the same VM.

use std::{net::SocketAddr, time::Duration};

use actix_http::{Method, ServiceConfig, StatusCode, header::HeaderMap};
use actix_rt::time::timeout;
use anyhow::Context as _;
use bytes::Bytes;
use sequoiahold_core::{
    direct::platform::{Codec, EngineReport, LoadOrder},
    ids::ModelId,
};

use crate::h1::{ConnectionPool, PoolLimits, Upstream};

/// Timeout of a call; both ends are on one VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of concurrent calls, so that a check of all chunks is short also where each read
/// is slow.
pub(super) const MAX_CONCURRENT_CALLS: usize = 12;
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 16_000_000;

/// The reply of the engine to an order; the loader logs the variant names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderReply {
    /// The order has begun.
    Begun,
    /// The order is already in effect.
    InEffect,
    /// The order does not match the state of the engine.
    Rejected(StatusCode),
}

/// The client for the engine on the same VM.
pub(super) struct Engine<C> {
    codec: C,
    addr: SocketAddr,
    pool: ConnectionPool,
}

impl<C: Codec> Engine<C> {
    /// Returns a client for the engine at an address.
    pub(super) fn new(codec: C, addr: SocketAddr, config: ServiceConfig) -> Self {
        let limits = PoolLimits { connect_timeout: CALL_TIMEOUT, max_idle: MAX_CONCURRENT_CALLS };
        let pool = ConnectionPool::new(config, limits);
        Self { codec, addr, pool }
    }

    /// Probes the engine and returns its status report; fails without a valid response in time.
    pub(super) async fn probe(&self) -> anyhow::Result<EngineReport> {
        let path = self.codec.report_path();
        let (status, body) = self.call(Method::GET, path, Bytes::new()).await?;
        anyhow::ensure!(status == StatusCode::OK, "status report failed with status {status}");
        Ok(self.codec.decode_report(&body)?)
    }

    /// Stages a chunk at the engine.
    pub(super) async fn put(
        &self,
        model: &ModelId,
        chunk: usize,
        data: Bytes,
    ) -> anyhow::Result<()> {
        let path = self.codec.stage_put_path(model, chunk);
        let (status, _) = self.call(Method::PUT, &path, data).await?;
        anyhow::ensure!(status.is_success(), "staging chunk {chunk} failed with status {status}");
        Ok(())
    }

    /// Reads a staged chunk back, `None` if the engine does not return one.
    pub(super) async fn get(&self, model: &ModelId, chunk: usize) -> anyhow::Result<Option<Bytes>> {
        let path = self.codec.stage_get_path(model, chunk);
        let (status, body) = self.call(Method::GET, &path, Bytes::new()).await?;
        Ok((status == StatusCode::OK).then_some(body))
    }

    /// Sends the order to load the staged chunks; after an error the order may still take effect.
    ///
    /// It gets a connection of its own, as a late answer to another call would be taken for its reply.
    pub(super) async fn send_order(&self, order: &LoadOrder) -> anyhow::Result<OrderReply> {
        let (path, body) = (self.codec.order_path(), self.codec.encode_order(order));
        let call = async {
            let upstream = self.pool.open(self.addr).await?;
            self.exchange(upstream, Method::POST, path, body).await.map(|(status, _, _)| status)
        };
        let status = in_time(call, format!("POST {path}")).await?;
        Ok(match status {
            StatusCode::ACCEPTED => OrderReply::Begun,
            StatusCode::OK => OrderReply::InEffect,
            status => OrderReply::Rejected(status),
        })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let request = format!("{method} {path}");
        let call = async {
            let upstream = self.pool.get_or_open(self.addr, Duration::MAX, &[]).await?;
            let (status, body, upstream) = self.exchange(upstream, method, path, body).await?;
            self.pool.release(upstream);
            Ok((status, body))
        };
        in_time(call, request).await
    }

    async fn exchange(
        &self,
        mut upstream: Upstream,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<(StatusCode, Bytes, Upstream)> {
        let mut headers = HeaderMap::new();
        if !body.is_empty() {
            let json = actix_http::header::HeaderValue::from_static("application/json");
            headers.insert(actix_http::header::CONTENT_TYPE, json);
        }
        let (response, body) =
            upstream.exchange(method, path, headers, &body, MAX_RESPONSE_BYTES).await?;
        Ok((response.status, body, upstream))
    }
}

/// Returns the result of a call; fails after [`CALL_TIMEOUT`]. Errors name the request.
async fn in_time<T>(
    call: impl Future<Output = anyhow::Result<T>>,
    request: String,
) -> anyhow::Result<T> {
    timeout(CALL_TIMEOUT, call).await.context("no answer in time").flatten().context(request)
}
