//! The published form of a set: immutable parts by digest and one head.

use std::{collections::BTreeMap, fmt};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Declared, Fault, Fleet, Object, load};
use crate::{
    ids::{Digest, Generation},
    proto::encode,
    rendezvous::weight,
};

/// Largest value that the configuration service holds, in bytes.
pub const MAX_VALUE: usize = 1_000_000;
/// Mean number of objects in a part; a change of one object moves one part.
const PART_OBJECTS: u64 = 16;
/// Size at which a part is closed, in bytes.
const PART_SIZE: usize = 16_000;

/// The head value: the generation and the parts that make the set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The generation of the set.
    pub generation: Generation,
    /// The parts of the set.
    pub parts: Vec<HeadEntry>,
}

/// The identity of a published set; of two sets the greater one is in force.
///
/// Generations decide. Where two different sets carry one generation, which is a fault, the
/// greater digest of the head decides, so that all processes end with the same set.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SetId {
    /// The generation.
    pub generation: Generation,
    /// The digest of the head.
    pub digest: Digest,
}

impl SetId {
    /// Returns whether two different sets carry one generation.
    pub fn conflicts(&self, other: &Self) -> bool {
        self.generation == other.generation && self.digest != other.digest
    }
}

impl fmt::Display for SetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.generation, self.digest.short())
    }
}

impl Head {
    /// Returns the identity of the set.
    pub fn id(&self) -> SetId {
        SetId { generation: self.generation, digest: Digest::of(&encode(self)) }
    }
}

/// A part that a head names.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HeadEntry {
    /// The name of the part, for operators.
    pub name: String,
    /// The digest of the part.
    pub digest: Digest,
}

/// A whole published set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Published {
    /// The head.
    pub head: Head,
    /// The parts by digest.
    pub parts: BTreeMap<Digest, Bytes>,
}

/// Why a published set is not taken.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishError {
    /// A part that the head names is missing.
    Missing(Digest),
    /// A part does not have the digest that names it.
    Digest(Digest),
    /// A value is larger than the configuration service holds.
    TooLarge(String),
    /// The set has faults.
    Unsound(Vec<Fault>),
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(digest) => write!(f, "part {} is missing", digest.short()),
            Self::Digest(digest) => write!(f, "part {} has another digest", digest.short()),
            Self::TooLarge(name) => write!(f, "{name} is larger than {MAX_VALUE} bytes"),
            Self::Unsound(faults) => match faults.first() {
                Some(first) => write!(f, "{} faults, the first: {first}", faults.len()),
                None => f.write_str("the set is unsound"),
            },
        }
    }
}

impl std::error::Error for PublishError {}

impl Published {
    /// Renders declared objects as parts of bounded size, grouped by kind.
    pub fn render(declared: &[Declared], generation: Generation) -> Result<Self, PublishError> {
        let mut groups: BTreeMap<&str, Vec<&Object>> = BTreeMap::new();
        for one in declared {
            groups.entry(one.object.kind()).or_default().push(&one.object);
        }
        let mut published =
            Self { head: Head { generation, parts: vec![] }, parts: BTreeMap::new() };
        for (kind, mut objects) in groups {
            objects.sort_by_key(|object| object.name());
            published.add_group(kind, &objects)?;
        }
        Ok(published)
    }

    /// Checks the parts against their digests and the set as a whole.
    pub fn fleet(&self) -> Result<Fleet, PublishError> {
        let mut texts = Vec::with_capacity(self.head.parts.len());
        for entry in &self.head.parts {
            let part = self.parts.get(&entry.digest).ok_or(PublishError::Missing(entry.digest))?;
            if Digest::of(part) != entry.digest {
                return Err(PublishError::Digest(entry.digest));
            }
            let text = std::str::from_utf8(part).map_err(|_| PublishError::Digest(entry.digest))?;
            texts.push((entry.name.as_str(), text));
        }
        load::read_set(texts).map(|(_, fleet)| fleet).map_err(PublishError::Unsound)
    }

    /// Returns the names of parts that `held` does not hold.
    pub fn missing(head: &Head, held: &BTreeMap<Digest, Bytes>) -> Vec<Digest> {
        head.parts.iter().map(|part| part.digest).filter(|d| !held.contains_key(d)).collect()
    }

    /// Cuts the sorted objects of a kind into parts.
    ///
    /// A part ends after an object whose name decides it, so that an object that comes or goes
    /// changes no other part.
    fn add_group(&mut self, kind: &str, objects: &[&Object]) -> Result<(), PublishError> {
        let mut part: Vec<&Object> = Vec::new();
        let mut size = 0;
        for object in objects {
            size += serde_json::to_string(object).map_or(0, |line| line.len());
            part.push(object);
            if size > PART_SIZE || ends_part(object.name()) {
                self.add_part(kind, &std::mem::take(&mut part))?;
                size = 0;
            }
        }
        if part.is_empty() { Ok(()) } else { self.add_part(kind, &part) }
    }

    fn add_part(&mut self, kind: &str, objects: &[&Object]) -> Result<(), PublishError> {
        let lines: Vec<_> =
            objects.iter().map(|o| serde_json::to_string(o).unwrap_or_default()).collect();
        let name = format!("{kind}-{}", objects.first().map_or("", |first| first.name()));
        let text = format!("[{}]", lines.join(",\n"));
        if text.len() > MAX_VALUE {
            return Err(PublishError::TooLarge(name));
        }
        let digest = Digest::of(text.as_bytes());
        self.head.parts.push(HeadEntry { name, digest });
        self.parts.insert(digest, Bytes::from(text));
        Ok(())
    }
}

fn ends_part(name: &str) -> bool {
    weight("part", name.as_bytes()).is_multiple_of(PART_OBJECTS)
}
