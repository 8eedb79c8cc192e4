//! Latency measurement of a request.

use std::time::Instant;

use sequoiahold_core::{histogram::Measure, ids::ClientId, units::Span};

use crate::metrics::Metrics;

/// Records the latencies of one request in the metrics of its client account.
pub struct Stopwatch {
    metrics: Metrics,
    client: ClientId,
    start: Instant,
    last_part: Option<Instant>,
}

impl Stopwatch {
    /// Starts the measurement at the arrival of a request.
    pub fn start(metrics: &Metrics, client: &ClientId) -> Self {
        let (metrics, client) = (metrics.clone(), client.clone());
        Self { metrics, client, start: Instant::now(), last_part: None }
    }

    /// Records the time from the arrival to the hand-over to an endpoint.
    pub fn record_sent(&self) {
        self.record(Measure::Queue, self.start);
    }

    /// Records the time to the first part of the response, or between two parts.
    pub fn record_part(&mut self) {
        match self.last_part {
            None => self.record(Measure::First, self.start),
            Some(last_part) => self.record(Measure::Between, last_part),
        }
        self.last_part = Some(Instant::now());
    }

    /// Records the time from the arrival to the end of a complete response.
    pub fn record_end(&self) {
        self.record(Measure::Whole, self.start);
    }

    fn record(&self, measure: Measure, since: Instant) {
        let span = Span(since.elapsed().as_micros() as u64);
        self.metrics.time(&self.client, measure, span);
    }
}
