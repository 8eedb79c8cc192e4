//! The verified chunks that this process holds.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use bytes::Bytes;
use sequoiahold_core::{ids::Digest, weights::Manifest};

/// Verified chunks by digest, shared by the tasks of the process.
#[derive(Clone, Debug, Default)]
pub struct Store {
    chunks: Rc<RefCell<BTreeMap<Digest, Bytes>>>,
}

impl Store {
    /// Returns a chunk.
    pub fn get(&self, digest: &Digest) -> Option<Bytes> {
        self.chunks.borrow().get(digest).cloned()
    }

    /// Returns whether a chunk is held.
    pub fn holds(&self, digest: &Digest) -> bool {
        self.chunks.borrow().contains_key(digest)
    }

    /// Keeps a chunk whose digest was verified.
    pub fn keep(&self, digest: Digest, data: Bytes) {
        self.chunks.borrow_mut().insert(digest, data);
    }

    /// Drops the chunks that a manifest does not name, beside the manifest itself.
    pub fn retain(&self, manifest: &Manifest) {
        let named: BTreeSet<&Digest> = manifest.chunks.iter().collect();
        let own = manifest.digest();
        let kept = |digest: &Digest| named.contains(digest) || *digest == own;
        self.chunks.borrow_mut().retain(|digest, _| kept(digest));
    }
}
