//! The demo: a deployment on loopback, with a new version and a zone that leaves and returns.

mod report;

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use sequoiahold_core::{ids::VmId, vm_state::VmState};

pub use self::report::{Phase, Report};
use crate::{
    deployment::{Deployment, Plan, Setup},
    load::{Load, Shape},
};

/// Length of each phase.
const PHASE: Duration = Duration::from_secs(6);
/// Time after which a zone or endpoint must get no new work.
const SETTLE: Duration = Duration::from_secs(3);
/// Time that the fleet may take to become ready.
const READY: Duration = Duration::from_secs(60);
/// Time after which the platform's balancer sends an entry no more callers.
const BALANCER: Duration = Duration::from_millis(100);
/// Time that a graceful stop may take.
const STOP: Duration = Duration::from_secs(20);

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
    let setup = Setup { program: options.program, apart: true, ..Setup::default() };
    let mut deployment = Deployment::start(plan, setup).await?;
    let mut report = Report::new(&options.deployment, options.seed);
    progress("the deployment is started, its VMs draw the first version");
    deployment.wait_ready(&deployment.plan.version(1), READY).await?;
    deployment.wait_open(READY).await?;
    deployment.wait_orders(READY).await?;

    let load =
        Load::start(&deployment, Shape { seed: options.seed, repeats: 2, ..Shape::default() });
    progress("all replicas are ready, callers ask");
    report.phase("before", &load, PHASE).await;
    publish_version(&mut deployment, &mut report).await?;
    cycle_zone(&mut deployment, &load, &mut report).await?;
    leave(&deployment, &mut report).await;
    stop_gracefully(&mut deployment, &load).await;

    progress("the load ends, then all processes stop");
    let calls = load.stop().await;
    report.count(&calls);
    report.fill(&deployment, &calls);
    deployment.stop().await;
    report.print()
}

async fn publish_version(deployment: &mut Deployment, report: &mut Report) -> anyhow::Result<()> {
    progress("a new version is published");
    let plan = deployment.plan.clone();
    let drawn = deployment.origin_bytes();
    let start = Instant::now();
    deployment.publish(|declared| plan.set_version(declared, 2))?;
    let in_force = deployment.wait_in_force(READY).await?;
    report.in_force = in_force.as_secs_f64();
    progress(&format!("it is in force everywhere after {:.1} s", report.in_force));
    report.replicas_ready = deployment.wait_ready(&plan.version(2), READY).await?;
    report.ready_s = start.elapsed().as_secs_f64();
    report.origin_bytes = deployment.origin_bytes() - drawn;
    progress(&format!("{} replicas hold it after {:.1} s", report.replicas_ready, report.ready_s));
    Ok(())
}

async fn cycle_zone(
    deployment: &mut Deployment,
    load: &Load,
    report: &mut Report,
) -> anyhow::Result<()> {
    let plan = deployment.plan.clone();
    let zone = plan.first_zone();
    progress(&format!("{zone} is taken out"));
    deployment.publish(|declared| plan.set_out(declared, &zone, true))?;
    let out = Instant::now();
    report.phase("zone_out", load, PHASE).await;
    let back = Instant::now();
    progress(&format!("{zone} is back"));
    deployment.publish(|declared| plan.set_out(declared, &zone, false))?;
    report.phase("zone_back", load, PHASE).await;
    report.late_zone = deployment.records().began_in_zone(&zone, out + SETTLE, back);
    Ok(())
}

async fn leave(deployment: &Deployment, report: &mut Report) {
    let Some(leaving) = deployment.plan.model_vms().pop() else { return };
    progress(&format!("{leaving} leaves"));
    deployment.list(&leaving, VmState::Leaving);
    let left = Instant::now();
    actix_rt::time::sleep(SETTLE + Duration::from_secs(1)).await;
    report.late_leaving = deployment.records().began(&leaving, left + SETTLE, Instant::now());
}

/// Stops one endpoint and one entry while callers ask.
async fn stop_gracefully(deployment: &mut Deployment, load: &Load) {
    let endpoint = deployment.plan.model_vms().into_iter().next();
    let entry = deployment.plan.entry_vms().into_iter().next();
    let stopping: Vec<VmId> = endpoint.into_iter().chain(entry).collect();
    for vm in stopping {
        progress(&format!("{vm} is told to stop"));
        if deployment.plan.fleet.pool_of(&vm).is_none() {
            load.avoid(deployment.entry(&vm));
        }
        actix_rt::time::sleep(BALANCER).await;
        if !deployment.stop_one(&vm, STOP).await {
            progress(&format!("{vm} has not stopped in time"));
        }
    }
}

fn progress(text: &str) {
    println!("{text}");
}
