//! The report of the demo.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::Serialize;

use crate::{
    callers::{Call, Received},
    deployment::Deployment,
    load::Load,
};

/// Figures of one phase.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Phase {
    /// Requests that were answered.
    pub answered: usize,
    /// Requests that were made.
    pub offered: usize,
    /// Median time of an answer, in milliseconds.
    pub p50_ms: u128,
    /// 95th percentile, in milliseconds.
    pub p95_ms: u128,
    /// 99th percentile, in milliseconds.
    pub p99_ms: u128,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[expect(missing_docs, reason = "the fields are named as in the README")]
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
    pub began: usize,
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
    pub cut: usize,
    #[serde(rename = "config_in_force_s")]
    pub in_force: f64,
    pub phases: BTreeMap<String, Phase>,
}

impl Report {
    /// Returns an empty report.
    pub fn new(deployment: &str, seed: u64) -> Self {
        Self { deployment: deployment.to_owned(), seed, ..Self::default() }
    }

    /// Lets the load go on for a while and keeps the figures of that time.
    pub async fn phase(&mut self, name: &str, load: &Load, length: Duration) {
        let start = Instant::now();
        actix_rt::time::sleep(length).await;
        let end = Instant::now();
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        let calls: Vec<Call> =
            load.calls().into_iter().filter(|c| c.at >= start && c.at < end).collect();
        let answered = calls.iter().filter(|c| c.received == Received::Answered);
        let mut took: Vec<u128> = answered.map(|c| c.took.as_millis()).collect();
        took.sort_unstable();
        let at = |share: usize| took.get(took.len() * share / 100).copied().unwrap_or(0);
        let (p50_ms, p95_ms, p99_ms) = (at(50), at(95), at(99));
        let phase = Phase { answered: took.len(), offered: calls.len(), p50_ms, p95_ms, p99_ms };
        println!("{name}: {} of {} answered, p95 {p95_ms} ms", phase.answered, phase.offered);
        self.phases.insert(name.to_owned(), phase);
    }

    /// Counts what the callers received.
    pub fn count(&mut self, calls: &[Call]) {
        let of = |kind: Received| calls.iter().filter(|c| c.received == kind).count();
        self.requests = calls.len();
        self.answered = of(Received::Answered);
        self.not_run = of(Received::NotRun);
        self.unknown = of(Received::Unknown);
        self.unreached = of(Received::Unreached);
        self.wrong = of(Received::Wrong);
        self.partial_weights = of(Received::Partial);
        self.cut = of(Received::Broken);
    }

    /// Fills in what the stand-ins' records say.
    pub fn fill(&mut self, deployment: &Deployment, calls: &[Call]) {
        let records = deployment.records();
        self.vms = deployment.plan.fleet.vms.len();
        self.replicas = deployment.engines.len();
        self.model_bytes = deployment.plan.size().0;
        self.cold_overload = records.overloads();
        self.run_twice = records.run_twice();
        self.began = records.not_run_but_began(calls);
    }

    /// Prints the report as one line of JSON and returns the exit code.
    pub fn print(&self) -> anyhow::Result<u8> {
        println!("{}", serde_json::to_string(self)?);
        let broken = self.wrong + self.partial_weights + self.cut + self.unreached;
        let late = self.late_zone + self.late_leaving;
        let run = self.run_twice + self.began;
        let sound = broken + late + run == 0 && self.cold_overload == 0;
        Ok(u8::from(!sound))
    }
}
