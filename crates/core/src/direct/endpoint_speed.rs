//! How long work takes at an endpoint whose machine is shared with others, from what its answers say.
//!
//! Load pattern: the speed of an endpoint changes many times per second, and a gateway learns it only
//! from answers to its own requests. A single figure counts for the moment; their average over some
//! seconds counts for longer, and both fade to the usual speed where no answer arrives.

use crate::{time::Time, units::Span};

/// Time in which what a single answer says fades to the average.
const MOMENT: Span = Span::millis(400);
/// Time over which answers are averaged, and in which the average fades to the usual speed.
const AVERAGE: Span = Span::secs(4);
/// Time without an answer after which the average begins to fade.
const FRESH: Span = Span::secs(1);
/// Minimum weight of a new answer in what counts for the moment.
const MIN_MOMENT_WEIGHT: f64 = 0.5;
/// Maximum weight of a single answer in the average.
const MAX_AVERAGE_WEIGHT: f64 = 0.25;
/// Range of the factors that are believed.
const FACTORS: (f64, f64) = (0.5, 10.0);

/// Factor on the time that work takes at an endpoint, 1 as usual.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSpeed {
    /// The deviation from the usual that counts for the moment, at `updated`.
    moment: f64,
    /// The average deviation from the usual, at `updated`.
    average: f64,
    updated: Option<Time>,
}

impl EndpointSpeed {
    /// Records the factor that an answer stated at `now`.
    pub fn record(&mut self, now: Time, factor: f64) {
        let deviation = factor.clamp(FACTORS.0, FACTORS.1) - 1.0;
        let (moment, average) = self.deviations(now);
        let elapsed = self.updated.map(|updated| now - updated);
        let weight = |time| elapsed.map_or(1.0, |elapsed| 1.0 - fade(elapsed, time));
        let moment_weight = weight(MOMENT).max(MIN_MOMENT_WEIGHT);
        let average_weight = weight(AVERAGE).min(MAX_AVERAGE_WEIGHT);
        self.moment = moment + (deviation - moment) * moment_weight;
        self.average = average + (deviation - average) * average_weight;
        self.updated = Some(now);
    }

    /// Returns the mean factor that is expected over a span from `now` on.
    pub fn expected(&self, now: Time, span: Span) -> f64 {
        let (moment, average) = self.deviations(now);
        let times = (span.0 as f64 / MOMENT.0 as f64).max(f64::EPSILON);
        let moment_share = (1.0 - (-times).exp()) / times;
        1.0 + average + (moment - average) * moment_share
    }

    /// Returns the deviations from the usual, for the moment and on average.
    fn deviations(&self, now: Time) -> (f64, f64) {
        let Some(updated) = self.updated else { return (0.0, 0.0) };
        let elapsed = now - updated;
        let stale = Span(elapsed.0.saturating_sub(FRESH.0));
        let average = self.average * fade(stale, AVERAGE);
        (average + (self.moment - self.average) * fade(elapsed, MOMENT), average)
    }
}

/// Returns the share that is left after a time of what fades in another.
fn fade(elapsed: Span, time: Span) -> f64 {
    (-(elapsed.0 as f64) / time.0 as f64).exp()
}
