//! The right to give the engine orders, by fencing number.

use crate::ids::{FenceToken, Incarnation};

/// The fencing number of this process and what the engine shows of others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Command {
    own: FenceToken,
    shown: Option<FenceToken>,
}

impl Command {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self { own: FenceToken(incarnation.0), shown: None }
    }

    /// Takes the highest fencing number that the engine has seen; the first one is followed upwards.
    pub(super) fn show(&mut self, shown: FenceToken) {
        if self.shown.is_none() {
            self.own = self.own.max(shown.next());
        }
        self.shown = Some(shown);
    }

    /// Returns the fencing number of this process's orders.
    pub(super) fn fence(&self) -> FenceToken {
        self.own
    }

    /// Returns whether a later process has given the engine orders.
    pub(super) fn superseded(&self) -> bool {
        self.shown.is_some_and(|shown| shown > self.own)
    }

    /// Returns whether an order may be given.
    pub(super) fn may_order(&self) -> bool {
        self.shown.is_some() && !self.superseded()
    }
}
