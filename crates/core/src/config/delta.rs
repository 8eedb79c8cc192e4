//! The difference between two heads.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    declare::{Head, HeadEntry},
    ids::{Digest, Generation},
};

/// Most parts that a head may have.
const MAX_PARTS: usize = 20_000;

/// A run of parts of the new head.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DeltaStep {
    /// This many parts of the old head, from a position.
    Keep(u32, u32),
    /// A part that the old head lacks.
    Add(HeadEntry),
}

/// A head, as the difference from another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeadDelta {
    /// The digest of the old head, or `None` where the whole head follows.
    pub base: Option<Digest>,
    /// The generation of the new head.
    pub generation: Generation,
    /// The parts of the new head in order.
    pub steps: Vec<DeltaStep>,
}

impl HeadDelta {
    /// Returns the difference of `new` from `old`.
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

    /// Returns the new head, or `None` where the difference does not fit the old one.
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
