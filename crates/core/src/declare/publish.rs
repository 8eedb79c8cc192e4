//! The published form of a set: immutable parts addressed by digest, and a head that lists them.

use std::{collections::BTreeMap, fmt};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Declaration, DeclarationError, Fleet, Object, load};
use crate::{
    ids::{Digest, Generation},
    proto::encode,
    rendezvous::weight,
};

/// Maximum size of a value in the configuration service, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Mean number of objects in a part; a change of one object replaces one part.
const MEAN_PART_OBJECTS: u64 = 16;
/// Size in bytes above which a part is closed.
const PART_SPLIT_BYTES: usize = 16_000;

/// The head of a set: its generation and its parts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The generation of the set.
    pub generation: Generation,
    /// The parts of the set.
    pub parts: Vec<HeadEntry>,
}

/// The id of a published set; of two sets, the one with the greater id takes effect.
///
/// Ids are ordered by generation. If two different sets have the same generation, which is an
/// operator error, the greater head digest wins, so that all processes converge on the same set.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SetId {
    /// The generation.
    pub generation: Generation,
    /// The digest of the head.
    pub digest: Digest,
}

impl SetId {
    /// Returns whether two different sets have the same generation.
    pub fn conflicts_with(&self, other: &Self) -> bool {
        self.generation == other.generation && self.digest != other.digest
    }
}

impl fmt::Display for SetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.generation, self.digest.short())
    }
}

impl Head {
    /// Returns the id of the set.
    pub fn id(&self) -> SetId {
        SetId { generation: self.generation, digest: Digest::of(&encode(self)) }
    }
}

/// A part listed in a head.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HeadEntry {
    /// The name of the part, for operators.
    pub name: String,
    /// The digest of the part.
    pub digest: Digest,
}

/// A published set with all its parts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishedSet {
    /// The head.
    pub head: Head,
    /// The parts by digest.
    pub parts: BTreeMap<Digest, Bytes>,
}

/// An error in a published set.
#[derive(Clone, Debug, PartialEq)]
pub enum SetError {
    /// A part listed in the head is missing.
    MissingPart(Digest),
    /// A part does not match its digest or is not UTF-8.
    DigestMismatch(Digest),
    /// The part with this name is larger than `MAX_VALUE_BYTES`.
    TooLarge(String),
    /// The declarations have errors.
    Invalid(Vec<DeclarationError>),
}

impl fmt::Display for SetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingPart(digest) => write!(f, "part {} is missing", digest.short()),
            Self::DigestMismatch(digest) => {
                write!(f, "part {} does not match its digest", digest.short())
            }
            Self::TooLarge(name) => write!(f, "{name} is larger than {MAX_VALUE_BYTES} bytes"),
            Self::Invalid(errors) => match errors.first() {
                Some(first) => write!(f, "{} errors, first: {first}", errors.len()),
                None => f.write_str("the set is invalid"),
            },
        }
    }
}

impl std::error::Error for SetError {}

impl PublishedSet {
    /// Renders declared objects as a head and parts of bounded size, grouped by kind.
    pub fn render(declared: &[Declaration], generation: Generation) -> Result<Self, SetError> {
        let mut groups: BTreeMap<&str, Vec<&Object>> = BTreeMap::new();
        for declaration in declared {
            groups.entry(declaration.object.kind()).or_default().push(&declaration.object);
        }
        let mut published =
            Self { head: Head { generation, parts: vec![] }, parts: BTreeMap::new() };
        for (kind, mut objects) in groups {
            objects.sort_by_key(|object| object.name());
            published.add_group(kind, &objects)?;
        }
        Ok(published)
    }

    /// Verifies the digests of the parts and the declarations, and returns the fleet.
    pub fn verified_fleet(&self) -> Result<Fleet, SetError> {
        let mut texts = Vec::with_capacity(self.head.parts.len());
        for entry in &self.head.parts {
            let part = self.parts.get(&entry.digest).ok_or(SetError::MissingPart(entry.digest))?;
            if Digest::of(part) != entry.digest {
                return Err(SetError::DigestMismatch(entry.digest));
            }
            let text =
                std::str::from_utf8(part).map_err(|_| SetError::DigestMismatch(entry.digest))?;
            texts.push((entry.name.as_str(), text));
        }
        load::read_set(texts).map(|(_, fleet)| fleet).map_err(SetError::Invalid)
    }

    /// Returns the digests of parts of `head` that are not in `held`.
    pub fn missing_parts(head: &Head, held: &BTreeMap<Digest, Bytes>) -> Vec<Digest> {
        head.parts.iter().map(|part| part.digest).filter(|d| !held.contains_key(d)).collect()
    }

    /// Splits the sorted objects of a kind into parts.
    ///
    /// Part boundaries depend on the hash of object names (content-defined chunking), so that a new
    /// or removed object leaves the other parts unchanged.
    fn add_group(&mut self, kind: &str, objects: &[&Object]) -> Result<(), SetError> {
        let mut part: Vec<&Object> = Vec::new();
        let mut size = 0;
        for object in objects {
            size += serde_json::to_string(object).map_or(0, |line| line.len());
            part.push(object);
            if size > PART_SPLIT_BYTES || is_part_boundary(object.name()) {
                self.add_part(kind, &std::mem::take(&mut part))?;
                size = 0;
            }
        }
        if part.is_empty() { Ok(()) } else { self.add_part(kind, &part) }
    }

    fn add_part(&mut self, kind: &str, objects: &[&Object]) -> Result<(), SetError> {
        let lines: Vec<_> =
            objects.iter().map(|o| serde_json::to_string(o).unwrap_or_default()).collect();
        let name = format!("{kind}-{}", objects.first().map_or("", |first| first.name()));
        let text = format!("[{}]", lines.join(",\n"));
        if text.len() > MAX_VALUE_BYTES {
            return Err(SetError::TooLarge(name));
        }
        let digest = Digest::of(text.as_bytes());
        self.head.parts.push(HeadEntry { name, digest });
        self.parts.insert(digest, Bytes::from(text));
        Ok(())
    }
}

fn is_part_boundary(name: &str) -> bool {
    weight("part", name.as_bytes()).is_multiple_of(MEAN_PART_OBJECTS)
}
