//! The account of one request: its lines, and what each process believed when it decided.

use std::{
    collections::BTreeSet,
    fmt::{self, Display, Formatter},
};

use super::log_line::Line;

/// Time before a request's end from which news of its endpoints is told, in seconds.
const BEFORE: f64 = 30.0;
/// Time after a request's end to which it is told: what a process learns late explains too.
const AFTER: f64 = 5.0;

/// What is told of a request.
#[derive(Debug)]
pub(super) struct Account {
    id: String,
    tries: Vec<Try>,
}

/// What one process did with the request.
#[derive(Debug)]
struct Try {
    process: String,
    begun: f64,
    lines: Vec<Line>,
    beliefs: Vec<Line>,
}

impl Account {
    /// Gathers what the lines of all processes tell of a request.
    pub(super) fn of(id: &str, mut lines: Vec<Line>) -> Self {
        lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        let own = |line: &&Line| line.text("id") == id;
        let processes: BTreeSet<&str> =
            lines.iter().filter(own).map(|line| line.process.as_str()).collect();
        let mut tries: Vec<Try> =
            processes.into_iter().map(|process| Try::of(process, id, &lines)).collect();
        tries.sort_by(|a, b| a.begun.total_cmp(&b.begun));
        Self { id: id.to_owned(), tries }
    }

    /// Returns whether no line tells of the request.
    pub(super) fn is_empty(&self) -> bool {
        self.tries.is_empty()
    }
}

impl Display for Account {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(f, "request {}: no line tells of it", self.id);
        }
        writeln!(f, "request {}", self.id)?;
        self.tries.iter().try_for_each(|one| write!(f, "\n{one}"))
    }
}

impl Try {
    fn of(process: &str, id: &str, all: &[Line]) -> Self {
        let here: Vec<&Line> = all.iter().filter(|line| line.process == process).collect();
        let lines: Vec<Line> =
            here.iter().filter(|line| line.text("id") == id).copied().cloned().collect();
        let begun = |line: &Line| line.at - line.number("took_ms").unwrap_or(0) as f64 / 1_000.0;
        let first = lines.iter().map(begun).fold(f64::INFINITY, f64::min);
        let end = lines.last().map_or(first, |line| line.at);
        let endpoints: BTreeSet<String> = lines.iter().flat_map(endpoints).collect();
        let before = |line: &&&Line| line.at <= end;
        let last = |messages: &[&str]| {
            let said = |line: &&&Line| messages.contains(&line.message.as_str());
            here.iter().filter(before).rfind(said).copied()
        };
        let source = last(&["platform answers again", "platform does not answer"]);
        let lost = source.filter(|line| line.message == "platform does not answer");
        let news = here.iter().copied().filter(|line| {
            let near = (end - BEFORE..=end + AFTER).contains(&line.at);
            near && line.text("id").is_empty() && names(line, &endpoints)
        });
        let mut beliefs: Vec<Line> = last(&["configuration in force"])
            .into_iter()
            .chain(lost)
            .chain(news)
            .cloned()
            .collect();
        beliefs.sort_by(|a, b| a.at.total_cmp(&b.at));
        Self { process: process.to_owned(), begun: first, lines, beliefs }
    }
}

impl Display for Try {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.process)?;
        for line in &self.lines {
            let after = (line.at - self.begun) * 1_000.0;
            writeln!(f, "  {after:>7.0} ms  {}: {}", line.message, line.detail())?;
        }
        if self.beliefs.is_empty() {
            return Ok(());
        }
        writeln!(f, "  known there, by its age when the request came:")?;
        for line in &self.beliefs {
            let age = self.begun - line.at;
            writeln!(f, "  {age:>7.1} s   {}: {}", line.message, line.detail())?;
        }
        Ok(())
    }
}

/// Returns the endpoints that a line of a request names.
fn endpoints(line: &Line) -> Vec<String> {
    let named = [line.text("instance"), line.text("endpoints")].join(",");
    named.split(',').filter(|name| !name.is_empty()).map(ToOwned::to_owned).collect()
}

/// Returns whether a line tells of one of the endpoints.
fn names(line: &Line, endpoints: &BTreeSet<String>) -> bool {
    let told = [line.text("key"), line.text("instance")];
    let last = |text: &String| text.rsplit('/').next().unwrap_or_default().to_owned();
    told.iter().map(last).any(|name| endpoints.contains(&name))
}
