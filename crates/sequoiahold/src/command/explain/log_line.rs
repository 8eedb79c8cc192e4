//! One line of a structured log.

use serde_json::{Map, Value};

/// A line that a process wrote.
#[derive(Clone, Debug)]
pub(super) struct LogLine {
    /// The process: the word before the line where a collector put one there, else the file.
    pub(super) process: String,
    /// The time of day in seconds.
    pub(super) time_s: f64,
    /// What happened.
    pub(super) message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line, with what a collector may have put before it; `None` where it is no log line.
    pub(super) fn parse(file: &str, text: &str) -> Option<Self> {
        let json_start = text.find('{')?;
        let fields: Map<String, Value> =
            serde_json::from_str(text[json_start..].trim_end()).ok()?;
        let time_s = fields.get("time")?.as_str()?.parse().ok()?;
        let message = fields.get("message")?.as_str()?.to_owned();
        let process = text[..json_start].split_whitespace().last().unwrap_or(file).to_owned();
        Some(Self { process, time_s, message, fields })
    }

    /// Returns a field as text; an absent one is empty.
    pub(super) fn text(&self, name: &str) -> String {
        match self.fields.get(name) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
        }
    }

    /// Returns a field as a number.
    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Returns the fields that say something, without those that each line has.
    pub(super) fn describe_fields(&self) -> String {
        let common = ["time", "message", "level", "target", "id"];
        let fields = self.fields.iter().filter(|(name, _)| !common.contains(&name.as_str()));
        let described: Vec<String> = fields
            .map(|(name, _)| (name, self.text(name)))
            .filter(|(_, text)| !text.is_empty())
            .map(|(name, text)| format!("{name} {text}"))
            .collect();
        described.join(", ")
    }
}
