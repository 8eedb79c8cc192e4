//! The engine behind this process: its state, its orders, its requests.

use std::{cell::RefCell, rc::Rc, time::Duration};

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

use crate::{client::new_client, settings};

/// Time that a request may take at the most.
const REQUEST: Duration = Duration::from_secs(300);
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

/// Talks to the engine over HTTP.
#[derive(Clone)]
pub struct Engine {
    client: Rc<RefCell<Client>>,
    url: String,
}

impl Engine {
    /// Returns a client of the engine in the settings.
    pub fn new(settings: &settings::Engine) -> Self {
        let client = Rc::new(RefCell::new(new_client(REQUEST)));
        Self { client, url: settings.url.trim_end_matches('/').to_owned() }
    }

    /// Reads the state of the engine; where it doesn't answer, no pooled connection is used again.
    pub async fn state(&self) -> anyhow::Result<EngineState> {
        let state = self.read_state().await;
        if state.is_err() {
            self.client.replace(new_client(REQUEST));
        }
        state
    }

    async fn read_state(&self) -> anyhow::Result<EngineState> {
        let request = self.client().get(format!("{}/state", self.url)).timeout(LOOK);
        let mut response = request.send().await.map_err(|e| anyhow!("engine: {e}"))?;
        let body = response.body().limit(MAX_STATE).await.map_err(|e| anyhow!("engine: {e}"))?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Hands a chunk to the engine.
    pub async fn put(&self, digest: &Digest, data: Bytes) -> anyhow::Result<()> {
        let request = self.client().put(format!("{}/weights/{digest}", self.url)).timeout(ORDER);
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
        let request = self.client().post(format!("{}/orders", self.url)).timeout(ORDER);
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
            .client()
            .request(method, format!("{}{path}", self.url))
            .insert_header(("content-type", "application/json"))
            .insert_header(("x-request-id", id));
        if let Some(key) = key {
            request = request.insert_header(("idempotency-key", key));
        }
        request.send_body(body).await.map_err(|error| match error {
            SendRequestError::Url(_) => SendError::NotSent,
            SendRequestError::Connect(error) if is_before_sending(&error) => SendError::NotSent,
            _ => SendError::Unknown,
        })
    }

    fn client(&self) -> Client {
        self.client.borrow().clone()
    }

    /// Cancels a request and returns whether the engine confirmed its end.
    pub async fn cancel(&self, id: &str) -> bool {
        let request = self.client().delete(format!("{}/v1/requests/{id}", self.url)).timeout(LOOK);
        request.send().await.is_ok_and(|response| response.status().is_success())
    }
}

/// Returns whether no connection was had; the library also tells of one that closed unanswered.
fn is_before_sending(error: &ConnectError) -> bool {
    matches!(
        error,
        ConnectError::Io(_)
            | ConnectError::NoRecords
            | ConnectError::Resolver(_)
            | ConnectError::Timeout
            | ConnectError::Unresolved
    )
}

fn expect(status: u16) -> anyhow::Result<()> {
    if !(200..300).contains(&status) {
        bail!("engine answered status {status}");
    }
    Ok(())
}
