//! One line of a structured log.

use serde_json::{Map, Value};

/// A parsed log line of a process.
#[derive(Clone, Debug)]
pub(super) struct Line {
    /// The process: the prefix that a log collector put before the line, or else the file name.
    pub(super) process: String,
    /// The wall-clock time in seconds since the Unix epoch.
    pub(super) time_s: f64,
    /// The log message.
    pub(super) message: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line with an optional prefix of a log collector, `None` if it is not a log line.
    pub(super) fn parse(file: &str, text: &str) -> Option<Self> {
        let json_start = text.find('{')?;
        let fields: Map<String, Value> =
            serde_json::from_str(text[json_start..].trim_end()).ok()?;
        let time_s = fields.get("time")?.as_str()?.parse().ok()?;
        let message = fields.get("message")?.as_str()?.to_owned();
        let process = text[..json_start].split_whitespace().last().unwrap_or(file).to_owned();
        Some(Self { process, time_s, message, fields })
    }

    /// Returns a field as text, empty if it is absent.
    pub(super) fn text(&self, name: &str) -> String {
        match self.fields.get(name) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
        }
    }

    /// Returns a field as an unsigned integer.
    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Formats the non-empty fields, without those common to all lines on the request `id`.
    pub(super) fn fields(&self, id: &str) -> String {
        let common = ["time", "message", "level", "target"];
        let is_common =
            |name: &str| common.contains(&name) || (name == "id" && self.text(name) == id);
        let fields = self.fields.iter().filter(|(name, _)| !is_common(name));
        let described: Vec<String> = fields
            .map(|(name, _)| (name, self.text(name)))
            .filter(|(_, text)| !text.is_empty())
            .map(|(name, text)| format!("{name} {text}"))
            .collect();
        described.join(", ")
    }
}
