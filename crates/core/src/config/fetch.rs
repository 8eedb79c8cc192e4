//! The fetch of one configuration set from a peer or the platform.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use bytes::Bytes;

use crate::{
    declare::{Head, PublishedSet, SetId},
    ids::{Digest, VmId},
    time::Time,
};

/// Maximum number of part requests in flight per fetch.
const MAX_PARTS_IN_FLIGHT: usize = 4;

/// Where a set is fetched from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SetSource {
    /// Another process, given by its VM and address.
    Peer(VmId, SocketAddr),
    /// The configuration service of the platform.
    Platform,
}

/// A fetch in progress.
#[derive(Clone, Debug)]
pub(super) struct Fetch {
    pub(super) id: SetId,
    pub(super) source: SetSource,
    pub(super) deadline: Time,
    head: Option<Head>,
    parts: BTreeMap<Digest, Bytes>,
    missing: Vec<Digest>,
    pending: Vec<Digest>,
}

impl Fetch {
    pub(super) fn new(id: SetId, source: SetSource, deadline: Time) -> Self {
        let (head, parts, missing, pending) = Default::default();
        Self { id, source, deadline, head, parts, missing, pending }
    }

    /// Sets the head and lists the parts that are neither in `held` nor in `fetched`.
    ///
    /// Returns false if the head is older than the offered one or was set before.
    pub(super) fn set_head(
        &mut self,
        head: Head,
        held: Option<&PublishedSet>,
        fetched: &BTreeMap<Digest, Bytes>,
    ) -> bool {
        let id = head.id();
        if id < self.id || self.head.is_some() {
            return false;
        }
        self.id = id;
        for entry in &head.parts {
            let part = held.and_then(|published| published.parts.get(&entry.digest));
            match part.or_else(|| fetched.get(&entry.digest)) {
                Some(part) => drop(self.parts.insert(entry.digest, part.clone())),
                None => self.missing.push(entry.digest),
            }
        }
        self.missing.sort();
        self.missing.dedup();
        self.head = Some(head);
        true
    }

    /// Returns whether the source of the fetch is this peer.
    pub(super) fn is_from(&self, vm: &VmId) -> bool {
        matches!(&self.source, SetSource::Peer(peer, _) if peer == vm)
    }

    /// Returns the parts received so far.
    pub(super) fn into_parts(self) -> BTreeMap<Digest, Bytes> {
        self.parts
    }

    /// Returns the parts to request now and marks them as pending.
    pub(super) fn next_requests(&mut self) -> Vec<Digest> {
        let free = MAX_PARTS_IN_FLIGHT.saturating_sub(self.pending.len());
        let from = self.missing.len().saturating_sub(free);
        let next = self.missing.split_off(from);
        self.pending.extend(&next);
        next
    }

    /// Stores a part; returns false if it was not pending.
    pub(super) fn receive_part(&mut self, digest: Digest, part: Bytes) -> bool {
        let Some(i) = self.pending.iter().position(|next| *next == digest) else { return false };
        self.pending.swap_remove(i);
        self.parts.insert(digest, part);
        true
    }

    /// Returns whether a part was requested and has not been received.
    pub(super) fn is_pending(&self, digest: &Digest) -> bool {
        self.pending.contains(digest)
    }

    /// Returns the set, or `None` while parts are missing.
    pub(super) fn complete_set(&self) -> Option<Arc<PublishedSet>> {
        let head = self.head.clone()?;
        let complete = self.missing.is_empty() && self.pending.is_empty();
        complete.then(|| Arc::new(PublishedSet { head, parts: self.parts.clone() }))
    }
}
