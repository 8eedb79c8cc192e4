//! Stand-ins and drivers of the review's scripts; uses the standard library only.

mod case;
mod engine;
mod fleet;
mod http;
mod late_body;
mod manifest;
mod pause;
mod platform;
mod process;
mod segments;
mod sha256;
mod uploads;
mod withdrawn_keys;

use std::{path::PathBuf, process::exit};

use case::Case;

/// Runs the case `NAME` and writes `record.txt` to `DIR`; exits with 1 if the rule was broken, 0 if
/// it held and 2 if the case could not run.
fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, dir] = args.as_slice() else {
        eprintln!("usage: cases NAME DIR");
        exit(2);
    };
    let case = match Case::start(name, PathBuf::from(dir)) {
        Ok(case) => case,
        Err(error) => {
            eprintln!("cannot start the case: {error}");
            exit(2);
        }
    };
    let verdict = match name.as_str() {
        "withdrawn-keys" => withdrawn_keys::run(&case),
        "late-body" => late_body::run(&case),
        "manifest" => manifest::run(&case),
        "pause" => pause::run(&case),
        "uploads" => uploads::run(&case),
        _ => Err(format!("no case {name}")),
    };
    let code = match verdict {
        Ok(broken) => i32::from(broken),
        Err(fault) => {
            case.note(&format!("the case could not run: {fault}"));
            2
        }
    };
    case.note(&format!("exit code {code}"));
    case.finish();
    exit(code);
}
