//! The engine behind this process: its state, its orders, its requests.

use std::time::Duration;

use anyhow::{anyhow, bail};
use awc::{
    Client,
    error::{ConnectError, SendRequestError},
};
use bytes::Bytes;
use sequoiahold_core::{
    endpoint::EngineState,
    ids::{Digest, Fence, VersionId},
    weights::Manifest,
};
use serde::Serialize;

use crate::{client::client, settings};

/// Time that a look at the engine may take.
const LOOK: Duration = Duration::from_secs(2);
/// Time that the hand-over of a chunk or an order may take.
const ORDER: Duration = Duration::from_secs(60);
/// Largest state that is read, in bytes.
const MAX_STATE: usize = 100_000;

#[derive(Debug, Serialize)]
struct Order<'a> {
    order: &'static str,
    version: &'a VersionId,
    manifest: &'a Manifest,
    fence: Fence,
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No byte of it left this process.
    NotSent,
    /// It may have reached the engine or service.
    Unknown,
}

impl SendError {
    /// Returns whether a request may have left; the client reports a connection that closes
    /// before the answer as a failure to connect.
    fn of(error: &SendRequestError) -> Self {
        match error {
            SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
                Self::Unknown
            }
            SendRequestError::Url(_) | SendRequestError::Connect(_) => Self::NotSent,
            _ => Self::Unknown,
        }
    }
}

/// Talks to the engine over HTTP.
#[derive(Clone)]
pub struct Engine {
    client: Client,
    url: String,
}

impl Engine {
    /// Returns a client of the engine in the settings.
    pub fn new(settings: &settings::Engine) -> Self {
        let client = client(Duration::from_secs(300));
        Self { client, url: settings.url.trim_end_matches('/').to_owned() }
    }

    /// Reads the state of the engine.
    pub async fn state(&self) -> anyhow::Result<EngineState> {
        let request = self.client.get(format!("{}/state", self.url)).timeout(LOOK);
        let mut response = request.send().await.map_err(|e| anyhow!("engine: {e}"))?;
        let body = response.body().limit(MAX_STATE).await.map_err(|e| anyhow!("engine: {e}"))?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Hands a chunk to the engine.
    pub async fn put(&self, digest: &Digest, data: Bytes) -> anyhow::Result<()> {
        let request = self.client.put(format!("{}/weights/{digest}", self.url)).timeout(ORDER);
        let response = request.send_body(data).await.map_err(|e| anyhow!("engine: {e}"))?;
        expect(response.status().as_u16())
    }

    /// Orders the engine to load a version from the chunks it was given.
    pub async fn load(
        &self,
        version: &VersionId,
        manifest: &Manifest,
        fence: Fence,
    ) -> anyhow::Result<()> {
        let order = Order { order: "load", version, manifest, fence };
        let request = self.client.post(format!("{}/orders", self.url)).timeout(ORDER);
        let response = request.send_json(&order).await.map_err(|e| anyhow!("engine: {e}"))?;
        expect(response.status().as_u16())
    }

    /// Starts a request at the engine or plain service.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        id: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> Result<
        awc::ClientResponse<
            impl Unpin + futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + use<>,
        >,
        SendError,
    > {
        let method = method.parse().map_err(|_| SendError::NotSent)?;
        let mut request = self
            .client
            .request(method, format!("{}{path}", self.url))
            .insert_header(("content-type", "application/json"))
            .insert_header(("x-request-id", id));
        if let Some(key) = key {
            request = request.insert_header(("idempotency-key", key));
        }
        request.send_body(body).await.map_err(|error| SendError::of(&error))
    }

    /// Cancels a request and returns whether the engine confirmed its end.
    pub async fn cancel(&self, id: &str) -> bool {
        let request = self.client.delete(format!("{}/v1/requests/{id}", self.url)).timeout(LOOK);
        request.send().await.is_ok_and(|response| response.status().is_success())
    }
}

fn expect(status: u16) -> anyhow::Result<()> {
    if !(200..300).contains(&status) {
        bail!("engine answered status {status}");
    }
    Ok(())
}
