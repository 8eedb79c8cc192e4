//! A platform that fails or goes back while real processes run.

use std::time::Duration;

use rstest::rstest;
use sequoiahold_core::ids::Generation;
use sequoiahold_standins::{
    deployment::{Deployment, Setup},
    fixture::{FEW_SECONDS, pass, start},
    platform::Fault,
};

/// Returns the lowest generation that any running process shows during a time.
async fn lowest(deployment: &Deployment, time: Duration) -> Generation {
    let mut lowest = Generation(u64::MAX);
    let end = std::time::Instant::now() + time;
    while std::time::Instant::now() < end {
        for vm in deployment.processes.keys() {
            if let Ok(status) = deployment.status(vm).await {
                lowest = lowest.min(status.generation);
            }
        }
        pass(Duration::from_millis(100)).await;
    }
    lowest
}

#[rstest]
#[actix_rt::test]
async fn rolled_back_platform_reverts_nothing() {
    let mut deployment = start(Setup::for_test()).await.unwrap();
    let plan = deployment.plan.clone();
    deployment.publish(|declared| plan.set_version(declared, 2)).unwrap();
    let took = deployment.wait_in_force(FEW_SECONDS).await.unwrap();
    assert!(took <= FEW_SECONDS);
    deployment.platform.set_fault(Fault::RolledBack);
    assert!(lowest(&deployment, Duration::from_secs(3)).await >= deployment.generation());
    deployment.platform.set_fault(Fault::None);
    let zone = plan.first_zone();
    deployment.publish(|declared| plan.set_out(declared, &zone, true)).unwrap();
    deployment.wait_in_force(FEW_SECONDS).await.unwrap();
}
