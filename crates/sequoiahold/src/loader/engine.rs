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

use crate::h1::{ConnectionPool, PoolLimits};

/// Time that a call may take; both ends are on one VM.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest answer that is read.
const MAX_ANSWER: usize = 16_000_000;

/// What an engine made of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ordered {
    /// It has begun.
    Begun,
    /// It is in effect already.
    InEffect,
    /// It does not fit the engine's state.
    Rejected(StatusCode),
}

/// The engine on the same VM.
pub(super) struct Engine<D> {
    dialect: D,
    addr: SocketAddr,
    pool: ConnectionPool,
}

impl<D: Codec> Engine<D> {
    /// Returns the engine at an address.
    pub(super) fn new(dialect: D, addr: SocketAddr, config: ServiceConfig) -> Self {
        let pool =
            ConnectionPool::new(config, PoolLimits { connect_timeout: TIMEOUT, max_idle: 1 });
        Self { dialect, addr, pool }
    }

    /// Asks the engine what it holds and does.
    pub(super) async fn report(&self) -> anyhow::Result<EngineReport> {
        let path = self.dialect.report_path();
        let (status, body) = self.call(Method::GET, path, Bytes::new()).await?;
        anyhow::ensure!(status == StatusCode::OK, "report: status {status}");
        Ok(self.dialect.decode_report(&body)?)
    }

    /// Stages a chunk.
    pub(super) async fn put(
        &self,
        model: &ModelId,
        chunk: usize,
        data: Bytes,
    ) -> anyhow::Result<()> {
        let path = self.dialect.stage_put_path(model, chunk);
        let (status, _) = self.call(Method::PUT, &path, data).await?;
        anyhow::ensure!(status.is_success(), "staging chunk {chunk}: status {status}");
        Ok(())
    }

    /// Reads a staged chunk back; `None` where there is none.
    pub(super) async fn get(&self, model: &ModelId, chunk: usize) -> anyhow::Result<Option<Bytes>> {
        let path = self.dialect.stage_get_path(model, chunk);
        let (status, body) = self.call(Method::GET, &path, Bytes::new()).await?;
        Ok((status == StatusCode::OK).then_some(body))
    }

    /// Orders the engine to load what is staged.
    pub(super) async fn order(&self, order: &LoadOrder) -> anyhow::Result<Ordered> {
        let body = self.dialect.encode_order(order);
        let (status, _) = self.call(Method::POST, self.dialect.order_path(), body).await?;
        Ok(match status {
            StatusCode::ACCEPTED => Ordered::Begun,
            StatusCode::OK => Ordered::InEffect,
            status => Ordered::Rejected(status),
        })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let what = format!("{method} {path}");
        let call = self.exchange(method, path, body);
        timeout(TIMEOUT, call).await.context("no answer in time").flatten().context(what)
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let mut upstream = self.pool.get_or_open(self.addr, Duration::MAX).await?;
        let mut headers = HeaderMap::new();
        if !body.is_empty() {
            let json = actix_http::header::HeaderValue::from_static("application/json");
            headers.insert(actix_http::header::CONTENT_TYPE, json);
        }
        let answer = upstream.exchange(method, path, headers, &body, MAX_ANSWER).await?;
        self.pool.release(upstream);
        Ok(answer)
    }
}
