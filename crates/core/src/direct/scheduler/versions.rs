//! Versions of the weights that placed requests may use, and until when.

use super::{Grant, PlacementRequest, Scheduler};
use crate::{direct::view::View, time::Time};

/// Fraction of the rollout time after which no older version is requested. Of 8 s, the rest covers
/// the 1.1 s that a request took to start over a slow link.
const ROLLOUT_FRACTION: f64 = 0.82;
/// Fraction of the rollout time after which a request that has not begun on an older version is
/// withdrawn. Of 8 s, the rest covers the way of the withdrawal and the clocks.
const WITHDRAW_FRACTION: f64 = 0.925;

impl Scheduler {
    /// Returns when a placed request is withdrawn unless it has begun, as its version is no longer
    /// valid then; `None` while no newer version is announced.
    ///
    /// A version of unknown age that was not known when the slot was granted may be due already.
    pub fn begin_by(&self, view: &View, grant: &Grant) -> Option<Time> {
        let targets = view.target(grant.model.as_ref()?)?;
        if targets.has_undated_successor(grant.loaded.or(grant.version)) {
            return Some(grant.granted_at);
        }
        let span = self.config.rollout_span(WITHDRAW_FRACTION);
        match grant.loaded {
            Some(loaded) => targets.replaced_for(loaded, span),
            // The endpoint may hold any version that was valid when the slot was granted.
            None => targets.next_due(grant.granted_at, span),
        }
    }

    /// Returns the oldest version that may still be used, `None` for any.
    pub(super) fn min_version(&self, now: Time, request: &PlacementRequest) -> Option<u64> {
        let last = self.config.rollout_span(ROLLOUT_FRACTION);
        self.targets.get(request.model.as_ref()?)?.min_usable(now, last)
    }
}
