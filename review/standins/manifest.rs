//! The manifests of the origin arrive with a wrong digit for some seconds after all machines lost
//! power.

use std::{thread, time::Duration};

use crate::{case::Case, fleet::Fleet};

/// Time for which the machines are without power (`down_s`).
const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// Time after their return from which on requests count (`recovery_s`).
const RECOVERY: Duration = Duration::from_secs(12);
/// Time within which a version is on every worker.
const ROLLOUT: Duration = Duration::from_secs(11);
/// Time for which the origin spoils answers (`for_s`).
const GARBLE: Duration = Duration::from_secs(8);
/// Number of requests before the fault and after the recovery.
const REQUESTS: usize = 40;

/// Returns whether less than a quarter of the requests after the recovery was served.
pub fn run(case: &Case) -> Result<bool, String> {
    let mut fleet = Fleet::start(case, 3, 2)?;
    thread::sleep(Duration::from_secs(4));
    fleet.name_version(2);
    thread::sleep(ROLLOUT);
    let before = fleet.ask(REQUESTS, Duration::from_millis(50));
    if before * 4 < REQUESTS {
        return Err(format!("only {before} of {REQUESTS} requests were served before the fault"));
    }
    fleet.publish(7);
    case.note("all machines lose power");
    fleet.kill_all();
    fleet.engines.iter().for_each(|engine| engine.lose_power());
    thread::sleep(DOWN_TIME);
    if !case.is_calm() {
        fleet.origin.spoil_manifests(GARBLE);
    }
    case.note("the machines are back");
    fleet.engines.iter().for_each(|engine| engine.begin());
    // Gateways are ready once workers are listed.
    fleet.start_processes()?;
    thread::sleep(GARBLE);
    let (answers, spoilt) = fleet.origin.answers();
    case.note(&format!("origin: {answers} answers in {GARBLE:?}, of which {spoilt} were spoilt"));
    thread::sleep(RECOVERY - GARBLE);
    let after = fleet.ask(REQUESTS, Duration::from_millis(500));
    let held: Vec<Option<u64>> = fleet.engines.iter().map(|engine| engine.held()).collect();
    case.note(&format!(
        "served: {before} of {REQUESTS} before the fault, {after} of {REQUESTS} after the recovery; \
         versions held at the end: {held:?}"
    ));
    Ok(after * 4 < REQUESTS)
}
