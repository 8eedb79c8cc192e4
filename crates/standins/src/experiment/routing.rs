//! Comparison of routing policies under delayed load reports, with the same seeds.

use std::collections::BTreeMap;

use sequoiahold_core::{route::Policy, units::Span};
use serde::Serialize;

use super::traffic::{Options, Traffic, capacity, percentile, simulation_config};

/// Time for the engines to warm up before the measurement.
const WARM_UP: Span = Span::secs(30);
/// Time over which new callers are measured.
const MEASURED_TIME: Span = Span::secs(20);
/// Time after the measurement in which callers may still retry.
const DRAIN_TIME: Span = Span::secs(20);
/// The compared policies.
const POLICIES: [Policy; 4] =
    [Policy::Credits, Policy::TwoChoices, Policy::LeastLoaded, Policy::HashOnly];

/// The figures of one policy.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the policy.
    pub policy: String,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Offered load in percent of the warm capacity.
    pub load: u32,
    /// Number of measured callers.
    pub offered: usize,
    /// Number of callers that were answered.
    pub answered: usize,
    /// Number of refusals that callers received.
    pub refused: usize,
    /// Number of refusals that entries received from endpoint gates.
    pub gate: u64,
    /// Number of requests that engines received above their capacity.
    pub overloads: u32,
    /// Time to first token in milliseconds, 95th percentile.
    pub p95_ms: f64,
    /// Time to first token in milliseconds, 99th percentile.
    pub p99_ms: f64,
    /// Share of requests on the same endpoint as the previous request of the account in the zone.
    pub same: f64,
    /// Requests of the busiest endpoint divided by the mean over the endpoints.
    pub skew: f64,
}

/// Runs the experiment and prints its figures as JSON lines; returns 1 on any overload, else 0.
pub fn run(options: &Options) -> anyhow::Result<u8> {
    let mut overloads = 0;
    for policy in POLICIES {
        let report = measure(options, policy);
        overloads += report.overloads;
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(u8::from(overloads > 0))
}

/// Measures one policy.
pub fn measure(options: &Options, policy: Policy) -> Report {
    let config = simulation_config(&options.deployment, options.seed, policy);
    let rate = capacity(&config) * f64::from(options.load) / 100.0;
    let mut traffic = Traffic::new(config);
    let start = traffic.sim.now;
    let count = |span: Span| (rate * span.as_secs_f64()) as usize;
    traffic.add_callers(start, WARM_UP, count(WARM_UP));
    traffic.add_callers(start + WARM_UP, MEASURED_TIME, count(MEASURED_TIME));
    traffic.run(WARM_UP);
    let (gate_before, started_before) = (traffic.sim.gate_refusals, traffic.sim.started_runs.len());
    traffic.run(Span(MEASURED_TIME.0 + DRAIN_TIME.0));
    let requests: Vec<_> =
        traffic.requests.iter().filter(|request| request.at >= start + WARM_UP).collect();
    let spans: Vec<Span> =
        requests.iter().filter_map(|request| Some(request.answered?.0 - request.at)).collect();
    let mut last_vms = BTreeMap::new();
    let mut counts = BTreeMap::<_, usize>::new();
    let mut same = 0;
    let started = &traffic.sim.started_runs[started_before..];
    for (entry, client, vm) in started {
        *counts.entry(vm).or_default() += 1;
        let zone = &traffic.sim.fleet().vms[entry].zone;
        same += usize::from(last_vms.insert((zone, client), vm) == Some(vm));
    }
    let busiest = counts.values().max().copied().unwrap_or(0) as f64;
    let endpoints = traffic.sim.engines.keys().filter(|vm| vm.as_str().contains("llm")).count();
    Report {
        policy: format!("{policy:?}"),
        seed: options.seed,
        load: options.load,
        offered: requests.len(),
        answered: spans.len(),
        refused: requests.iter().map(|request| request.refused.len()).sum(),
        gate: traffic.sim.gate_refusals - gate_before,
        overloads: traffic.overloads(),
        p95_ms: percentile(&spans, 95),
        p99_ms: percentile(&spans, 99),
        same: same as f64 / started.len().max(1) as f64,
        skew: busiest * endpoints as f64 / started.len().max(1) as f64,
    }
}
