//! `sequoiahold explain`: reports how one request was handled, from the logs of all processes.

mod log_line;
mod request_report;

use std::{
    fs::File,
    io::{BufRead, BufReader, stdin},
    path::PathBuf,
};

use anyhow::Context as _;

use self::{log_line::Line, request_report::RequestReport};
use crate::cli::EXIT_PROBLEM_FOUND;

/// Prints the report on the request `id` from log files, or from standard input if none is given.
///
/// The exit code is 1 if no line mentions the request.
pub fn run(id: &str, files: &[PathBuf]) -> anyhow::Result<u8> {
    let mut lines = vec![];
    for file in files {
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        let reader = File::open(file).with_context(|| format!("cannot open {}", file.display()))?;
        let result = read_log_lines(&name, BufReader::new(reader), &mut lines);
        result.with_context(|| format!("cannot read {}", file.display()))?;
    }
    if files.is_empty() {
        read_log_lines("stdin", stdin().lock(), &mut lines)
            .context("cannot read standard input")?;
    }
    let report = RequestReport::of(id, lines);
    print!("{report}");
    Ok(if report.is_empty() { EXIT_PROBLEM_FOUND } else { 0 })
}

/// Reads the log lines of `reader`; skips lines that are not log lines of this program.
fn read_log_lines(
    name: &str,
    mut reader: impl BufRead,
    lines: &mut Vec<Line>,
) -> anyhow::Result<()> {
    let mut bytes = vec![];
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        lines.extend(Line::parse(name, &String::from_utf8_lossy(&bytes)));
        bytes.clear();
    }
    Ok(())
}
