//! Pace of an endpoint that has just started, recovered or paused: many gateways have requests for it
//! at once, and how many it can take shows only in its answers.

use super::cells::Relation;
use crate::{time::Time, units::Span};

/// Divisor of an endpoint's slots that gives the requests in progress at the start of a pace.
const START_DIVISOR: u32 = 8;
/// Time within which a started endpoint is left to its primary gateway.
const PRIMARY_TIME: Span = Span::secs(1);
/// Multiple of the expected time after which a first event counts as late.
const LATE_FACTOR: u64 = 2;
/// Time added to that multiple, which covers the network and short delays.
const LATE_SLACK: Span = Span::millis(50);

/// The limit on the requests in progress at one endpoint, as found from its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    limit: Option<u32>,
    /// Whether only the primary may send at first.
    is_start: bool,
    /// When a request was first considered since the pace began.
    first_check: Option<Time>,
    last_cut: Time,
}

impl Pace {
    /// Begins a pace after a recovery or a pause, unless the slots are too few for one.
    pub fn begin(&mut self, slots: u32) {
        let limit = (slots / START_DIVISOR).max(1);
        *self = Self { limit: (limit < slots).then_some(limit), ..Self::default() };
    }

    /// Begins a pace after a start of the endpoint, which is left to its primary gateway at first.
    pub fn begin_start(&mut self, slots: u32) {
        self.begin(slots);
        self.is_start = true;
    }

    /// Returns the limit on the requests in progress, `None` if there is none.
    pub fn limit(&self) -> Option<u32> {
        self.limit
    }

    /// Returns whether one more request may be sent where `own` of `total` requests in progress are
    /// those of this gateway. The primary may always have one.
    pub fn allows(&mut self, now: Time, relation: Relation, own: u32, total: u32) -> bool {
        let Some(limit) = self.limit else { return true };
        let first_check = *self.first_check.get_or_insert(now);
        if relation == Relation::Primary && own == 0 {
            return true;
        }
        let is_reserved = self.is_start
            && matches!(relation, Relation::Cell | Relation::Outside)
            && now < first_check + PRIMARY_TIME;
        !is_reserved && total < limit
    }

    /// Records the first event of a request, expected after `expected_ms`, 0 if that is not known.
    ///
    /// Each request in time adds one to the limit, which thus at most doubles within an answer time;
    /// a late one halves it. The limit ends at the slots.
    pub fn record_first_event(&mut self, now: Time, sent: Time, expected_ms: u32, slots: u32) {
        let expected = Span::millis(u64::from(expected_ms) * LATE_FACTOR);
        if expected_ms > 0 && now > sent + expected + LATE_SLACK {
            self.record_refusal(now, sent);
            return;
        }
        self.limit = self.limit.map(|limit| limit + 1).filter(|limit| *limit < slots);
    }

    /// Records that a request was refused or failed: the limit is halved, once for all requests that
    /// were sent before that.
    pub fn record_refusal(&mut self, now: Time, sent: Time) {
        if sent >= self.last_cut {
            self.limit = self.limit.map(|limit| (limit / 2).max(1));
            self.last_cut = now;
        }
    }
}
