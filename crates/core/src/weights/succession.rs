//! Decides whether a loader finishes a version after operators announced a newer one.
//!
//! Load pattern: operators announce two versions closer together than a rollout takes, and the
//! origin stops answering soon after the second. A loader that always turned to the newest version
//! would bring neither before the one in use has to be given up.

use crate::{time::Time, units::Span};

/// Time allowed for a load, in which the engine first ends the requests in progress.
const LOAD_TIME: Span = Span::secs(1);

/// A version in transfer and the newer one that replaces it.
#[derive(Clone, Copy, Debug)]
pub struct Succession {
    /// The time that the missing chunks of the older version take over the narrower of the VM's link and the
    /// origin's.
    pub older: Span,
    /// The time that the missing chunks of the newer version take over the narrower of the VM's link and the
    /// origin's.
    pub newer: Span,
    /// The time after which the older version may no longer be used.
    pub usable_until: Time,
}

impl Succession {
    /// Returns whether the older version is finished first.
    ///
    /// A transfer goes on if it takes clearly less time than that of the newer version and leaves it
    /// time to follow; a version held whole is loaded unless the newer one is held whole too.
    pub fn finishes_older(&self, now: Time) -> bool {
        let ready = now + self.older + LOAD_TIME;
        if self.newer == Span(0) {
            return false;
        }
        if self.older == Span(0) {
            return ready <= self.usable_until;
        }
        3 * self.older.0 <= 2 * self.newer.0 && ready + self.newer <= self.usable_until
    }
}
