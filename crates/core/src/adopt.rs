//! Adoption of published configurations: complete, valid sets newer than the one in force.

use std::{fmt, sync::Arc};

use crate::{
    declare::{Fleet, Head, PublishedSet, SetError, SetId},
    ids::Generation,
};

/// The configuration that a process applies.
#[derive(Clone, Debug)]
pub struct ConfigInForce {
    /// The published set of declarations, as received.
    pub published: Arc<PublishedSet>,
    /// The fleet that the set declares.
    pub fleet: Arc<Fleet>,
}

/// The result of offering a published set.
#[derive(Clone, Debug, PartialEq)]
pub enum Adoption {
    /// The set was adopted and is now in force.
    Adopted(Generation),
    /// The set in force, of this generation, is the same or newer.
    NotNewer(Generation),
    /// The set failed verification.
    Refused(SetError),
}

impl fmt::Display for Adoption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Adopted(generation) => write!(f, "generation {generation} adopted"),
            Self::NotNewer(generation) => write!(f, "generation {generation} is in force already"),
            Self::Refused(error) => write!(f, "published set rejected: {error}"),
        }
    }
}

/// Verifies published sets before they are adopted.
pub trait Verify {
    /// Returns the fleet that the set declares; fails if the set is invalid.
    fn verify(&self, published: &PublishedSet) -> Result<Arc<Fleet>, SetError>;
}

/// Verifies every part of a set against its digest and against all rules for declarations.
#[derive(Clone, Copy, Debug, Default)]
pub struct FullVerification;

impl Verify for FullVerification {
    fn verify(&self, published: &PublishedSet) -> Result<Arc<Fleet>, SetError> {
        published.verified_fleet().map(Arc::new)
    }
}

/// Keeps the published set in force and replaces it by newer ones.
#[derive(Clone, Debug, Default)]
pub struct Adopter<V = FullVerification> {
    in_force: Option<ConfigInForce>,
    id: Option<SetId>,
    verify: V,
}

impl<V: Verify> Adopter<V> {
    /// Returns an adopter without a configuration.
    pub fn new(verify: V) -> Self {
        Self { in_force: None, id: None, verify }
    }

    /// Returns the configuration in force, `None` before the first adoption.
    pub fn in_force(&self) -> Option<&ConfigInForce> {
        self.in_force.as_ref()
    }

    /// Returns the generation in force, 0 before the first adoption.
    pub fn generation(&self) -> Generation {
        self.id.map_or(Generation::default(), |id| id.generation)
    }

    /// Returns the identifier of the set in force.
    pub fn id(&self) -> Option<SetId> {
        self.id
    }

    /// Returns whether the set with this head is newer than the one in force.
    pub fn is_newer_head(&self, head: &Head) -> bool {
        self.is_newer(&head.id())
    }

    /// Returns whether the set with this identifier is newer than the one in force.
    pub fn is_newer(&self, id: &SetId) -> bool {
        self.id.is_none_or(|held| *id > held)
    }

    /// Adopts a set that is newer than the one in force and passes verification.
    pub fn offer(&mut self, published: Arc<PublishedSet>) -> Adoption {
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
