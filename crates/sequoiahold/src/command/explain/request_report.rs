//! The account of one request: its lines, and what each process believed when it decided.

use std::{
    collections::BTreeSet,
    fmt::{self, Display, Formatter},
};

use super::log_line::LogLine;

/// Time before a request's end from which news of its endpoints is told, in seconds.
const CONTEXT_BEFORE_S: f64 = 30.0;
/// Time after a request's end to which it is told: what a process learns late explains too.
const CONTEXT_AFTER_S: f64 = 5.0;

/// What is told of a request.
#[derive(Debug)]
pub(super) struct RequestReport {
    id: String,
    traces: Vec<ProcessTrace>,
}

/// What one process did with the request.
#[derive(Debug)]
struct ProcessTrace {
    process: String,
    started_at: f64,
    lines: Vec<LogLine>,
    context: Vec<LogLine>,
}

impl RequestReport {
    /// Gathers what the lines of all processes tell of a request.
    pub(super) fn from_lines(id: &str, mut lines: Vec<LogLine>) -> Self {
        lines.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
        let has_id = |line: &&LogLine| line.text("id") == id;
        let processes: BTreeSet<&str> =
            lines.iter().filter(has_id).map(|line| line.process.as_str()).collect();
        let mut traces: Vec<ProcessTrace> = processes
            .into_iter()
            .map(|process| ProcessTrace::from_lines(process, id, &lines))
            .collect();
        traces.sort_by(|a, b| a.started_at.total_cmp(&b.started_at));
        Self { id: id.to_owned(), traces }
    }

    /// Returns whether no line tells of the request.
    pub(super) fn is_empty(&self) -> bool {
        self.traces.is_empty()
    }
}

impl Display for RequestReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(f, "request {}: no line tells of it", self.id);
        }
        writeln!(f, "request {}", self.id)?;
        self.traces.iter().try_for_each(|trace| write!(f, "\n{trace}"))
    }
}

impl ProcessTrace {
    fn from_lines(process: &str, id: &str, all: &[LogLine]) -> Self {
        let process_lines: Vec<&LogLine> =
            all.iter().filter(|line| line.process == process).collect();
        let lines: Vec<LogLine> =
            process_lines.iter().filter(|line| line.text("id") == id).copied().cloned().collect();
        let started_at =
            |line: &LogLine| line.time_s - line.number("took_ms").unwrap_or(0) as f64 / 1_000.0;
        let process_start = lines.iter().map(started_at).fold(f64::INFINITY, f64::min);
        let end = lines.last().map_or(process_start, |line| line.time_s);
        let endpoints: BTreeSet<String> = lines.iter().flat_map(named_endpoints).collect();
        let before = |line: &&&LogLine| line.time_s <= end;
        let last = |messages: &[&str]| {
            let is_listed = |line: &&&LogLine| messages.contains(&line.message.as_str());
            process_lines.iter().filter(before).rfind(is_listed).copied()
        };
        let platform_line = last(&["platform answers again", "platform does not answer"]);
        let platform_failure =
            platform_line.filter(|line| line.message == "platform does not answer");
        let endpoint_lines = process_lines.iter().copied().filter(|line| {
            let in_window = (end - CONTEXT_BEFORE_S..=end + CONTEXT_AFTER_S).contains(&line.time_s);
            in_window && line.text("id").is_empty() && mentions_endpoint(line, &endpoints)
        });
        let mut context: Vec<LogLine> = last(&["configuration in force"])
            .into_iter()
            .chain(platform_failure)
            .chain(endpoint_lines)
            .cloned()
            .collect();
        context.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
        Self { process: process.to_owned(), started_at: process_start, lines, context }
    }
}

impl Display for ProcessTrace {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.process)?;
        for line in &self.lines {
            let after = (line.time_s - self.started_at) * 1_000.0;
            writeln!(f, "  {after:>7.0} ms  {}: {}", line.message, line.describe_fields())?;
        }
        if self.context.is_empty() {
            return Ok(());
        }
        writeln!(f, "  known there, by its age when the request came:")?;
        for line in &self.context {
            let age = self.started_at - line.time_s;
            writeln!(f, "  {age:>7.1} s   {}: {}", line.message, line.describe_fields())?;
        }
        Ok(())
    }
}

/// Returns the endpoints that a line of a request names.
fn named_endpoints(line: &LogLine) -> Vec<String> {
    let named = [line.text("instance"), line.text("endpoints")].join(",");
    named.split(',').filter(|name| !name.is_empty()).map(ToOwned::to_owned).collect()
}

/// Returns whether a line tells of one of the endpoints.
fn mentions_endpoint(line: &LogLine, endpoints: &BTreeSet<String>) -> bool {
    let values = [line.text("key"), line.text("instance")];
    let last = |text: &String| text.rsplit('/').next().unwrap_or_default().to_owned();
    values.iter().map(last).any(|name| endpoints.contains(&name))
}
