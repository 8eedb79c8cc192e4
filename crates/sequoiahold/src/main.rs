//! The sequoiahold program.

use std::process::ExitCode;

fn main() -> ExitCode {
    sequoiahold::cli::run()
}
