//! Adoption of published sets: whole, sound, and only upwards.

use std::{fmt, sync::Arc};

use crate::{
    declare::{Fleet, Head, PublishError, Published},
    ids::Generation,
};

/// The configuration in force in a process.
#[derive(Clone, Debug)]
pub struct InForce {
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
    Old(Generation),
    /// The set is unsound and was not taken.
    Refused(PublishError),
}

impl fmt::Display for Adoption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Adopted(generation) => write!(f, "generation {generation} adopted"),
            Self::Old(generation) => write!(f, "generation {generation} is in force already"),
            Self::Refused(error) => write!(f, "set refused: {error}"),
        }
    }
}

/// Decides which published set is in force.
#[derive(Clone, Debug, Default)]
pub struct Adopter {
    now: Option<InForce>,
}

impl Adopter {
    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&InForce> {
        self.now.as_ref()
    }

    /// Returns the generation in force, 0 where there is none.
    pub fn generation(&self) -> Generation {
        self.now.as_ref().map_or(Generation::default(), |now| now.published.head.generation)
    }

    /// Returns the published set in force if it is above a generation.
    pub fn newer(&self, above: Generation) -> Option<Arc<Published>> {
        let newer = self.now.as_ref().filter(|_| self.generation() > above);
        newer.map(|now| now.published.clone())
    }

    /// Returns whether a set with this head would be newer than the one in force.
    pub fn wants(&self, head: &Head) -> bool {
        head.generation > self.generation()
    }

    /// Takes a set if it is newer and sound.
    pub fn offer(&mut self, published: Arc<Published>) -> Adoption {
        if !self.wants(&published.head) {
            return Adoption::Old(self.generation());
        }
        match published.fleet() {
            Ok(fleet) => {
                self.now = Some(InForce { published, fleet: Arc::new(fleet) });
                Adoption::Adopted(self.generation())
            }
            Err(error) => Adoption::Refused(error),
        }
    }
}
