//! Log lines: plain or JSON, at the levels of the settings.

use std::io;

use serde_json::json;

use crate::settings::{Format, Log};

/// Starts logging on standard error.
pub fn start(settings: &Log) -> anyhow::Result<()> {
    let format = settings.format;
    fern::Dispatch::new()
        .level(settings.level)
        .level_for("quinn", log::LevelFilter::Warn)
        .format(move |out, message, record| match format {
            Format::Plain => out.finish(format_args!(
                "{} {:5} {}: {message}",
                wall_seconds(),
                record.level(),
                record.target()
            )),
            Format::Json => out.finish(format_args!(
                "{}",
                json!({
                    "time": wall_seconds(),
                    "level": record.level().as_str(),
                    "target": record.target(),
                    "message": message.to_string(),
                })
            )),
        })
        .chain(io::stderr())
        .apply()?;
    Ok(())
}

fn wall_seconds() -> String {
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    format!("{:.3}", wall.unwrap_or_default().as_secs_f64())
}
