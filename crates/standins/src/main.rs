//! The load and experiment tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    sequoiahold_standins::cli::run()
}
