//! A published set on its way into a process.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use bytes::Bytes;

use crate::{
    declare::{Head, PublishedSet, SetId},
    ids::{Digest, VmId},
    time::Time,
};

/// Parts that are asked for at the same time.
const MAX_PARTS_IN_FLIGHT: usize = 4;

/// Who gives a set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SetSource {
    /// Another process.
    Peer(VmId, SocketAddr),
    /// The platform's configuration service.
    Platform,
}

/// A set on its way into a process.
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

    /// Takes the head; returns whether it is as new as the one that was offered.
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

    /// Returns whether the set is fetched from this peer.
    pub(super) fn is_from(&self, vm: &VmId) -> bool {
        matches!(&self.source, SetSource::Peer(peer, _) if peer == vm)
    }

    /// Returns the parts that have arrived.
    pub(super) fn into_parts(self) -> BTreeMap<Digest, Bytes> {
        self.parts
    }

    /// Returns the parts to ask for now.
    pub(super) fn next_requests(&mut self) -> Vec<Digest> {
        let free = MAX_PARTS_IN_FLIGHT.saturating_sub(self.pending.len());
        let from = self.missing.len().saturating_sub(free);
        let next = self.missing.split_off(from);
        self.pending.extend(&next);
        next
    }

    /// Takes a part; returns whether it is one that was asked for.
    pub(super) fn receive_part(&mut self, digest: Digest, part: Bytes) -> bool {
        let Some(i) = self.pending.iter().position(|pending| *pending == digest) else {
            return false;
        };
        self.pending.swap_remove(i);
        self.parts.insert(digest, part);
        true
    }

    /// Returns whether a part was asked for and has not arrived.
    pub(super) fn is_pending(&self, digest: &Digest) -> bool {
        self.pending.contains(digest)
    }

    /// Returns the set once all its parts are held.
    pub(super) fn complete_set(&self) -> Option<Arc<PublishedSet>> {
        let head = self.head.clone()?;
        let complete = self.missing.is_empty() && self.pending.is_empty();
        complete.then(|| Arc::new(PublishedSet { head, parts: self.parts.clone() }))
    }
}
