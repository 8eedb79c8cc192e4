//! Fixture of the process tests: a small deployment of real processes on loopback.

use std::{path::Path, time::Duration};

use sequoiahold_core::once::MAX_CLOCK_SKEW;

use crate::{
    callers::{Call, Outcome},
    deployment::{Deployment, EXAMPLES, Plan, Setup},
};

/// Time within which a change must be in force everywhere; work it excludes must not start later.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Maximum time for a deployment to become ready, or for a process to stop.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Starts a small deployment and waits until it answers chat requests and orders.
pub async fn start_with_orders(setup: Setup) -> anyhow::Result<Deployment> {
    let deployment = start(setup).await?;
    deployment.wait_orders(WAIT_TIMEOUT).await?;
    Ok(deployment)
}

/// Starts a small deployment and waits until all its endpoints accept work.
pub async fn start(setup: Setup) -> anyhow::Result<Deployment> {
    start_plan(Plan::small(Path::new(EXAMPLES))?, setup).await
}

/// Starts a deployment and waits until all its endpoints accept work.
///
/// An endpoint that just started runs only keys created more than `MAX_CLOCK_SKEW` after it
/// adopted its first configuration, so the wait includes that time.
pub async fn start_plan(plan: Plan, setup: Setup) -> anyhow::Result<Deployment> {
    let deployment = Deployment::start(plan, setup).await?;
    deployment.wait_ready(&deployment.plan.version(1), WAIT_TIMEOUT).await?;
    deployment.wait_open(WAIT_TIMEOUT).await?;
    sleep(MAX_CLOCK_SKEW.into()).await;
    Ok(deployment)
}

/// Sleeps for `time`.
pub async fn sleep(time: Duration) {
    actix_rt::time::sleep(time).await;
}

/// Counts the calls with this outcome.
pub fn count(calls: &[Call], outcome: Outcome) -> usize {
    calls.iter().filter(|call| call.outcome == outcome).count()
}

/// Counts the calls whose answer was cut off or whose outcome is unknown.
pub fn count_lost(calls: &[Call]) -> usize {
    count(calls, Outcome::Broken) + count(calls, Outcome::Unknown)
}

/// Counts the lost chat requests.
///
/// Orders are left out, since an order may end as unknown while its key changes owner.
pub fn count_lost_chats(calls: &[Call]) -> usize {
    let chats: Vec<Call> = calls.iter().filter(|call| !call.is_order).cloned().collect();
    count_lost(&chats)
}

/// Panics if the callers' outcomes contradict the records of the simulated services.
pub fn assert_consistent(deployment: &Deployment, calls: &[Call]) {
    let records = deployment.records();
    assert_eq!(count(calls, Outcome::Wrong), 0, "a caller received the answer to another request");
    assert_eq!(count(calls, Outcome::Truncated), 0, "an incomplete answer ended without an error");
    assert_eq!(count(calls, Outcome::Partial), 0, "an answer came from incomplete weights");
    assert_eq!(records.refused_but_started(calls), 0, "a request refused as \"not run\" had run");
    assert_eq!(records.repeated_orders(), 0, "an order ran more than once");
    assert_eq!(records.partial_engines(), 0, "an engine has incomplete weights loaded");
}
