//! Client of the platform's configuration service and VM list.

use std::{collections::BTreeMap, time::Duration};

use awc::Client;
use bytes::Bytes;
use sequoiahold_core::{
    config::PlatformError,
    declare::Head,
    ids::{Digest, VmId},
    vm_state::VmState,
};

use crate::{client::new_client, settings};

/// Time for which the configuration service may hold a watch request.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Timeout of a request, in addition to [`WATCH_WAIT`].
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response body.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// HTTP client of the platform's services.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client,
    settings: settings::Platform,
}

impl PlatformClient {
    /// Creates a client of the services in the settings.
    pub fn new(settings: settings::Platform) -> Self {
        let client = new_client(WATCH_WAIT + REQUEST_TIMEOUT);
        Self { client, settings }
    }

    /// Returns the head once its generation differs from `seen`, or after `WATCH_WAIT`; without
    /// `seen`, at once.
    pub async fn watch_head(&self, seen: Option<u64>) -> Result<Head, PlatformError> {
        let watch = seen.map_or(String::new(), |generation| {
            format!("?other_than={generation}&wait_ms={}", WATCH_WAIT.as_millis())
        });
        let body = self.get(&format!("{}/v1/head{watch}", self.settings.config)).await?;
        serde_json::from_slice(&body).map_err(|_| PlatformError::Unavailable)
    }

    /// Returns the part with the given digest.
    pub async fn get_part(&self, digest: &Digest) -> Result<Bytes, PlatformError> {
        self.get(&format!("{}/v1/parts/{digest}", self.settings.config)).await
    }

    /// Returns the states of the listed VMs.
    pub async fn list_vms(&self) -> Result<BTreeMap<VmId, VmState>, PlatformError> {
        let body = self.get(&format!("{}/v1/vms", self.settings.vms)).await?;
        serde_json::from_slice(&body).map_err(|_| PlatformError::Unavailable)
    }

    async fn get(&self, url: &str) -> Result<Bytes, PlatformError> {
        let sent = self.client.get(url).send().await;
        let mut response = sent.map_err(|_| PlatformError::Unavailable)?;
        match response.status().as_u16() {
            200..=299 => {}
            404 => return Err(PlatformError::NotFound),
            429 => return Err(PlatformError::RateLimited),
            _ => return Err(PlatformError::Unavailable),
        }
        response.body().limit(MAX_VALUE_BYTES).await.map_err(|_| PlatformError::Unavailable)
    }
}
