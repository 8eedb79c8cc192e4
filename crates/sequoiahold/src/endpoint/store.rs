//! Store of the verified chunks and manifests of this process.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use bytes::Bytes;
use sequoiahold_core::{ids::Digest, weights::Manifest};

/// Verified blobs by digest, shared by the tasks of the process.
#[derive(Clone, Debug, Default)]
pub struct ChunkStore {
    blobs: Rc<RefCell<BTreeMap<Digest, Bytes>>>,
}

impl ChunkStore {
    /// Returns the blob with this digest, if it is stored.
    pub fn get(&self, digest: &Digest) -> Option<Bytes> {
        self.blobs.borrow().get(digest).cloned()
    }

    /// Returns whether a blob is stored.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.blobs.borrow().contains_key(digest)
    }

    /// Stores a blob whose digest was verified.
    pub fn insert(&self, digest: Digest, data: Bytes) {
        self.blobs.borrow_mut().insert(digest, data);
    }

    /// Drops all blobs except the manifest and the chunks that it lists.
    pub fn retain(&self, manifest: &Manifest) {
        let listed: BTreeSet<&Digest> = manifest.chunks.iter().collect();
        let manifest_digest = manifest.digest();
        let is_kept = |digest: &Digest| listed.contains(digest) || *digest == manifest_digest;
        self.blobs.borrow_mut().retain(|digest, _| is_kept(digest));
    }
}
