//! The demo: a deployment on loopback, with a new version and a zone that leaves and returns.

mod deployment;
mod load;
mod report;

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use sequoiahold_core::{ids::VersionId, member::VmState};

pub use self::{
    deployment::{Deployment, Plan},
    load::Load,
    report::{Phase, Report},
};

/// Length of each phase.
const PHASE: Duration = Duration::from_secs(6);
/// Time after which a zone or endpoint must get no new work.
const SETTLE: Duration = Duration::from_secs(3);
/// Time that the fleet may take to become ready.
const READY: Duration = Duration::from_secs(60);

/// The options of the demo.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the callers.
    pub seed: u64,
    /// The program under test.
    pub program: PathBuf,
    /// The directory of the declared deployments.
    pub examples: PathBuf,
    /// The deployment.
    pub deployment: String,
}

/// Runs the demo and prints its report; the exit code is 0 if all must-hold counts are 0.
pub async fn run(options: Options) -> anyhow::Result<u8> {
    let plan = Plan::read(&options.examples, &options.deployment)?;
    let mut deployment = Deployment::start(&plan, &options.program).await?;
    let mut report = Report::new(&options.deployment, options.seed);
    progress("the deployment is started, its VMs draw the first version");
    deployment.wait_ready(&plan.version(1), READY).await?;

    let load = Load::start(&deployment, &plan, options.seed);
    progress("all replicas are ready, callers ask");
    report.phase("before", &load, PHASE).await;

    progress("a new version is published");
    let drawn = deployment.origin_bytes();
    let start = Instant::now();
    deployment.publish(|fleet| plan.set_version(fleet, 2))?;
    report.in_force = deployment.wait_in_force(READY).await?.as_secs_f64();
    report.replicas_ready = deployment.wait_ready(&plan.version(2), READY).await?;
    report.ready_s = start.elapsed().as_secs_f64();
    report.origin_bytes = deployment.origin_bytes() - drawn;

    let zone = plan.first_zone();
    progress(&format!("{zone} is taken out"));
    deployment.publish(|fleet| plan.set_out(fleet, &zone, true))?;
    let out = Instant::now();
    report.phase("zone_out", &load, PHASE).await;
    let back = Instant::now();
    progress(&format!("{zone} is back"));
    deployment.publish(|fleet| plan.set_out(fleet, &zone, false))?;
    report.phase("zone_back", &load, PHASE).await;
    report.late_zone = deployment.began_in_zone(&zone, out + SETTLE, back);

    progress("one endpoint leaves");
    let leaving = plan.last_endpoint();
    deployment.list(&leaving, VmState::Leaving);
    let left = Instant::now();
    actix_rt::time::sleep(SETTLE + Duration::from_secs(1)).await;
    report.late_leaving = deployment.began_at(&leaving, left + SETTLE);

    progress("the load ends, then all processes stop");
    let calls = load.stop().await;
    report.count(&calls);
    deployment.fill(&plan, &mut report);
    deployment.stop().await;
    report.print()
}

fn progress(text: &str) {
    println!("{text}");
}

/// Returns the version of a model with this number.
pub fn version(model: &str, number: u32) -> anyhow::Result<VersionId> {
    Ok(format!("{model}-{number}").parse()?)
}
