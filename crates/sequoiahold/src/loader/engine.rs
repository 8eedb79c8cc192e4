//! Calls to the engine on the same VM.

use std::{net::SocketAddr, time::Duration};

use actix_http::{Method, ServiceConfig, StatusCode, header::HeaderMap};
use actix_rt::time::timeout;
use anyhow::Context as _;
use bytes::Bytes;
use sequoiahold_core::{
    direct::platform::{Codec, EngineReport, LoadOrder},
    ids::ModelId,
};

use crate::h1::{Pool, PoolLimits};

/// Time that a call may take; both ends are on one VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest answer that is read.
const MAX_ANSWER_BYTES: usize = 16_000_000;

/// What an engine made of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderReply {
    /// It has begun.
    Begun,
    /// It is in effect already.
    InEffect,
    /// It does not fit the engine's state.
    Rejected(StatusCode),
}

/// The engine on the same VM.
pub(super) struct Engine<C> {
    codec: C,
    addr: SocketAddr,
    pool: Pool,
}

impl<C: Codec> Engine<C> {
    /// Returns the engine at an address.
    pub(super) fn new(codec: C, addr: SocketAddr, config: ServiceConfig) -> Self {
        let pool = Pool::new(config, PoolLimits { connect: CALL_TIMEOUT, idle: 1 });
        Self { codec, addr, pool }
    }

    /// Asks the engine what it holds and does.
    pub(super) async fn fetch_report(&self) -> anyhow::Result<EngineReport> {
        let path = self.codec.report_path();
        let (status, body) = self.call(Method::GET, path, Bytes::new()).await?;
        anyhow::ensure!(status == StatusCode::OK, "report: status {status}");
        Ok(self.codec.decode_report(&body)?)
    }

    /// Stages a chunk.
    pub(super) async fn put(
        &self,
        model: &ModelId,
        chunk: usize,
        data: Bytes,
    ) -> anyhow::Result<()> {
        let path = self.codec.stage_put_path(model, chunk);
        let (status, _) = self.call(Method::PUT, &path, data).await?;
        anyhow::ensure!(status.is_success(), "staging chunk {chunk}: status {status}");
        Ok(())
    }

    /// Reads a staged chunk back; `None` where there is none.
    pub(super) async fn get(&self, model: &ModelId, chunk: usize) -> anyhow::Result<Option<Bytes>> {
        let path = self.codec.stage_get_path(model, chunk);
        let (status, body) = self.call(Method::GET, &path, Bytes::new()).await?;
        Ok((status == StatusCode::OK).then_some(body))
    }

    /// Orders the engine to load what is staged.
    pub(super) async fn send_order(&self, order: &LoadOrder) -> anyhow::Result<OrderReply> {
        let body = self.codec.encode_order(order);
        let (status, _) = self.call(Method::POST, self.codec.order_path(), body).await?;
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
        let call = self.exchange(method, path, body);
        timeout(CALL_TIMEOUT, call).await.context("no answer in time").flatten().context(request)
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let mut upstream = self.pool.get(self.addr, Duration::MAX).await?;
        let mut headers = HeaderMap::new();
        if !body.is_empty() {
            let json = actix_http::header::HeaderValue::from_static("application/json");
            headers.insert(actix_http::header::CONTENT_TYPE, json);
        }
        let answer = upstream.call(method, path, headers, &body, MAX_ANSWER_BYTES).await?;
        self.pool.put(upstream);
        Ok(answer)
    }
}
