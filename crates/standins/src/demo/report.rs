//! The report of the demo.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::Serialize;

use crate::{
    callers::{Call, Outcome},
    deployment::Deployment,
    load::Load,
};

/// Figures of one phase.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Phase {
    /// Requests that were answered.
    pub answered: usize,
    /// Requests that were sent.
    pub offered: usize,
    /// Median time to the end of an answer, in milliseconds.
    pub p50_ms: u128,
    /// 95th percentile of the time to the end of an answer, in milliseconds.
    pub p95_ms: u128,
    /// 99th percentile of the time to the end of an answer, in milliseconds.
    pub p99_ms: u128,
    /// 95th percentile of the time to the first token, in milliseconds.
    #[serde(rename = "first_token_p95_ms")]
    pub first_p95: u128,
}

/// The figures of a demo run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[expect(missing_docs, reason = "the README documents the fields")]
pub struct Report {
    pub deployment: String,
    pub seed: u64,
    pub vms: usize,
    pub replicas: usize,
    pub replicas_ready: usize,
    pub ready_s: f64,
    pub model_bytes: u64,
    pub origin_bytes: u64,
    pub requests: usize,
    pub answered: usize,
    #[serde(rename = "refused_not_run")]
    pub not_run: usize,
    #[serde(rename = "not_run_but_began")]
    pub refused_started: usize,
    pub unknown: usize,
    pub unreached: usize,
    pub wrong: usize,
    pub partial_weights: usize,
    pub cold_overload: u64,
    #[serde(rename = "late_zone_work")]
    pub late_zone: usize,
    #[serde(rename = "late_leaving_work")]
    pub late_leaving: usize,
    #[serde(rename = "orders_run_twice")]
    pub run_twice: usize,
    #[serde(rename = "cut_in_shutdown")]
    pub cut_answers: usize,
    #[serde(rename = "config_in_force_s")]
    pub in_force: f64,
    pub phases: BTreeMap<String, Phase>,
}

impl Report {
    /// Returns a report without figures.
    pub fn new(deployment: &str, seed: u64) -> Self {
        Self { deployment: deployment.to_owned(), seed, ..Self::default() }
    }

    /// Waits for `length` and records the figures of the calls sent in that time.
    ///
    /// Calls that have not finished one second after it are left out.
    pub async fn record_phase(&mut self, name: &str, load: &Load, length: Duration) {
        let start = Instant::now();
        actix_rt::time::sleep(length).await;
        let end = Instant::now();
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        let calls: Vec<Call> =
            load.calls().into_iter().filter(|c| c.at >= start && c.at < end).collect();
        let answered = calls.iter().filter(|c| c.outcome == Outcome::Answered);
        let took = sorted(answered.clone().map(|c| c.took));
        let first_p95 = percentile(&sorted(answered.filter_map(|c| c.first_token)), 95);
        let (p50_ms, p95_ms) = (percentile(&took, 50), percentile(&took, 95));
        let p99_ms = percentile(&took, 99);
        let (answered, offered) = (took.len(), calls.len());
        let phase = Phase { answered, offered, p50_ms, p95_ms, p99_ms, first_p95 };
        println!("{name}: {} of {} answered, p95 {p95_ms} ms", phase.answered, phase.offered);
        self.phases.insert(name.to_owned(), phase);
    }

    /// Adds the numbers of calls by outcome.
    pub fn count_outcomes(&mut self, calls: &[Call]) {
        let number_of = |kind: Outcome| calls.iter().filter(|c| c.outcome == kind).count();
        self.requests = calls.len();
        self.answered = number_of(Outcome::Answered);
        self.not_run = number_of(Outcome::NotRun);
        self.unknown = number_of(Outcome::Unknown);
        self.unreached = number_of(Outcome::Unreached);
        self.wrong = number_of(Outcome::Wrong);
        self.partial_weights = number_of(Outcome::Partial);
        self.cut_answers = number_of(Outcome::Broken) + number_of(Outcome::Truncated);
    }

    /// Adds the figures from the records of the simulated services.
    pub fn add_records(&mut self, deployment: &Deployment, calls: &[Call]) {
        let records = deployment.records();
        self.vms = deployment.plan.fleet.vms.len();
        self.replicas = deployment.engines.len();
        self.model_bytes = deployment.plan.weights_size().0;
        self.cold_overload = records.overloads();
        self.run_twice = records.repeated_orders();
        self.refused_started = records.refused_but_started(calls);
    }

    /// Prints the report as one line of JSON and returns the exit code, 1 after a violation.
    pub fn print(&self) -> anyhow::Result<u8> {
        println!("{}", serde_json::to_string(self)?);
        let failed = self.wrong + self.partial_weights + self.cut_answers + self.unreached;
        let late = self.late_zone + self.late_leaving;
        let wrong_runs = self.run_twice + self.refused_started;
        let passed = failed + late + wrong_runs == 0 && self.cold_overload == 0;
        Ok(u8::from(!passed))
    }
}

fn sorted(times: impl Iterator<Item = Duration>) -> Vec<u128> {
    let mut times: Vec<u128> = times.map(|time| time.as_millis()).collect();
    times.sort_unstable();
    times
}

fn percentile(sorted: &[u128], percent: usize) -> u128 {
    sorted.get(sorted.len() * percent / 100).copied().unwrap_or(0)
}
