//! The fixture of the process tests: a small deployment of real processes on loopback.

use std::{path::Path, time::Duration};

use anyhow::Context as _;
use sequoiahold_core::once::MAX_CLOCK_SKEW;

use crate::{
    callers::{Call, Received},
    deployment::{Deployment, Plan, Setup},
};

/// Time in which a change must be in force everywhere, and no late work may begin after it.
pub const FEW_SECONDS: Duration = Duration::from_secs(5);
/// Time that the deployment may take to become ready, and that a stop may take.
pub const PATIENCE: Duration = Duration::from_secs(40);

/// Starts a small deployment and waits until it answers questions and orders.
pub async fn start_all(setup: Setup) -> anyhow::Result<Deployment> {
    let deployment = start(setup).await?;
    deployment.wait_orders(PATIENCE).await?;
    Ok(deployment)
}

/// Starts a small deployment and waits until all its endpoints take work.
pub async fn start(setup: Setup) -> anyhow::Result<Deployment> {
    let own = std::env::current_exe()?;
    let mut dirs = own.ancestors().map(|dir| dir.join("examples"));
    let holds = |dir: &Path| dir.join("glasmarke").is_dir();
    let examples = dirs.find(|dir| holds(dir)).context("no directory of examples")?;
    start_plan(Plan::small(&examples)?, setup).await
}

/// Starts a deployment and waits until all its endpoints take work, calls with keys included.
pub async fn start_plan(plan: Plan, setup: Setup) -> anyhow::Result<Deployment> {
    let deployment = Deployment::start(plan, setup).await?;
    deployment.wait_ready(&deployment.plan.version(1), PATIENCE).await?;
    deployment.wait_open(PATIENCE).await?;
    pass(MAX_CLOCK_SKEW.into()).await;
    Ok(deployment)
}

/// Lets time pass.
pub async fn pass(time: Duration) {
    actix_rt::time::sleep(time).await;
}

/// Returns how many calls ended in this way.
pub fn count(calls: &[Call], received: Received) -> usize {
    calls.iter().filter(|call| call.received == received).count()
}

/// Returns how many calls were lost: broken off, or with an outcome that is not known.
pub fn lost(calls: &[Call]) -> usize {
    count(calls, Received::Broken) + count(calls, Received::Unknown)
}

/// Returns how many questions were lost; an order may end as unknown while its key moves.
pub fn lost_questions(calls: &[Call]) -> usize {
    let questions: Vec<Call> = calls.iter().filter(|call| !call.order).cloned().collect();
    lost(&questions)
}

/// Panics where what callers received does not fit the records of the stand-ins.
pub fn assert_sound(deployment: &Deployment, calls: &[Call]) {
    let records = deployment.records();
    assert_eq!(count(calls, Received::Wrong), 0, "each caller gets its own answer");
    assert_eq!(count(calls, Received::Truncated), 0, "no part of an answer passes for the whole");
    assert_eq!(count(calls, Received::Partial), 0, "no answer is from partial weights");
    assert_eq!(records.not_run_but_began(calls), 0, "what was told \"not run\" did not begin");
    assert_eq!(records.run_twice(), 0, "no order runs twice");
    assert_eq!(records.partial_engines(), 0, "no engine holds partial weights");
}
