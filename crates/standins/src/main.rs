//! The `sequoiahold-bench` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    sequoiahold_standins::cli::run()
}
