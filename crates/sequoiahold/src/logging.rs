//! Log lines: plain or JSON, at the levels of the settings.

use std::{io, panic, process};

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

/// Ends the process at a broken invariant, after its message and place are logged.
///
/// A panic in one task would otherwise leave a process that holds its ports and does nothing.
pub fn stop_on_panic() {
    panic::set_hook(Box::new(|info| {
        log::error!("broken invariant: {info}");
        process::abort();
    }));
}

fn wall_seconds() -> String {
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    format!("{:.3}", wall.unwrap_or_default().as_secs_f64())
}
