//! The demo: a deployment on loopback with a version rollout, a zone outage and graceful stops.

mod report;

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use sequoiahold_core::{ids::VmId, vm_state::VmState};

pub use self::report::{Phase, Report};
use crate::{
    deployment::{Deployment, Plan, Setup},
    load::{Load, LoadSpec},
};

/// Length of each phase.
const PHASE_LENGTH: Duration = Duration::from_secs(6);
/// Time after which a withdrawn zone or endpoint must get no new work.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Maximum time for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which the platform's load balancer stops sending callers to an entry.
const BALANCER_DELAY: Duration = Duration::from_millis(100);
/// Maximum time for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// The options of the demo.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the callers.
    pub seed: u64,
    /// The program under test.
    pub program: PathBuf,
    /// The directory that holds the declared deployments.
    pub examples: PathBuf,
    /// The name of the deployment.
    pub deployment: String,
}

/// Runs the demo and prints its report; the exit code is 0 if all counts of violations are 0.
pub async fn run(options: Options) -> anyhow::Result<u8> {
    let plan = Plan::read(&options.examples, &options.deployment)?;
    let setup = Setup { program: options.program, own_network: true, ..Setup::default() };
    let mut deployment = Deployment::start(plan, setup).await?;
    let mut report = Report::new(&options.deployment, options.seed);
    print_progress("deployment started; its VMs download the first version");
    deployment.wait_ready(&deployment.plan.version(1), READY_TIMEOUT).await?;
    deployment.wait_open(READY_TIMEOUT).await?;
    deployment.wait_orders(READY_TIMEOUT).await?;

    let load = Load::start(
        &deployment,
        LoadSpec { seed: options.seed, repeats: 2, ..LoadSpec::default() },
    );
    print_progress("all replicas are ready; the load starts");
    report.record_phase("before", &load, PHASE_LENGTH).await;
    publish_version(&mut deployment, &mut report).await?;
    cycle_zone(&mut deployment, &load, &mut report).await?;
    withdraw_endpoint(&deployment, &mut report).await;
    stop_gracefully(&mut deployment, &load).await;

    print_progress("stopping the load, then all processes");
    let calls = load.stop().await;
    report.count_outcomes(&calls);
    report.add_records(&deployment, &calls);
    deployment.stop().await;
    report.print()
}

async fn publish_version(deployment: &mut Deployment, report: &mut Report) -> anyhow::Result<()> {
    print_progress("publishing a new version");
    let plan = deployment.plan.clone();
    let bytes_before = deployment.origin_bytes();
    let start = Instant::now();
    deployment.publish(|declared| plan.set_version(declared, 2))?;
    let in_force = deployment.wait_in_force(READY_TIMEOUT).await?;
    report.in_force = in_force.as_secs_f64();
    print_progress(&format!("new version in force everywhere after {:.1} s", report.in_force));
    report.replicas_ready = deployment.wait_ready(&plan.version(2), READY_TIMEOUT).await?;
    report.ready_s = start.elapsed().as_secs_f64();
    report.origin_bytes = deployment.origin_bytes() - bytes_before;
    print_progress(&format!(
        "{} replicas loaded it after {:.1} s",
        report.replicas_ready, report.ready_s
    ));
    Ok(())
}

async fn cycle_zone(
    deployment: &mut Deployment,
    load: &Load,
    report: &mut Report,
) -> anyhow::Result<()> {
    let plan = deployment.plan.clone();
    let zone = plan.first_zone();
    print_progress(&format!("taking {zone} out of service"));
    deployment.publish(|declared| plan.set_zone_out(declared, &zone, true))?;
    let out = Instant::now();
    report.record_phase("zone_out", load, PHASE_LENGTH).await;
    let back = Instant::now();
    print_progress(&format!("putting {zone} back into service"));
    deployment.publish(|declared| plan.set_zone_out(declared, &zone, false))?;
    report.record_phase("zone_back", load, PHASE_LENGTH).await;
    report.late_zone = deployment.records().count_started_in_zone(&zone, out + SETTLE_TIME, back);
    Ok(())
}

async fn withdraw_endpoint(deployment: &Deployment, report: &mut Report) {
    let Some(leaving) = deployment.plan.model_vms().pop() else { return };
    print_progress(&format!("the platform lists {leaving} as leaving"));
    deployment.set_vm_state(&leaving, VmState::Leaving);
    let listed = Instant::now();
    actix_rt::time::sleep(SETTLE_TIME + Duration::from_secs(1)).await;
    report.late_leaving =
        deployment.records().count_started(&leaving, listed + SETTLE_TIME, Instant::now());
}

/// Stops one endpoint and one entry gracefully under load.
async fn stop_gracefully(deployment: &mut Deployment, load: &Load) {
    let endpoint = deployment.plan.model_vms().into_iter().next();
    let entry = deployment.plan.entry_vms().into_iter().next();
    let stopping: Vec<VmId> = endpoint.into_iter().chain(entry).collect();
    for vm in stopping {
        print_progress(&format!("stopping {vm}"));
        if deployment.plan.fleet.pool_of(&vm).is_none() {
            load.remove_entry(deployment.entry(&vm));
        }
        actix_rt::time::sleep(BALANCER_DELAY).await;
        if !deployment.stop_process(&vm, STOP_TIMEOUT).await {
            print_progress(&format!("{vm} did not stop within {STOP_TIMEOUT:?}"));
        }
    }
}

fn print_progress(text: &str) {
    println!("{text}");
}
