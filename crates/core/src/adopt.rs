//! Adoption of published sets: whole, sound, and only upwards.

use std::{fmt, sync::Arc};

use crate::{
    declare::{Fleet, Head, PublishError, Published, SetId},
    ids::Generation,
};

/// The configuration in force in a process.
#[derive(Clone, Debug)]
pub struct ConfigInForce {
    /// The published set.
    pub published: Arc<Published>,
    /// The fleet that it declares.
    pub fleet: Arc<Fleet>,
}

/// What became of an offered set.
#[derive(Clone, Debug, PartialEq)]
pub enum Adoption {
    /// The set is in force now.
    Adopted(Generation),
    /// The set in force is as new or newer.
    NotNewer(Generation),
    /// The set is unsound and was not taken.
    Refused(PublishError),
}

impl fmt::Display for Adoption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Adopted(generation) => write!(f, "generation {generation} adopted"),
            Self::NotNewer(generation) => write!(f, "generation {generation} is in force already"),
            Self::Refused(error) => write!(f, "set refused: {error}"),
        }
    }
}

/// Reads and checks a published set.
pub trait Verify {
    /// Returns the fleet that a sound set declares.
    fn verify(&self, published: &Published) -> Result<Arc<Fleet>, PublishError>;
}

/// Checks each set whole, against its digests and all rules of declarations.
#[derive(Clone, Copy, Debug, Default)]
pub struct FullVerification;

impl Verify for FullVerification {
    fn verify(&self, published: &Published) -> Result<Arc<Fleet>, PublishError> {
        published.fleet().map(Arc::new)
    }
}

/// Decides which published set is in force.
#[derive(Clone, Debug, Default)]
pub struct Adopter<V = FullVerification> {
    in_force: Option<ConfigInForce>,
    id: Option<SetId>,
    verify: V,
}

impl<V: Verify> Adopter<V> {
    /// Returns an adopter that holds nothing yet.
    pub fn new(verify: V) -> Self {
        Self { in_force: None, id: None, verify }
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&ConfigInForce> {
        self.in_force.as_ref()
    }

    /// Returns the generation in force, 0 where there is none.
    pub fn generation(&self) -> Generation {
        self.id.map_or(Generation::default(), |id| id.generation)
    }

    /// Returns the identity of the set in force.
    pub fn id(&self) -> Option<SetId> {
        self.id
    }

    /// Returns whether a set with this head would be newer than the one in force.
    pub fn is_newer_head(&self, head: &Head) -> bool {
        self.is_newer(&head.id())
    }

    /// Returns whether a set with this identity would be newer than the one in force.
    pub fn is_newer(&self, id: &SetId) -> bool {
        self.id.is_none_or(|held| *id > held)
    }

    /// Takes a set if it is newer and sound.
    pub fn offer(&mut self, published: Arc<Published>) -> Adoption {
        let id = published.head.id();
        if !self.is_newer(&id) {
            return Adoption::NotNewer(self.generation());
        }
        match self.verify.verify(&published) {
            Ok(fleet) => {
                self.in_force = Some(ConfigInForce { published, fleet });
                self.id = Some(id);
                Adoption::Adopted(id.generation)
            }
            Err(error) => Adoption::Refused(error),
        }
    }
}
