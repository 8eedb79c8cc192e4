//! The published form of a set: immutable parts by digest and one head.

use std::{collections::BTreeMap, fmt};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Declared, Fault, Fleet, Object, load};
use crate::ids::{Digest, Generation};

/// Largest value that the configuration service holds, in bytes.
pub const MAX_VALUE: usize = 1_000_000;
/// Size at which a part is closed, in bytes; one more object fits below `MAX_VALUE`.
const PART_SIZE: usize = 256_000;

/// The head value: the generation and the parts that make the set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The generation of the set.
    pub generation: Generation,
    /// The parts of the set.
    pub parts: Vec<HeadEntry>,
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

    fn add_group(&mut self, kind: &str, objects: &[&Object]) -> Result<(), PublishError> {
        let mut lines: Vec<String> = Vec::new();
        let mut size = 0;
        for object in objects {
            let line = serde_json::to_string(object).unwrap_or_default();
            if size + line.len() > PART_SIZE && !lines.is_empty() {
                self.add_part(kind, &lines)?;
                lines.clear();
                size = 0;
            }
            size += line.len() + 2;
            lines.push(line);
        }
        self.add_part(kind, &lines)
    }

    fn add_part(&mut self, kind: &str, lines: &[String]) -> Result<(), PublishError> {
        let name = format!("{kind}-{}", self.head.parts.len());
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
