//! Decides whether the chunks that an engine loaded are known to have been intact.
//!
//! An engine loads whatever is staged as it accepts an order, and staged chunks can turn corrupt at
//! any moment. A load counts as intact only by evidence: either the order was accepted soon enough
//! after a check that found all chunks intact, or a check afterwards does, as corrupt chunks do not
//! recover by themselves.

use crate::{time::Time, units::Span};

/// Time for which a chunk may have been corrupt when an engine loads it.
const CORRUPTION_GRACE: Span = Span::secs(3);
/// Age of a check above which the chunks are checked again before an order, counted from the read
/// of the first chunk. The rest of the grace is left for the order to arrive.
const MAX_CHECK_AGE: Span = Span::millis(1_500);
/// Time between a check that takes longer than [`MAX_CHECK_AGE`] and its order.
const ORDER_TIME: Span = Span::millis(250);

/// A check that found all staged chunks intact.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChunkCheck {
    /// When the first chunk was read.
    pub started: Time,
    /// When the last chunk had been read.
    pub ended: Time,
}

/// Which order an engine has accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptedOrder {
    /// The last one sent.
    Last,
    /// Any one that was sent, at an unknown time.
    Unknown,
}

/// What is known of the chunks that an engine loads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadVerdict {
    /// They were intact.
    Intact,
    /// They were intact if a check finds the staged ones intact now.
    Recheck,
    /// Some may have been corrupt.
    Doubtful,
}

/// The evidence on the chunks that an engine loads.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadProof {
    check: Option<ChunkCheck>,
    open_order: bool,
    /// Whether chunks were staged again while an order was open.
    restaged: bool,
}

impl LoadProof {
    /// Records a check.
    pub fn record_check(&mut self, check: ChunkCheck) {
        self.check = Some(check);
    }

    /// Records that chunks were staged again.
    pub fn record_staging(&mut self) {
        self.check = None;
        self.restaged |= self.open_order;
    }

    /// Returns whether the last check is recent enough for an order.
    pub fn allows_order(&self, now: Time) -> bool {
        self.check.is_some_and(|check| {
            let slow_check = check.ended + ORDER_TIME;
            now <= slow_check.max(check.started + MAX_CHECK_AGE)
        })
    }

    /// Records that an order is sent, which the engine may accept at any time from now on.
    pub fn record_order(&mut self) {
        self.open_order = true;
    }

    /// Records that the engine can no longer accept an order sent so far.
    pub fn close_orders(&mut self) {
        (self.open_order, self.restaged) = (false, false);
    }

    /// Returns whether the engine may still accept an order.
    pub fn has_open_order(&self) -> bool {
        self.open_order
    }

    /// Returns the time since the first read of the last check, `None` without one.
    pub fn check_age(&self, now: Time) -> Option<Span> {
        self.check.map(|check| now - check.started)
    }

    /// Returns what is known of the chunks loaded by an order that was accepted by `now`.
    pub fn verdict(&self, now: Time, accepted: AcceptedOrder) -> LoadVerdict {
        if self.restaged && accepted == AcceptedOrder::Unknown {
            return LoadVerdict::Doubtful;
        }
        match self.check {
            Some(check) if now - check.started <= CORRUPTION_GRACE => LoadVerdict::Intact,
            _ => LoadVerdict::Recheck,
        }
    }
}
