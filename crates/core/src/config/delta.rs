//! Delta encoding of the head of a configuration set.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    declare::{Head, HeadEntry},
    ids::{Digest, Generation},
};

/// Maximum number of parts in a head; bounds the memory that applying a peer's delta takes.
const MAX_PARTS: usize = 20_000;

/// One instruction for building the new head from the old one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DeltaStep {
    /// Copies parts of the old head, given as start index and count.
    Keep(u32, u32),
    /// Appends a part that the old head does not have.
    Add(HeadEntry),
}

/// A head, encoded relative to an older one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeadDelta {
    /// The digest of the old head, or `None` if the delta is a full head.
    pub base: Option<Digest>,
    /// The generation of the new head.
    pub generation: Generation,
    /// The instructions that produce the parts of the new head, in order.
    pub steps: Vec<DeltaStep>,
}

impl HeadDelta {
    /// Encodes `new` relative to `old`, or in full if there is no old head.
    pub fn between(old: Option<&Head>, new: &Head) -> Self {
        let positions: BTreeMap<_, u32> = old
            .iter()
            .flat_map(|head| &head.parts)
            .enumerate()
            .map(|(i, entry)| ((&entry.name, entry.digest), i as u32))
            .collect();
        let mut steps: Vec<DeltaStep> = Vec::new();
        for entry in &new.parts {
            match (positions.get(&(&entry.name, entry.digest)), steps.last_mut()) {
                (Some(i), Some(DeltaStep::Keep(from, count))) if *i == *from + *count => {
                    *count += 1
                }
                (Some(i), _) => steps.push(DeltaStep::Keep(*i, 1)),
                (None, _) => steps.push(DeltaStep::Add(entry.clone())),
            }
        }
        Self { base: old.map(|head| head.id().digest), generation: new.generation, steps }
    }

    /// Returns the new head, or `None` if the delta has another base, a range that `old` does not
    /// have or too many parts.
    pub fn apply(&self, old: Option<&Head>) -> Option<Head> {
        if self.base != old.map(|head| head.id().digest) && self.base.is_some() {
            return None;
        }
        let old_parts: &[HeadEntry] = old.map_or(&[], |head| &head.parts);
        let mut parts = Vec::new();
        for step in &self.steps {
            match step {
                DeltaStep::Add(entry) => parts.push(entry.clone()),
                DeltaStep::Keep(from, count) => {
                    let end = from.checked_add(*count)? as usize;
                    parts.extend_from_slice(old_parts.get(*from as usize..end)?);
                }
            }
            if parts.len() > MAX_PARTS {
                return None;
            }
        }
        Some(Head { generation: self.generation, parts })
    }
}
