//! HTTP client of the engine or plain service behind this process.

use std::{cell::RefCell, rc::Rc, time::Duration};

use anyhow::{anyhow, bail};
use awc::{
    Client,
    error::{ConnectError, SendRequestError},
};
use bytes::Bytes;
use sequoiahold_core::{
    endpoint::EngineState,
    ids::{Digest, FenceToken, VersionId},
    weights::Manifest,
};
use serde::Serialize;

use crate::{client::new_client, settings};

/// Timeout of a request, unless a shorter one is set.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(300);
/// Timeout of a probe of the engine or of a cancellation.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the upload of a chunk or of a load command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum length of the engine's state document, in bytes.
const MAX_STATE_BYTES: usize = 100_000;

#[derive(Debug, Serialize)]
struct LoadCommand<'a> {
    order: &'static str,
    version: &'a VersionId,
    manifest: &'a Manifest,
    fence: FenceToken,
}

/// The reason that a request has no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No byte of the request left this process.
    NotSent,
    /// The request may have reached the engine or service.
    Unknown,
}

/// A client of the engine or plain service, over HTTP.
#[derive(Clone)]
pub struct EngineClient {
    client: Rc<RefCell<Client>>,
    /// For requests and load commands, each over a connection of its own: nothing in a response tells
    /// which request it belongs to, so that a late one on a reused connection could be taken for it.
    unpooled: Client,
    base_url: String,
}

impl EngineClient {
    /// Returns a client of the engine in the settings.
    pub fn new(settings: &settings::Engine) -> Self {
        let client = Rc::new(RefCell::new(new_client(REQUEST_TIMEOUT)));
        let base_url = settings.url.trim_end_matches('/').to_owned();
        Self { client, unpooled: new_client(REQUEST_TIMEOUT), base_url }
    }

    /// Probes the engine and returns its state; after an error, no pooled connection is used again.
    pub async fn state(&self) -> anyhow::Result<EngineState> {
        let state = self.read_state().await;
        if state.is_err() {
            self.client.replace(new_client(REQUEST_TIMEOUT));
        }
        state
    }

    async fn read_state(&self) -> anyhow::Result<EngineState> {
        let request = self.client().get(format!("{}/state", self.base_url)).timeout(PROBE_TIMEOUT);
        let mut response = request.send().await.map_err(|e| anyhow!("engine: {e}"))?;
        let body =
            response.body().limit(MAX_STATE_BYTES).await.map_err(|e| anyhow!("engine: {e}"))?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Uploads a chunk to the engine.
    pub async fn put_chunk(&self, digest: &Digest, data: Bytes) -> anyhow::Result<()> {
        let request = self
            .client()
            .put(format!("{}/weights/{digest}", self.base_url))
            .timeout(COMMAND_TIMEOUT);
        let response = request.send_body(data).await.map_err(|e| anyhow!("engine: {e}"))?;
        expect_success(response.status().as_u16())
    }

    /// Commands the engine to load a version from its uploaded chunks.
    pub async fn load(
        &self,
        version: &VersionId,
        manifest: &Manifest,
        fence: FenceToken,
    ) -> anyhow::Result<()> {
        let command = LoadCommand { order: "load", version, manifest, fence };
        let request = self.unpooled.post(format!("{}/orders", self.base_url));
        let request = request.force_close().timeout(COMMAND_TIMEOUT);
        let response = request.send_json(&command).await.map_err(|e| anyhow!("engine: {e}"))?;
        expect_success(response.status().as_u16())
    }

    /// Sends a request to the engine or plain service and returns the head of the response.
    pub async fn send_request(
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
            .unpooled
            .request(method, format!("{}{path}", self.base_url))
            .force_close()
            .insert_header(("content-type", "application/json"))
            .insert_header(("x-request-id", id));
        if let Some(key) = key {
            request = request.insert_header(("idempotency-key", key));
        }
        request.send_body(body).await.map_err(|error| match error {
            SendRequestError::Url(_) => SendError::NotSent,
            SendRequestError::Connect(error) if failed_to_connect(&error) => SendError::NotSent,
            _ => SendError::Unknown,
        })
    }

    fn client(&self) -> Client {
        self.client.borrow().clone()
    }

    /// Cancels a request and returns whether the engine confirmed the cancellation.
    pub async fn cancel(&self, id: &str) -> bool {
        let request = self
            .client()
            .delete(format!("{}/v1/requests/{id}", self.base_url))
            .timeout(PROBE_TIMEOUT);
        request.send().await.is_ok_and(|response| response.status().is_success())
    }
}

/// Returns whether no connection was established.
///
/// The client library also reports a connection that closed without a response as a connect error.
fn failed_to_connect(error: &ConnectError) -> bool {
    matches!(
        error,
        ConnectError::Io(_)
            | ConnectError::NoRecords
            | ConnectError::Resolver(_)
            | ConnectError::Timeout
            | ConnectError::Unresolved
    )
}

fn expect_success(status: u16) -> anyhow::Result<()> {
    if !(200..300).contains(&status) {
        bail!("engine answered status {status}");
    }
    Ok(())
}
