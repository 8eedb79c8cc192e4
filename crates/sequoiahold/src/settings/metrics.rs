//! Settings of the metrics output.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Settings of the metrics output.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Metrics {
    /// The UDP address of the StatsD sink, none by default.
    pub statsd: Option<SocketAddr>,
    /// The prefix of all metric names.
    pub prefix: String,
}

impl Default for Metrics {
    fn default() -> Self {
        Self { statsd: None, prefix: "sequoiahold".to_owned() }
    }
}
