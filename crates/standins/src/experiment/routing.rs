//! Ways to choose endpoints under load reports that lag, on the same seeds.

use std::collections::BTreeMap;

use sequoiahold_core::{route::Policy, units::Span};
use serde::Serialize;

use super::traffic::{Options, Traffic, capacity, quantile, world_config};

/// The time in which the engines turn warm; it is not measured.
const WARM_UP: Span = Span::secs(30);
/// The time that is measured.
const MEASURED_TIME: Span = Span::secs(20);
/// The time that callers who came back are waited for.
const DRAIN_TIME: Span = Span::secs(20);
/// The ways weighed.
const POLICIES: [Policy; 4] =
    [Policy::Credits, Policy::TwoChoices, Policy::LeastLoaded, Policy::HashOnly];

/// The figures of one way.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// The way.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// The offered load in percent of the warm capacity.
    pub load: u32,
    /// Calls of new callers.
    pub offered: usize,
    /// Callers answered.
    pub answered: usize,
    /// Refusals that callers got.
    pub refused: usize,
    /// Refusals of gates that entries got.
    pub gate: u64,
    /// Requests given to engines above what they bear.
    pub overloads: u32,
    /// Time to the first token, 95th percentile.
    pub p95_ms: f64,
    /// Time to the first token, 99th percentile.
    pub p99_ms: f64,
    /// Share of requests that ran where the account's last request in that zone had run.
    pub same: f64,
    /// The most requests that one endpoint began, over the mean.
    pub skew: f64,
}

/// Runs the experiment, prints its figures as JSON lines and returns the exit code.
pub fn run(options: &Options) -> anyhow::Result<u8> {
    let mut overloads = 0;
    for policy in POLICIES {
        let report = measure(options, policy);
        overloads += report.overloads;
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(u8::from(overloads > 0))
}

/// Measures one way of choosing endpoints.
pub fn measure(options: &Options, policy: Policy) -> Report {
    let config = world_config(&options.deployment, options.seed, policy);
    let rate = capacity(&config) * f64::from(options.load) / 100.0;
    let mut traffic = Traffic::new(config);
    let start = traffic.world.now;
    let count = |span: Span| (rate * span.as_secs_f64()) as usize;
    traffic.add_callers(start, WARM_UP, count(WARM_UP));
    traffic.add_callers(start + WARM_UP, MEASURED_TIME, count(MEASURED_TIME));
    traffic.run(WARM_UP);
    let (gate, began) = (traffic.world.gate_refusals, traffic.world.started_runs.len());
    traffic.run(Span(MEASURED_TIME.0 + DRAIN_TIME.0));
    let requests: Vec<_> =
        traffic.requests.iter().filter(|request| request.at >= start + WARM_UP).collect();
    let spans: Vec<Span> =
        requests.iter().filter_map(|request| Some(request.answered?.0 - request.at)).collect();
    let mut last = BTreeMap::new();
    let mut counts = BTreeMap::<_, usize>::new();
    let mut same = 0;
    let ran = &traffic.world.started_runs[began..];
    for (entry, client, vm) in ran {
        *counts.entry(vm).or_default() += 1;
        let zone = &traffic.world.fleet().vms[entry].zone;
        same += usize::from(last.insert((zone, client), vm) == Some(vm));
    }
    let most = counts.values().max().copied().unwrap_or(0) as f64;
    let endpoints = traffic.world.engines.keys().filter(|vm| vm.as_str().contains("llm")).count();
    Report {
        policy: format!("{policy:?}"),
        seed: options.seed,
        load: options.load,
        offered: requests.len(),
        answered: spans.len(),
        refused: requests.iter().map(|request| request.refused.len()).sum(),
        gate: traffic.world.gate_refusals - gate,
        overloads: traffic.overloads(),
        p95_ms: quantile(&spans, 95),
        p99_ms: quantile(&spans, 99),
        same: same as f64 / ran.len().max(1) as f64,
        skew: most * endpoints as f64 / ran.len().max(1) as f64,
    }
}
