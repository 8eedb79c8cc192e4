//! The report on one request: its log lines, and what each process knew when it handled it.

use std::{
    collections::BTreeSet,
    fmt::{self, Display, Formatter},
};

use super::log_line::Line;

/// Time before the end of a request from which log lines on its endpoints are included.
const CONTEXT_BEFORE_S: f64 = 30.0;
/// Time after the end of a request up to which such lines are included, as a process may learn of a
/// change only later.
const CONTEXT_AFTER_S: f64 = 5.0;

/// Log lines on one request by process, in the order of their start.
#[derive(Debug)]
pub(super) struct RequestReport {
    id: String,
    traces: Vec<ProcessTrace>,
}

/// Log lines of one process on the request, and its state at that time.
#[derive(Debug)]
struct ProcessTrace {
    process: String,
    id: String,
    started_at: f64,
    lines: Vec<Line>,
    context: Vec<Line>,
}

impl RequestReport {
    /// Collects the lines on a request from the lines of all processes.
    pub(super) fn of(id: &str, mut lines: Vec<Line>) -> Self {
        lines.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
        let own = |line: &&Line| line.text("id") == id;
        let processes: BTreeSet<&str> =
            lines.iter().filter(own).map(|line| line.process.as_str()).collect();
        let mut traces: Vec<ProcessTrace> =
            processes.into_iter().map(|process| ProcessTrace::of(process, id, &lines)).collect();
        traces.sort_by(|a, b| a.started_at.total_cmp(&b.started_at));
        Self { id: id.to_owned(), traces }
    }

    /// Returns whether no line mentions the request.
    pub(super) fn is_empty(&self) -> bool {
        self.traces.is_empty()
    }
}

impl Display for RequestReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(f, "request {}: no log line mentions it", self.id);
        }
        writeln!(f, "request {}", self.id)?;
        self.traces.iter().try_for_each(|trace| write!(f, "\n{trace}"))
    }
}

impl ProcessTrace {
    fn of(process: &str, id: &str, all: &[Line]) -> Self {
        let own: Vec<&Line> = all.iter().filter(|line| line.process == process).collect();
        let lines: Vec<Line> =
            own.iter().filter(|line| line.text("id") == id).copied().cloned().collect();
        let started_at =
            |line: &Line| line.time_s - line.number("took_ms").unwrap_or(0) as f64 / 1_000.0;
        let first = lines.iter().map(started_at).fold(f64::INFINITY, f64::min);
        let end = lines.last().map_or(first, |line| line.time_s);
        let endpoints: BTreeSet<String> = lines.iter().flat_map(endpoints).collect();
        let before = |line: &&&Line| line.time_s <= end;
        let last = |messages: &[&str]| {
            let matches = |line: &&&Line| messages.contains(&line.message.as_str());
            own.iter().filter(before).rfind(matches).copied()
        };
        let platform_line = last(&["platform answers again", "platform does not answer"]);
        let platform_failure =
            platform_line.filter(|line| line.message == "platform does not answer");
        // Answers to other requests tell of the endpoints as well.
        let is_other = |line: &Line| line.text("id") != id && line.text("target") != "request";
        let endpoint_lines = own.iter().copied().filter(|line| {
            let in_window = (end - CONTEXT_BEFORE_S..=end + CONTEXT_AFTER_S).contains(&line.time_s);
            in_window && is_other(line) && mentions_endpoint(line, &endpoints)
        });
        let mut context: Vec<Line> = last(&["configuration in force"])
            .into_iter()
            .chain(platform_failure)
            .chain(endpoint_lines)
            .cloned()
            .collect();
        context.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
        Self { process: process.to_owned(), id: id.to_owned(), started_at: first, lines, context }
    }
}

impl Display for ProcessTrace {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.process)?;
        for line in &self.lines {
            let after = (line.time_s - self.started_at) * 1_000.0;
            writeln!(f, "  {after:>7.0} ms  {}: {}", line.message, line.fields(&self.id))?;
        }
        if self.context.is_empty() {
            return Ok(());
        }
        writeln!(f, "  known to the process, by age at the start of the request:")?;
        for line in &self.context {
            let age = self.started_at - line.time_s;
            writeln!(f, "  {age:>7.1} s   {}: {}", line.message, line.fields(&self.id))?;
        }
        Ok(())
    }
}

/// Returns the endpoints named in a line.
fn endpoints(line: &Line) -> Vec<String> {
    let named = [line.text("instance"), line.text("endpoints"), line.text("causes")].join(",");
    // A cause follows the name of its endpoint.
    let names = named.split(',').filter_map(|text| text.split_whitespace().next());
    names.map(ToOwned::to_owned).collect()
}

/// Returns whether a line mentions one of the endpoints in its key or instance.
fn mentions_endpoint(line: &Line, endpoints: &BTreeSet<String>) -> bool {
    let values = [line.text("key"), line.text("instance")];
    let last = |text: &String| text.rsplit('/').next().unwrap_or_default().to_owned();
    values.iter().map(last).any(|name| endpoints.contains(&name))
}
