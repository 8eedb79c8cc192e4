//! Randomized fault soak of real gateway processes on loopback.
//!
//! A seed draws the sizes and the order of events. Faults come from outside the processes, and the
//! checks use only what callers and endpoints see.

mod call;
mod engine;
mod faults;
mod fleet;
mod journal;
mod notices;
mod origin;
mod plan;
mod staged;

use std::{
    path::PathBuf,
    pin::pin,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use futures_util::{Stream, StreamExt as _, future::join_all, stream};

use self::{call::Caller, fleet::Fleet, plan::Plan};
pub use self::{
    journal::AttemptId,
    notices::{LinkOwner, Notices},
    staged::StagedChunks,
};

/// Causes of failures, each with the seeds that showed it.
pub const REGRESSIONS: [(&str, &[u64]); 6] = [
    (
        "a watch fell silent before a version was published, which was then dated up to 2.6 s late",
        &[1, 10, 12, 14, 20, 24, 25, 26, 28, 30, 33, 36, 38, 40, 50, 105],
    ),
    ("a gateway was paused as a version was published, which it dated when it resumed", &[42]),
    ("a request waited at a slow engine until after the rollout time", &[317]),
    ("the check STOP counted the time for which the VM was suspended", &[303, 306, 320]),
    (
        "a 503 of one endpoint was passed on where another may have run the request",
        &[20_004, 20_009, 20_011, 20_017],
    ),
    ("a pause was forgotten as a restored list showed an earlier start of the engine", &[21_018]),
];

/// Number of violations of a seed that are printed; the rest are counted.
const MAX_PRINTED: usize = 8;
/// Time without new faults at the end of a soak, in which answers arrive.
const END_TIME: Duration = Duration::from_millis(500);

/// Returns all seeds that failed before.
pub fn failed_seeds() -> Vec<u64> {
    REGRESSIONS.iter().flat_map(|(_, seeds)| seeds.iter().copied()).collect()
}

/// The options of a soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seeds to play.
    pub seeds: Vec<u64>,
    /// The number of seeds played at the same time.
    pub jobs: usize,
    /// The number of gateways, drawn from the seed by default.
    pub gateways: Option<usize>,
    /// The `sequoiahold` program.
    pub program: PathBuf,
}

/// What one seed showed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The line that sums it up.
    pub summary: String,
    /// The violations of the checks.
    pub violations: Vec<String>,
}

/// Plays the seeds and prints a line for each; returns the exit code, 1 if a check failed.
pub async fn run(options: Options) -> anyhow::Result<u8> {
    let mut outcomes = pin!(outcomes(&options));
    let (mut played, mut failed) = (0, 0);
    while let Some(outcome) = outcomes.next().await {
        let outcome = outcome?;
        println!("{}", outcome.summary);
        outcome.violations.iter().take(MAX_PRINTED).for_each(|line| println!("  {line}"));
        played += 1;
        failed += u32::from(!outcome.violations.is_empty());
    }
    println!("{played} seeds, {failed} failed");
    Ok(u8::from(failed > 0))
}

/// Plays the seeds, `jobs` at the same time, and yields what each one showed.
pub fn outcomes(options: &Options) -> impl Stream<Item = anyhow::Result<Outcome>> {
    let seeds = stream::iter(options.seeds.clone());
    seeds.map(|seed| play(seed, options)).buffer_unordered(options.jobs.max(1))
}

/// Plays one seed; removes its logs unless a check failed.
async fn play(seed: u64, options: &Options) -> anyhow::Result<Outcome> {
    let start = Instant::now();
    let plan = Plan::draw(seed, options.gateways);
    let fleet = Fleet::start(&plan, options.program.clone()).await?;
    let callers = (0..plan.callers as u64).map(|number| {
        let caller = Caller::new(&fleet, seed.rotate_left(32) ^ number);
        caller.run()
    });
    let faults = async {
        sleep(journal::CONTACT_TIME).await;
        faults::play(&fleet, &plan).await?;
        sleep(END_TIME).await;
        anyhow::Ok(())
    };
    let ticks = async {
        loop {
            fleet.journal.tick();
            sleep(journal::TICK_INTERVAL).await;
        }
    };
    tokio::select! {
        result = faults => result?,
        result = faults::supervise(&fleet) => result?,
        _ = join_all(callers) => {}
        () = ticks => {}
    }
    let violations = fleet.journal.violations();
    let summary = summary(&plan, &fleet, start.elapsed());
    if violations.is_empty() {
        std::fs::remove_dir_all(&fleet.dir)?;
    }
    Ok(Outcome { summary, violations })
}

/// Returns the line that sums up a seed.
fn summary(plan: &Plan, fleet: &Fleet, time: Duration) -> String {
    let journal = &fleet.journal;
    let (sent, runs, answered) = journal.counts();
    let loads: Vec<u32> = fleet.seats.iter().map(|seat| seat.engine.loads()).collect();
    let held = match journal.held() {
        Some(time) => format!("held by all after {:.1} s", time.as_secs_f64()),
        None => "not held by all".to_owned(),
    };
    let verdict = match journal.violations().len() {
        0 => "ok".to_owned(),
        count => format!("FAILED, {count} violations, logs in {}", fleet.dir.display()),
    };
    format!(
        "seed {}: {} gateways, {} engines{}{}, bound {:?}, {sent} requests, {runs} runs, \
         {answered} answered, {} on bad loads, version {} {held}, loads per engine {loads:?}, \
         {} bad loads, lag {} ms, {:.0} s: {verdict}",
        plan.seed,
        plan.gateways,
        plan.engines,
        if plan.loaders { " with loaders" } else { "" },
        if plan.slow { ", some slow" } else { "" },
        plan.bound,
        journal.bad_runs(),
        fleet.newest_version(),
        journal.bad_loads(),
        journal.lag().as_millis(),
        time.as_secs_f64(),
    )
}
