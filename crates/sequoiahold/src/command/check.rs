//! `sequoiahold check`: validates a set of declarations.

use std::path::Path;

use sequoiahold_core::declare::load::read_set;

use super::files;
use crate::cli::EXIT_PROBLEM_FOUND;

/// Validates the set in `dir` and prints each fault on standard error.
pub fn run(dir: &Path) -> anyhow::Result<u8> {
    let files = files::read_set_files(dir)?;
    match read_set(files.iter().map(|(name, text)| (name.as_str(), text.as_str()))) {
        Ok((declared, _)) => {
            println!(
                "{}: {} objects in {} files, valid",
                dir.display(),
                declared.len(),
                files.len()
            );
            Ok(0)
        }
        Err(faults) => {
            for fault in &faults {
                eprintln!("{fault}");
            }
            eprintln!("{}: {} faults", dir.display(), faults.len());
            Ok(EXIT_PROBLEM_FOUND)
        }
    }
}
