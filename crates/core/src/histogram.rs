//! Latency histograms per client account and measure, bounded in number.

use std::{collections::BTreeMap, fmt};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{declare::Fleet, ids::ClientId, units::Span};

/// The number of client accounts with histograms of their own; all others share one set.
const MAX_NAMED_ACCOUNTS: usize = 20;
/// The largest value of a histogram, in microseconds; longer times are recorded as this value.
const MAX_VALUE_US: u64 = 600_000_000;
/// The significant decimal digits that a histogram preserves.
const SIGNIFICANT_DIGITS: u8 = 2;

/// An interval that is measured for each request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// From one part of the answer to the next.
    Between,
    /// From the arrival to the first part of the answer.
    First,
    /// From the arrival until the request is sent to an endpoint.
    Queue,
    /// From the arrival to the end of the answer.
    Whole,
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Between => "between",
            Self::First => "first",
            Self::Queue => "queue",
            Self::Whole => "whole",
        })
    }
}

/// The count and percentiles of one histogram.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// The number of recorded values.
    pub count: u64,
    /// The median.
    pub p50: Span,
    /// The 95th percentile.
    pub p95: Span,
    /// The 99th percentile.
    pub p99: Span,
}

/// Latency histograms by client account and measure.
#[derive(Clone, Debug, Default)]
pub struct Histograms {
    named: BTreeMap<ClientId, BTreeMap<Measure, Histogram<u32>>>,
    rest: BTreeMap<Measure, Histogram<u32>>,
}

impl Histograms {
    /// Gives the accounts with the highest weights histograms of their own and drops those of
    /// others.
    pub fn track_accounts(&mut self, fleet: &Fleet) {
        let mut clients: Vec<_> = fleet.clients.values().collect();
        clients.sort_by_key(|client| (std::cmp::Reverse(client.weight), client.name.clone()));
        clients.truncate(MAX_NAMED_ACCOUNTS);
        let wanted = |name: &ClientId| clients.iter().any(|client| client.name == *name);
        self.named.retain(|name, _| wanted(name));
        for client in clients {
            self.named.entry(client.name.clone()).or_default();
        }
    }

    /// Records one measured interval.
    pub fn record(&mut self, client: &ClientId, measure: Measure, span: Span) {
        let measures = self.named.get_mut(client).unwrap_or(&mut self.rest);
        let histogram = measures.entry(measure).or_insert_with(new_histogram);
        histogram.saturating_record(span.0.max(1));
    }

    /// Returns the metrics label of an account, `rest` if it has no histograms of its own.
    pub fn label<'a>(&self, client: &'a ClientId) -> &'a str {
        if self.named.contains_key(client) { client.as_str() } else { "rest" }
    }

    /// Returns the summaries of all non-empty histograms, by label and measure.
    pub fn summaries(&self) -> BTreeMap<String, BTreeMap<Measure, Summary>> {
        let named = self.named.iter().map(|(name, measures)| (name.as_str(), measures));
        named
            .chain([("rest", &self.rest)])
            .filter(|(_, measures)| !measures.is_empty())
            .map(|(name, measures)| (name.to_owned(), measures.iter().map(summary).collect()))
            .collect()
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_VALUE_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn summary((measure, histogram): (&Measure, &Histogram<u32>)) -> (Measure, Summary) {
    let at = |percentile: f64| Span(histogram.value_at_percentile(percentile));
    let summary = Summary { count: histogram.len(), p50: at(50.0), p95: at(95.0), p99: at(99.0) };
    (*measure, summary)
}
