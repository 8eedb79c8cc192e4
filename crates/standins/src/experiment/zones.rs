//! Zone experiment: service while an availability zone is taken out and put back.

use std::{fs::File, io::Write as _};

use sequoiahold_core::{route::Policy, time::Time, units::Span};
use serde::Serialize;

use super::{
    chart::{Series, draw_lines},
    traffic::{Options, Traffic, capacity, percentile, simulation_config},
};

/// Time for the engines to warm up before the measurement.
const WARM_UP: Span = Span::secs(30);
/// Duration of each phase: all zones in service, one out, all in service again.
const PHASE_TIME: Span = Span::secs(10);
/// Time after the measurement in which callers may still retry.
const DRAIN_TIME: Span = Span::secs(20);
/// Duration of a slice.
const SLICE_WIDTH: Span = Span::millis(100);
/// Number of slices per phase.
const PHASE_SLICES: usize = 100;

/// The figures of the callers whose first calls fall into a slice of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Slice {
    /// Start of the slice in milliseconds since the start of the measurement.
    pub at_ms: u64,
    /// Number of callers.
    pub offered: usize,
    /// Number of callers answered on their first call.
    pub answered: usize,
    /// Number of callers refused on their first call.
    pub refused: usize,
    /// Median time to the complete answer in milliseconds, for callers answered on the first call.
    pub p50_ms: f64,
    /// 95th percentile of the same.
    pub p95_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
}

/// The figures of a phase.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Phase {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Offered load in percent of the warm capacity of all zones.
    pub load: u32,
    /// Name of the phase.
    pub phase: &'static str,
    /// Number of callers.
    pub offered: usize,
    /// Number of callers answered on their first call.
    pub answered: usize,
    /// Number of callers refused on their first call.
    pub refused: usize,
    /// Number of callers with a call that failed after it was sent to an endpoint.
    pub failed: usize,
    /// Smallest share of callers answered on the first call in any slice, in percent.
    pub worst: f64,
    /// Median time to the complete answer in milliseconds, for callers answered on the first call.
    pub p50_ms: f64,
    /// 95th percentile of the same.
    pub p95_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
    /// Number of requests that engines received above their capacity since the start.
    pub overloads: u32,
}

/// Runs the experiment and prints its figures as JSON lines; returns 1 on any overload, else 0.
///
/// With an output directory, writes the figures of each slice and two charts.
pub fn run(options: &Options) -> anyhow::Result<u8> {
    let (phases, slices) = measure(options);
    for phase in &phases {
        println!("{}", serde_json::to_string(phase)?);
    }
    if let Some(dir) = &options.out {
        std::fs::create_dir_all(dir)?;
        let name = format!("zones-{}-{}", options.deployment, options.load);
        let mut file = File::create(dir.join(format!("{name}.jsonl")))?;
        for slice in &slices {
            writeln!(file, "{}", serde_json::to_string(slice)?)?;
        }
        let series = |name, value: fn(&Slice) -> f64| Series {
            name,
            points: slices.iter().map(|s| (s.at_ms as f64 / 1e3, value(s))).collect(),
        };
        let counts = [
            series("offered", |s| s.offered as f64),
            series("answered", |s| s.answered as f64),
            series("refused", |s| s.refused as f64),
        ];
        draw_lines(&dir.join(format!("{name}-counts.svg")), &counts)?;
        let times = [
            series("p50 ms", |s| s.p50_ms),
            series("p95 ms", |s| s.p95_ms),
            series("p99 ms", |s| s.p99_ms),
        ];
        draw_lines(&dir.join(format!("{name}-times.svg")), &times)?;
    }
    Ok(u8::from(phases.iter().any(|phase| phase.overloads > 0)))
}

/// Measures a run; returns its phases and slices.
pub fn measure(options: &Options) -> (Vec<Phase>, Vec<Slice>) {
    let config = simulation_config(&options.deployment, options.seed, Policy::Credits);
    let rate = capacity(&config) * f64::from(options.load) / 100.0;
    let mut traffic = Traffic::new(config);
    let start = traffic.sim.now + WARM_UP;
    let length = Span(PHASE_TIME.0 * 3);
    traffic.add_callers(traffic.sim.now, WARM_UP, (rate * WARM_UP.as_secs_f64()) as usize);
    traffic.add_callers(start, length, (rate * length.as_secs_f64()) as usize);
    traffic.run(Span(WARM_UP.0 + PHASE_TIME.0));
    let zone = "z1".parse().expect("valid zone name");
    traffic.sim.set_zone_out(&zone, true);
    traffic.run(PHASE_TIME);
    traffic.sim.set_zone_out(&zone, false);
    traffic.run(Span(PHASE_TIME.0 + DRAIN_TIME.0));
    let slices: Vec<Slice> = (0..3 * PHASE_SLICES as u64)
        .map(|n| {
            measure_slice(
                &traffic,
                start + Span(n * SLICE_WIDTH.0),
                SLICE_WIDTH,
                n * SLICE_WIDTH.0 / 1_000,
            )
        })
        .collect();
    let names = ["before", "out", "back"].into_iter().zip(0..);
    let phases = names.map(|(phase, n): (_, u64)| {
        let from = start + Span(n * PHASE_TIME.0);
        let totals = measure_slice(&traffic, from, PHASE_TIME, 0);
        let phase_slices = &slices[n as usize * PHASE_SLICES..(n as usize + 1) * PHASE_SLICES];
        let share = |s: &Slice| 100.0 * s.answered as f64 / s.offered.max(1) as f64;
        let in_phase = |at: Time| at >= from && at < from + PHASE_TIME;
        Phase {
            deployment: options.deployment.clone(),
            seed: options.seed,
            load: options.load,
            phase,
            offered: totals.offered,
            answered: totals.answered,
            refused: totals.refused,
            failed: traffic
                .requests
                .iter()
                .filter(|request| request.failed && in_phase(request.at))
                .count(),
            worst: phase_slices.iter().filter(|s| s.offered > 0).map(share).fold(100.0, f64::min),
            p50_ms: totals.p50_ms,
            p95_ms: totals.p95_ms,
            p99_ms: totals.p99_ms,
            overloads: traffic.overloads(),
        }
    });
    (phases.collect(), slices)
}

fn measure_slice(traffic: &Traffic, from: Time, width: Span, at_ms: u64) -> Slice {
    let within =
        traffic.requests.iter().filter(|request| request.at >= from && request.at < from + width);
    let requests: Vec<_> = within.collect();
    let not_refused = requests.iter().filter(|request| request.refused.is_empty());
    let spans: Vec<Span> =
        not_refused.filter_map(|request| Some(request.answered?.1 - request.at)).collect();
    Slice {
        at_ms,
        offered: requests.len(),
        answered: spans.len(),
        refused: requests.iter().filter(|request| !request.refused.is_empty()).count(),
        p50_ms: percentile(&spans, 50),
        p95_ms: percentile(&spans, 95),
        p99_ms: percentile(&spans, 99),
    }
}
