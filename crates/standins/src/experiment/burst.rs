//! Burst experiment: all callers start within one second while all engines are cold.

use std::{fs::File, io::Write as _};

use sequoiahold_core::{route::Policy, time::Time, units::Span};
use serde::Serialize;

use super::{
    chart::{Series, draw_lines},
    traffic::{CallerRequest, Options, Traffic, capacity, percentile, simulation_config},
};

/// Time within which all callers make their first calls.
const START_WINDOW: Span = Span::secs(1);
/// Measured time from the first call.
const MEASURED_TIME: Span = Span::secs(60);
/// Time that warm endpoints need to serve all callers; it determines their number.
const BACKLOG_TIME: Span = Span::secs(10);

/// The figures of one second.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Seconds since the start of the burst.
    pub second: u64,
    /// Number of calls made.
    pub offered: usize,
    /// Number of answers whose first token arrived.
    pub answered: usize,
    /// Number of refused calls.
    pub refused: usize,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Routing policy of the entries.
    pub policy: String,
    /// Number of callers.
    pub callers: usize,
    /// Number of callers that were answered.
    pub answered: usize,
    /// Number of callers whose answers started within the first ten seconds.
    pub early: usize,
    /// Number of callers with a call that failed after it was sent to an endpoint.
    pub failed: usize,
    /// Number of refusals that callers received.
    pub refused: usize,
    /// Number of refusals that entries received from endpoint gates.
    pub gate: u64,
    /// Number of requests that engines received above their capacity.
    pub overloads: u32,
    /// Median time to first token in milliseconds, for callers answered in the first ten seconds.
    pub p50_ms: f64,
    /// 95th percentile of the same.
    pub p95_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
    /// Time until the last answer started, in seconds.
    pub last_s: f64,
    /// Share of the small accounts' callers answered in the first ten seconds, from 0 to 1.
    pub small: f64,
    /// Share of the large accounts' callers answered in the first ten seconds, from 0 to 1.
    pub large: f64,
}

/// Runs the experiment and prints its figures as JSON lines; returns 1 on any overload, else 0.
///
/// With an output directory, writes the figures of each second and a chart for each policy.
pub fn run(options: &Options) -> anyhow::Result<u8> {
    let mut overloads = 0;
    for policy in [Policy::Credits, Policy::TwoChoices] {
        let (report, seconds) = measure(options, policy);
        println!("{}", serde_json::to_string(&report)?);
        overloads += report.overloads;
        let Some(dir) = &options.out else { continue };
        std::fs::create_dir_all(dir)?;
        let name = format!("burst-{}-{policy:?}", options.deployment).to_lowercase();
        let mut file = File::create(dir.join(format!("{name}.jsonl")))?;
        for second in &seconds {
            writeln!(file, "{}", serde_json::to_string(second)?)?;
        }
        let series = |name, value: fn(&Second) -> usize| Series {
            name,
            points: seconds.iter().map(|s| (s.second as f64, value(s) as f64)).collect(),
        };
        let lines = [
            series("offered", |s| s.offered),
            series("answered", |s| s.answered),
            series("refused", |s| s.refused),
        ];
        draw_lines(&dir.join(format!("{name}.svg")), &lines)?;
    }
    Ok(u8::from(overloads > 0))
}

/// Measures one policy; returns the figures of the run and of each second.
pub fn measure(options: &Options, policy: Policy) -> (Report, Vec<Second>) {
    let config = simulation_config(&options.deployment, options.seed, policy);
    let callers = (capacity(&config) * BACKLOG_TIME.as_secs_f64()) as usize;
    let mut traffic = Traffic::new(config);
    let start = traffic.sim.now;
    traffic.add_callers(start, START_WINDOW, callers);
    traffic.run(MEASURED_TIME);
    let early_end = start + Span::secs(10);
    let early =
        |request: &&CallerRequest| request.answered.is_some_and(|(first, _)| first < early_end);
    let requests = &traffic.requests;
    let spans: Vec<Span> = requests
        .iter()
        .filter(early)
        .filter_map(|request| Some(request.answered?.0 - request.at))
        .collect();
    let share = |large: bool| {
        let in_group =
            |request: &&CallerRequest| matches!(request.client.as_str(), "c1" | "c2") == large;
        let all = requests.iter().filter(in_group).count().max(1);
        requests.iter().filter(in_group).filter(early).count() as f64 / all as f64
    };
    let last = requests.iter().filter_map(|request| request.answered).map(|(first, _)| first).max();
    let report = Report {
        deployment: options.deployment.clone(),
        seed: options.seed,
        policy: format!("{policy:?}"),
        callers,
        answered: requests.iter().filter(|request| request.answered.is_some()).count(),
        early: spans.len(),
        failed: requests.iter().filter(|request| request.failed).count(),
        refused: requests.iter().map(|request| request.refused.len()).sum(),
        gate: traffic.sim.gate_refusals,
        overloads: traffic.overloads(),
        p50_ms: percentile(&spans, 50),
        p95_ms: percentile(&spans, 95),
        p99_ms: percentile(&spans, 99),
        last_s: last.map_or(0.0, |last| (last - start).as_secs_f64()),
        small: share(false),
        large: share(true),
    };
    (report, per_second(start, &traffic))
}

fn per_second(start: Time, traffic: &Traffic) -> Vec<Second> {
    let mut seconds: Vec<Second> = (0..MEASURED_TIME.0 / 1_000_000)
        .map(|second| Second { second, ..Second::default() })
        .collect();
    let index = |at: Time| ((at - start).0 / 1_000_000) as usize;
    for call in &traffic.sim.calls {
        seconds.get_mut(index(call.called_at)).into_iter().for_each(|s| s.offered += 1);
    }
    for request in &traffic.requests {
        if let Some((first, _)) = request.answered {
            seconds.get_mut(index(first)).into_iter().for_each(|s| s.answered += 1);
        }
        for at in &request.refused {
            seconds.get_mut(index(*at)).into_iter().for_each(|s| s.refused += 1);
        }
    }
    seconds
}
