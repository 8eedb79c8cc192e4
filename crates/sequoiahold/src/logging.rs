//! Log output in plain text or JSON.

mod stdout;

use std::{io, panic, process};

use log::kv::{self, Key, VisitSource};
use serde_json::{Map, Value};

use crate::settings::{Log, LogFormat, LogOutput};

/// Installs the logger; fails if one is installed or the output cannot be set up.
pub fn start(settings: &Log) -> anyhow::Result<()> {
    let format = settings.format;
    let dispatch = fern::Dispatch::new()
        .level(settings.level)
        .level_for("quinn", log::LevelFilter::Warn)
        .format(move |out, message, record| match format {
            LogFormat::Plain => out.finish(format_args!(
                "{} {:5} {}: {message}",
                wall_seconds(),
                record.level(),
                record.target()
            )),
            LogFormat::Json => out.finish(format_args!("{}", json_line(message, record))),
        });
    match settings.output {
        LogOutput::Stderr => dispatch.chain(io::stderr()).apply()?,
        LogOutput::Stdout => dispatch.chain(stdout::output()?).apply()?,
    }
    Ok(())
}

/// Returns a record as a JSON object: time, level, target, message and the typed key-value pairs.
fn json_line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> Value {
    let mut fields = JsonFields(Map::new());
    fields.0.insert("time".to_owned(), wall_seconds().into());
    fields.0.insert("level".to_owned(), record.level().as_str().into());
    fields.0.insert("target".to_owned(), record.target().into());
    fields.0.insert("message".to_owned(), message.to_string().into());
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("incomplete".to_owned(), true.into());
    }
    Value::Object(fields.0)
}

struct JsonFields(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Aborts the process on a panic, after the message and location are logged.
///
/// Otherwise a panic in one task would leave a process that keeps its ports open and does nothing.
pub fn abort_on_panic() {
    panic::set_hook(Box::new(|info| {
        log::error!("broken invariant: {info}");
        process::abort();
    }));
}

fn wall_seconds() -> String {
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    format!("{:.3}", wall.unwrap_or_default().as_secs_f64())
}
