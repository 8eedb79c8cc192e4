//! Local copy of the published state, ordered by revision.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::InvalidId;

/// Number of removed keys kept as tombstones for lagging peers; peers that lag further get a full
/// snapshot.
const MAX_REMOVED_KEYS: usize = 4_096;

/// Number of times that the platform restored its published state from a copy, which loses the
/// changes since; revisions are comparable within an era only.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Era(pub u64);

impl Era {
    /// Returns whether the platform has restored its state before; it counts eras from 1, and those
    /// of platforms without eras are 0.
    pub const fn is_restored(self) -> bool {
        self.0 > 1
    }
}

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

/// Revision of the published state, which rises with each change; the initial value precedes all.
///
/// A restored state gives numbers out again, so that revisions are ordered by era first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Revision {
    /// The era.
    pub era: Era,
    /// The number within the era.
    pub number: u64,
}

impl Revision {
    /// Returns the revision with a number in an era.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

impl std::str::FromStr for Revision {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let parts = text.split_once('.');
        let parsed =
            parts.and_then(|(era, number)| Some((era.parse().ok()?, number.parse().ok()?)));
        parsed.map(|(era, number)| Self { era, number }).ok_or_else(|| InvalidId {
            text: text.to_owned(),
            allowed: "an era and a revision such as 1.42",
        })
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
    /// The first revision known of the current era, where an earlier era was known.
    restored: Revision,
}

impl Mirror {
    /// Returns the revision up to which all changes are known, 0 initially.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether a change of the current era may be older than what was known of an earlier
    /// one, as it is part of the state that the platform restored.
    pub fn is_restored(&self, change: &Change) -> bool {
        change.revision <= self.restored
    }

    /// Applies the changes up to `at`, at most one per key, and returns those with a new value;
    /// changes of an earlier era are ignored.
    pub fn apply(&mut self, at: Revision, changes: Vec<Change>) -> Vec<Change> {
        if at.era < self.revision.era {
            return vec![];
        }
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

    /// Applies a full snapshot at `at`, removes absent keys and returns the changes with a new value.
    ///
    /// A snapshot of a later era replaces all that is known; one of an earlier era is ignored.
    pub fn apply_snapshot(&mut self, at: Revision, items: Vec<Change>) -> Vec<Change> {
        if at.era < self.revision.era {
            return vec![];
        }
        let is_first = self.revision == Revision::default();
        if at.era > self.revision.era && !is_first {
            self.restored = at;
        }
        let present: BTreeSet<&String> = items.iter().map(|item| &item.key).collect();
        let absent = |(key, (revision, value)): (&String, &(Revision, Option<Bytes>))| {
            let removed = value.is_some() && *revision <= at && !present.contains(key);
            removed.then(|| Change { key: key.clone(), revision: at, value: None })
        };
        let removed: Vec<Change> = self.items.iter().filter_map(absent).collect();
        if is_first {
            self.delta_floor = at;
        }
        self.apply(at, removed.into_iter().chain(items).collect())
    }

    /// Returns the delta for a peer that knows all changes up to `after`.
    pub fn delta_since(&self, after: Revision) -> StateDelta {
        let is_snapshot = after < self.delta_floor || after.era != self.revision.era;
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

    /// Applies a change and returns whether the value is another one than before.
    fn apply_change(&mut self, change: &Change) -> bool {
        let known = self.items.get(&change.key);
        let is_other = known.is_none_or(|(_, value)| *value != change.value);
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
        is_other
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
