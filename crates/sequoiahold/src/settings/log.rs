//! Settings of log lines.

use log::LevelFilter;
use serde::{Deserialize, Serialize};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    #[default]
    Plain,
}

/// Where log lines go.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOutput {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// Settings of log lines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The lowest level that is written.
    #[serde(with = "level")]
    pub level: LevelFilter,
    /// The format of a line.
    pub format: LogFormat,
    /// Where lines go.
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
