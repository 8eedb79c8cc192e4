//! Settings of the log output.

use log::LevelFilter;
use serde::{Deserialize, Serialize};

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text.
    #[default]
    Plain,
}

/// Destination of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOutput {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// Settings of the log output.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The least severe level that is written.
    #[serde(with = "level")]
    pub level: LevelFilter,
    /// The format of log lines.
    pub format: LogFormat,
    /// The destination of log lines.
    pub output: LogOutput,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: LevelFilter::Info, format: LogFormat::Plain, output: LogOutput::Stderr }
    }
}

mod level {
    use log::LevelFilter;
    use serde::{Deserialize, Deserializer, Serializer, de::Error as _};

    pub(super) fn serialize<S: Serializer>(level: &LevelFilter, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&level.as_str().to_lowercase())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<LevelFilter, D::Error> {
        let text = String::deserialize(d)?;
        let allowed = "one of off, error, warn, info, debug, trace";
        text.parse().map_err(|_| D::Error::custom(format!("{text:?} is not {allowed}")))
    }
}
