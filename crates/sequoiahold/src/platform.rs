//! Reading the platform: the configuration service and the list of VMs.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use anyhow::{Context as _, bail};
use awc::Client;
use bytes::Bytes;
use sequoiahold_core::{
    declare::{Head, Published},
    ids::{Digest, VmId},
    member::VmState,
};

use crate::{client::client, settings};

/// Time that a watch may wait at the configuration service.
const WATCH: Duration = Duration::from_secs(5);
/// Time that any other call may take.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest value read, in bytes.
const MAX_VALUE: usize = 1_000_000;

/// Reads the platform's services.
#[derive(Clone)]
pub struct Platform {
    client: Client,
    settings: settings::Platform,
}

impl Platform {
    /// Returns a reader of the services in the settings.
    pub fn new(settings: settings::Platform) -> Self {
        let client = client(WATCH + TIMEOUT);
        Self { client, settings }
    }

    /// Waits until the head is another than `seen`, or the watch ends, and returns it.
    pub async fn head(&self, seen: Option<u64>) -> anyhow::Result<Head> {
        let watch = seen.map_or(String::new(), |generation| {
            format!("?other_than={generation}&wait_ms={}", WATCH.as_millis())
        });
        let body = self.get(&format!("{}/v1/head{watch}", self.settings.config)).await?;
        serde_json::from_slice(&body).context("the head cannot be read")
    }

    /// Reads the parts of a head that are not among `held`.
    pub async fn published(
        &self,
        head: Head,
        held: &BTreeMap<Digest, Bytes>,
    ) -> anyhow::Result<Arc<Published>> {
        let mut parts = BTreeMap::new();
        for entry in &head.parts {
            let part = match held.get(&entry.digest) {
                Some(part) => part.clone(),
                None => {
                    self.get(&format!("{}/v1/parts/{}", self.settings.config, entry.digest)).await?
                }
            };
            parts.insert(entry.digest, part);
        }
        Ok(Arc::new(Published { head, parts }))
    }

    /// Reads the list of VMs.
    pub async fn vms(&self) -> anyhow::Result<BTreeMap<VmId, VmState>> {
        let body = self.get(&format!("{}/v1/vms", self.settings.vms)).await?;
        serde_json::from_slice(&body).context("the list of VMs cannot be read")
    }

    async fn get(&self, url: &str) -> anyhow::Result<Bytes> {
        let sent = self.client.get(url).send().await;
        let mut response = sent.map_err(|e| anyhow::anyhow!("{url}: {e}"))?;
        if !response.status().is_success() {
            bail!("{url}: status {}", response.status().as_u16());
        }
        let body = response.body().limit(MAX_VALUE).await;
        body.map_err(|e| anyhow::anyhow!("{url}: {e}"))
    }
}
