//! An entry of another writer in the list of workers names a version of the model, and all machines
//! lose power.
//!
//! The deployment is that of the first review's stand-ins.

#![allow(dead_code)]

#[path = "../standins/case.rs"]
mod case;
#[path = "../standins/engine.rs"]
mod engine;
#[path = "../standins/fleet.rs"]
mod fleet;
#[path = "../standins/http.rs"]
mod http;
#[path = "../standins/platform.rs"]
mod platform;
#[path = "../standins/process.rs"]
mod process;
#[path = "../standins/sha256.rs"]
mod sha256;

use std::{path::PathBuf, process::exit, thread, time::Duration};

use case::Case;
use engine::MODEL;
use fleet::Fleet;

/// Time for which the machines are without power (`down_s`).
const DOWN_TIME: Duration = Duration::from_millis(1_600);
/// Time after their return from which on requests count (`recovery_s`).
const RECOVERY: Duration = Duration::from_secs(12);
/// Number of requests before the fault and after the recovery.
const REQUESTS: usize = 40;

/// Returns the entry of a worker of a service that the configuration does not name.
fn foreign_entry(address: &str) -> String {
    format!(
        "{{\"service\":\"llm-trial\",\"address\":\"{address}\",\"zone\":\"oslo-a\",\
         \"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"stage\":\"combined\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":9,\
         \"adapters\":[]}}],\"sequence\":1,\"born\":1796000000000}}"
    )
}

/// Returns whether less than a quarter of the requests after the recovery was served.
fn run(case: &Case) -> Result<bool, String> {
    // No version is named: the origin has the first one, which all workers hold.
    let mut fleet = Fleet::start(case, 3, 1)?;
    thread::sleep(Duration::from_secs(4));
    if !case.is_calm() {
        let address = case.free_addr(&case.machine()).to_string();
        fleet.store.put("servers/x-1", &foreign_entry(&address));
        case.note("entry x-1 of another writer: service llm-trial, version 9 of the model");
    }
    let before = fleet.ask(REQUESTS, Duration::from_millis(50));
    if before * 4 < REQUESTS {
        return Err(format!("only {before} of {REQUESTS} requests were served before the fault"));
    }
    fleet.publish(7);
    case.note("all machines lose power");
    fleet.kill_all();
    fleet.engines.iter().for_each(|engine| engine.lose_power());
    thread::sleep(DOWN_TIME);
    case.note("the machines are back");
    fleet.engines.iter().for_each(|engine| engine.begin());
    fleet.start_processes()?;
    thread::sleep(RECOVERY);
    let after = fleet.ask(REQUESTS, Duration::from_millis(500));
    let held: Vec<Option<u64>> = fleet.engines.iter().map(|engine| engine.held()).collect();
    let told = format!(
        "served: {before} of {REQUESTS} before the fault, {after} of {REQUESTS} after the recovery; \
         versions held at the end: {held:?}"
    );
    println!("{told}");
    case.note(&told);
    Ok(after * 4 < REQUESTS)
}

fn main() {
    let dir = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let Ok(case) = Case::start("foreign", dir) else { exit(2) };
    let code = match run(&case) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            case.note(&error);
            eprintln!("{error}");
            2
        }
    };
    case.note(&format!("exit code {code}"));
    case.finish();
    exit(code);
}
