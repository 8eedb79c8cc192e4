//! Local copy of the published state, ordered by revision.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Number of removed keys kept as tombstones for lagging peers; peers that lag further get a full
/// snapshot.
const MAX_REMOVED_KEYS: usize = 4_096;

/// Number of times that the platform restored its published state from a copy, which loses the
/// changes since; revisions are comparable within an era only.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Era(pub u64);

impl std::fmt::Display for Era {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for Era {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim().parse().map(Self)
    }
}

/// Revision of the published state, which rises with each change.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Revision(pub u64);

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A change of one key: a new value or a removal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The revision of the change.
    pub revision: Revision,
    /// The value, or `None` where the key was removed.
    pub value: Option<Bytes>,
}

/// The part of the published state that a lagging peer needs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateDelta {
    /// The revision that the peer reaches with these changes.
    pub at: Revision,
    /// Whether `changes` is a full snapshot of the items at `at`.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// The changes.
    pub changes: Vec<Change>,
}

/// The local copy of the published state.
///
/// Only the newest change of each key is kept, so that a lagging process receives just the last of
/// many versions of a large value.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    items: BTreeMap<String, (Revision, Option<Bytes>)>,
    removed: BTreeSet<(Revision, String)>,
    delta_floor: Revision,
    revision: Revision,
}

impl Mirror {
    /// Returns the revision up to which all changes are known, 0 initially.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies the changes up to `at`, at most one per key, and returns those that were new.
    pub fn apply(&mut self, at: Revision, changes: Vec<Change>) -> Vec<Change> {
        let new: Vec<Change> =
            changes.into_iter().filter(|change| self.apply_change(change)).collect();
        self.revision = self.revision.max(at);
        self.prune_removed();
        new
    }

    /// Applies the answer to a watch and returns the new changes and the delta for peers.
    ///
    /// The delta contains every change of the watch, including those already known here: they may
    /// not have reached the peers, which advance to the revision `at` with the delta.
    pub fn apply_watch(&mut self, at: Revision, changes: Vec<Change>) -> (Vec<Change>, StateDelta) {
        let changes = latest_by_key(changes);
        let delta = StateDelta { at, is_snapshot: false, changes: changes.clone() };
        (self.apply(at, changes), delta)
    }

    /// Applies a full snapshot at `at`, removes absent keys and returns the changes that were new.
    pub fn apply_snapshot(&mut self, at: Revision, items: Vec<Change>) -> Vec<Change> {
        let present: BTreeSet<&String> = items.iter().map(|item| &item.key).collect();
        let absent = |(key, (revision, value)): (&String, &(Revision, Option<Bytes>))| {
            let removed = value.is_some() && *revision <= at && !present.contains(key);
            removed.then(|| Change { key: key.clone(), revision: at, value: None })
        };
        let removed: Vec<Change> = self.items.iter().filter_map(absent).collect();
        if self.revision == Revision(0) {
            self.delta_floor = at;
        }
        self.apply(at, removed.into_iter().chain(items).collect())
    }

    /// Returns the delta for a peer that knows all changes up to `after`.
    pub fn delta_since(&self, after: Revision) -> StateDelta {
        let is_snapshot = after < self.delta_floor || after == Revision(0);
        let lacking = |(_, (revision, value)): &(&String, &(Revision, Option<Bytes>))| {
            if is_snapshot { value.is_some() } else { *revision > after }
        };
        let change = |(key, (revision, value)): (&String, &(Revision, Option<Bytes>))| Change {
            key: key.clone(),
            revision: *revision,
            value: value.clone(),
        };
        let changes = self.items.iter().filter(lacking).map(change).collect();
        StateDelta { at: self.revision, is_snapshot, changes }
    }

    /// Applies a delta received from a peer and returns the changes that were new.
    pub fn apply_delta(&mut self, delta: StateDelta) -> Vec<Change> {
        match delta {
            StateDelta { at, .. } if at <= self.revision => vec![],
            StateDelta { at, is_snapshot: true, changes } => self.apply_snapshot(at, changes),
            StateDelta { at, is_snapshot: false, changes } => self.apply(at, changes),
        }
    }

    fn apply_change(&mut self, change: &Change) -> bool {
        let known = self.items.get(&change.key);
        if known.is_some_and(|(revision, _)| *revision >= change.revision) {
            return false;
        }
        if let Some((revision, None)) = known {
            self.removed.remove(&(*revision, change.key.clone()));
        }
        if change.value.is_none() {
            self.removed.insert((change.revision, change.key.clone()));
        }
        self.items.insert(change.key.clone(), (change.revision, change.value.clone()));
        true
    }

    /// Drops the oldest tombstones beyond [`MAX_REMOVED_KEYS`].
    fn prune_removed(&mut self) {
        while self.removed.len() > MAX_REMOVED_KEYS
            && let Some((revision, key)) = self.removed.pop_first()
        {
            self.items.remove(&key);
            self.delta_floor = self.delta_floor.max(revision);
        }
    }
}

/// Returns the newest change of each key.
fn latest_by_key(changes: Vec<Change>) -> Vec<Change> {
    let mut newest: BTreeMap<String, Change> = BTreeMap::new();
    for change in changes {
        let known = newest.get(&change.key);
        if known.is_none_or(|known| known.revision < change.revision) {
            newest.insert(change.key.clone(), change);
        }
    }
    newest.into_values().collect()
}
