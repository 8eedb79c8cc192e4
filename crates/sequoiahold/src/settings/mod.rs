//! Settings of the processes, read from JSON and validated at load.

mod addr;
mod caller_limits;
mod config;
mod endpoint;
mod entry;
mod gateway;
mod keys;
mod loader;
mod log;
mod metrics;
mod node;
mod platform;

use std::{fs, path::Path};

use anyhow::{Context as _, anyhow};
use serde::de::DeserializeOwned;

pub use self::{
    caller_limits::CallerLimits,
    config::Config,
    endpoint::{Endpoint, Engine, Weights},
    entry::Entry,
    gateway::Gateway,
    keys::Keys,
    loader::Loader,
    log::{Log, LogFormat, LogOutput},
    metrics::Metrics,
    node::{Bounds, Node},
    platform::Platform,
};

/// Validation of settings beyond the types of their values.
pub trait Validate {
    /// Returns the key and the fault of the first invalid value as an error.
    fn validate(&self) -> Result<(), (String, String)>;
}

/// Reads and validates a settings file; errors name the file, the key and the allowed values.
pub fn load<T: Validate + DeserializeOwned>(file: &Path) -> anyhow::Result<T> {
    let text =
        fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    parse(&text).with_context(|| format!("settings in {}", file.display()))
}

/// Parses and validates settings; errors name the key and the allowed values.
pub fn parse<T: Validate + DeserializeOwned>(text: &str) -> anyhow::Result<T> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings: T = serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| anyhow!("key {}: {}", e.path(), e.inner()))?;
    settings.validate().map_err(|(key, fault)| anyhow!("key {key}: {fault}"))?;
    Ok(settings)
}
