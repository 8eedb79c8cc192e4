//! Settings of metrics.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Settings of metrics.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Metrics {
    /// The StatsD sink, none by default.
    pub statsd: Option<SocketAddr>,
    /// The prefix of all names.
    pub prefix: String,
}

impl Default for Metrics {
    fn default() -> Self {
        Self { statsd: None, prefix: "sequoiahold".to_owned() }
    }
}
