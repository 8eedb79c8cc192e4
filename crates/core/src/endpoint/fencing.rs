//! Fencing tokens that keep a superseded endpoint process from sending commands to the engine.

use crate::ids::{FenceToken, Incarnation};

/// The fencing token of this process and the highest token that the engine has reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fencing {
    own: FenceToken,
    observed: Option<FenceToken>,
}

impl Fencing {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self { own: FenceToken(incarnation.0), observed: None }
    }

    /// Records the highest token that the engine has received.
    ///
    /// The first report raises this process's own token above it, so that a new process takes over;
    /// a higher token in a later report means that this process is superseded.
    pub(super) fn observe(&mut self, observed: FenceToken) {
        if self.observed.is_none() {
            self.own = self.own.max(observed.next());
        }
        self.observed = Some(observed);
    }

    /// Returns the fencing token of this process's commands.
    pub(super) fn fence(&self) -> FenceToken {
        self.own
    }

    /// Returns whether a later process has sent commands to the engine.
    pub(super) fn is_superseded(&self) -> bool {
        self.observed.is_some_and(|observed| observed > self.own)
    }

    /// Returns whether this process may send commands to the engine.
    pub(super) fn may_command(&self) -> bool {
        self.observed.is_some() && !self.is_superseded()
    }
}
