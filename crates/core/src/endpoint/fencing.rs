//! The right to give the engine orders, by fencing number.

use crate::ids::{Fence, Incarnation};

/// The fencing number of this process and what the engine shows of others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fencing {
    own: Fence,
    observed: Option<Fence>,
}

impl Fencing {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self { own: Fence(incarnation.0), observed: None }
    }

    /// Takes the highest fencing number that the engine has seen; the first one is followed upwards.
    pub(super) fn observe(&mut self, observed: Fence) {
        if self.observed.is_none() {
            self.own = self.own.max(observed.next());
        }
        self.observed = Some(observed);
    }

    /// Returns the fencing number of this process's orders.
    pub(super) fn fence(&self) -> Fence {
        self.own
    }

    /// Returns whether a later process has given the engine orders.
    pub(super) fn is_superseded(&self) -> bool {
        self.observed.is_some_and(|observed| observed > self.own)
    }

    /// Returns whether an order may be given.
    pub(super) fn may_command(&self) -> bool {
        self.observed.is_some() && !self.is_superseded()
    }
}
