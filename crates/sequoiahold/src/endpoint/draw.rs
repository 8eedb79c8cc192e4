//! Drawing manifests and chunks from the origin and from peers.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use bytes::Bytes;
use sequoiahold_core::{
    endpoint::Place,
    ids::{Digest, VmId},
    proto::{Call, MAX_MESSAGE, Reply},
    weights::Manifest,
};

use crate::{
    client::client,
    net::{Links, call},
};

/// Time that one draw may take.
const DRAW: Duration = Duration::from_secs(10);

/// Draws blobs by digest.
#[derive(Clone)]
pub struct Drawer {
    client: Client,
    links: Links,
    origin: String,
}

impl Drawer {
    /// Returns a drawer for the origin at this base address.
    pub fn new(links: Links, origin: &str) -> Self {
        let client = client(DRAW);
        Self { client, links, origin: origin.trim_end_matches('/').to_owned() }
    }

    /// Draws one blob; `None` where the place did not give it in time.
    pub async fn draw(&self, digest: Digest, place: &Place) -> Option<Bytes> {
        let drawn = async {
            match place {
                Place::Origin => self.origin_blob(digest).await,
                Place::Peer(vm, addr) => self.peer_blob(digest, vm, *addr).await,
            }
        };
        actix_rt::time::timeout(DRAW, drawn).await.ok().flatten()
    }

    /// Draws and checks a manifest, from the first place that gives it.
    pub async fn manifest(&self, digest: Digest, places: &[Place]) -> Option<Manifest> {
        for place in places {
            let text = self.draw(digest, place).await;
            let manifest = text.and_then(|text| Manifest::read(&text, digest).ok());
            if manifest.is_some() {
                return manifest;
            }
        }
        None
    }

    /// Asks a peer which chunks of a manifest it holds.
    pub async fn have(&self, manifest: Digest, vm: &VmId, addr: SocketAddr) -> Option<Vec<u8>> {
        let asked = async {
            let connection = self.links.get(vm, addr).await.ok()?;
            match call(&connection, &Call::Have(manifest)).await {
                Ok(Reply::Have(bits)) => Some(bits),
                _ => None,
            }
        };
        actix_rt::time::timeout(DRAW, asked).await.ok().flatten()
    }

    async fn origin_blob(&self, digest: Digest) -> Option<Bytes> {
        let url = format!("{}/v1/blobs/{digest}", self.origin);
        let mut response = self.client.get(url).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.body().limit(MAX_MESSAGE).await.ok()
    }

    async fn peer_blob(&self, digest: Digest, vm: &VmId, addr: SocketAddr) -> Option<Bytes> {
        let connection = self.links.get(vm, addr).await.ok()?;
        match call(&connection, &Call::Chunk(digest)).await {
            Ok(Reply::Chunk(chunk)) => chunk,
            _ => {
                self.links.close(vm);
                None
            }
        }
    }
}
