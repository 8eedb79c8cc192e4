//! Store of the chunks that a loader holds and serves to its peers.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use actix_http::StatusCode;
use bytes::Bytes;
use sequoiahold_core::{
    direct::platform::ChunkList,
    ids::{Digest, ModelId},
    weights::ChunkSet,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::node::{CHUNKS_PREFIX, PeerHandler};

/// Maximum number of versions kept per model: the one in use and the one that replaces it.
const MAX_VERSIONS: usize = 2;

/// A chunk list as sent between loaders.
#[derive(Deserialize, Serialize)]
pub(super) struct ChunkListMessage {
    version: u64,
    size: u64,
    digests: Vec<[u8; 32]>,
}

#[derive(Default)]
struct StoreContents {
    lists: BTreeMap<(ModelId, u64), ChunkList>,
    chunks: BTreeMap<Digest, Bytes>,
}

/// The chunks and chunk lists that a loader holds, shared by its tasks.
#[derive(Clone, Default)]
pub(super) struct ChunkStore(Rc<RefCell<StoreContents>>);

impl ChunkStore {
    /// Inserts the chunk list of a version and evicts the oldest ones beyond [`MAX_VERSIONS`]
    /// with the chunks that only they use.
    pub(super) fn insert_list(&self, model: &ModelId, list: ChunkList) {
        let mut contents = self.0.borrow_mut();
        contents.lists.insert((model.clone(), list.version), list);
        let of_model = contents.lists.keys().filter(|(name, _)| name == model);
        let versions: Vec<u64> = of_model.map(|(_, version)| *version).collect();
        for version in versions.iter().rev().skip(MAX_VERSIONS) {
            contents.lists.remove(&(model.clone(), *version));
        }
        let StoreContents { lists, chunks } = &mut *contents;
        chunks.retain(|digest, _| lists.values().any(|list| list.digests.contains(digest)));
    }

    /// Returns the chunk list of a version.
    pub(super) fn list(&self, model: &ModelId, version: u64) -> Option<ChunkList> {
        self.0.borrow().lists.get(&(model.clone(), version)).cloned()
    }

    /// Returns the newest version before `version` whose chunk list is held.
    pub(super) fn version_before(&self, model: &ModelId, version: u64) -> Option<u64> {
        let contents = self.0.borrow();
        let versions = contents.lists.keys().filter(|(name, _)| name == model);
        versions.map(|(_, held)| *held).filter(|held| *held < version).max()
    }

    /// Inserts a chunk that matches its digest.
    pub(super) fn insert(&self, digest: Digest, data: Bytes) {
        self.0.borrow_mut().chunks.insert(digest, data);
    }

    /// Returns a chunk.
    pub(super) fn get(&self, digest: &Digest) -> Option<Bytes> {
        self.0.borrow().chunks.get(digest).cloned()
    }

    /// Returns whether a chunk is held.
    pub(super) fn contains(&self, digest: &Digest) -> bool {
        self.0.borrow().chunks.contains_key(digest)
    }

    /// Returns the held chunks of a version as a bitmap in the order of the list.
    pub(super) fn held_bits(&self, list: &ChunkList) -> Vec<u8> {
        let mut set = ChunkSet::new(list.digests.len());
        let held = list.digests.iter().enumerate().filter(|(_, digest)| self.contains(digest));
        held.for_each(|(chunk, _)| {
            set.insert(chunk);
        });
        set.to_bytes()
    }

    fn lookup(&self, target: &str) -> Option<Bytes> {
        let mut parts = target.strip_prefix(CHUNKS_PREFIX)?.split('/');
        let model: ModelId = parts.next()?.parse().ok()?;
        let version: u64 = parts.next()?.parse().ok()?;
        let list = self.list(&model, version)?;
        match parts.next()? {
            "list" => {
                let digests = list.digests.iter().map(|digest| *digest.bytes()).collect();
                let message = ChunkListMessage { version, size: list.chunk_size, digests };
                postcard::to_stdvec(&message).ok().map(Bytes::from)
            }
            "have" => Some(self.held_bits(&list).into()),
            chunk => self.get(list.digests.get(chunk.parse::<usize>().ok()?)?),
        }
    }
}

impl PeerHandler for ChunkStore {
    fn handle(&self, target: &str) -> (StatusCode, Bytes) {
        match self.lookup(target) {
            Some(body) => (StatusCode::OK, body),
            None => (StatusCode::NOT_FOUND, Bytes::new()),
        }
    }
}

/// Decodes the chunk list of a peer, `None` if it is malformed.
pub(super) fn decode_list(body: &[u8]) -> Option<ChunkList> {
    let message: ChunkListMessage = postcard::from_bytes(body).ok()?;
    let digests = message.digests.into_iter().map(Digest::from_bytes).collect();
    Some(ChunkList { version: message.version, chunk_size: message.size, digests })
}

/// Returns whether the SHA-256 digest of `data` is `digest`.
pub(super) fn matches_digest(data: &[u8], digest: &Digest) -> bool {
    chunk_digest(data) == *digest
}

/// Returns the SHA-256 digest of a chunk.
pub(super) fn chunk_digest(data: &[u8]) -> Digest {
    Digest::from_bytes(Sha256::digest(data).into())
}
