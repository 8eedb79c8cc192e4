//! The fixture of the process tests: a small deployment of real processes on loopback.

use std::{path::Path, time::Duration};

use anyhow::Context as _;
use sequoiahold_core::once::MAX_CLOCK_SKEW;

use crate::{
    callers::{Call, Outcome},
    deployment::{Deployment, Plan, Setup},
};

/// Time in which a change must be in force everywhere, and no late work may begin after it.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time that the deployment may take to become ready, and that a stop may take.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Starts a small deployment and waits until it answers questions and orders.
pub async fn start_with_orders(setup: Setup) -> anyhow::Result<Deployment> {
    let deployment = start(setup).await?;
    deployment.wait_orders(WAIT_TIMEOUT).await?;
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
    deployment.wait_ready(&deployment.plan.version(1), WAIT_TIMEOUT).await?;
    deployment.wait_open(WAIT_TIMEOUT).await?;
    sleep(MAX_CLOCK_SKEW.into()).await;
    Ok(deployment)
}

/// Lets time pass.
pub async fn sleep(time: Duration) {
    actix_rt::time::sleep(time).await;
}

/// Returns how many calls ended in this way.
pub fn count(calls: &[Call], outcome: Outcome) -> usize {
    calls.iter().filter(|call| call.outcome == outcome).count()
}

/// Returns how many calls were lost: broken off, or with an outcome that is not known.
pub fn lost(calls: &[Call]) -> usize {
    count(calls, Outcome::Broken) + count(calls, Outcome::Unknown)
}

/// Returns how many questions were lost; an order may end as unknown while its key moves.
pub fn lost_chats(calls: &[Call]) -> usize {
    let questions: Vec<Call> = calls.iter().filter(|call| !call.is_order).cloned().collect();
    lost(&questions)
}

/// Panics where what callers outcome does not fit the records of the stand-ins.
pub fn assert_consistent(deployment: &Deployment, calls: &[Call]) {
    let records = deployment.records();
    assert_eq!(count(calls, Outcome::Wrong), 0, "each caller gets its own answer");
    assert_eq!(count(calls, Outcome::Truncated), 0, "no part of an answer passes for the whole");
    assert_eq!(count(calls, Outcome::Partial), 0, "no answer is from partial weights");
    assert_eq!(records.not_run_but_began(calls), 0, "what was told \"not run\" did not begin");
    assert_eq!(records.repeated_orders(), 0, "no order runs twice");
    assert_eq!(records.partial_engines(), 0, "no engine holds partial weights");
}
