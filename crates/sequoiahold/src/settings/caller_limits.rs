//! Limits on the connections and requests of callers.

use sequoiahold_core::units::{Bytes, Span};
use serde::{Deserialize, Serialize};

/// Limits on the connections and requests of callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// The maximum size of a request body.
    pub body: Bytes,
    /// The maximum time to receive a request head.
    pub head: Span,
    /// The maximum time to receive a request body.
    pub upload: Span,
    /// The maximum idle time of a connection between two requests.
    pub idle: Span,
    /// The maximum number of concurrent connections of callers.
    pub connections: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body: Bytes(1_000_000),
            head: Span::secs(5),
            upload: Span::secs(20),
            idle: Span::secs(30),
            connections: 10_000,
        }
    }
}

impl CallerLimits {
    pub(super) fn validate(&self) -> Result<(), (String, String)> {
        let times = [("head", self.head), ("upload", self.upload), ("idle", self.idle)];
        let within = |span: Span| (Span::millis(100)..=Span::secs(600)).contains(&span);
        if let Some((key, _)) = times.into_iter().find(|(_, span)| !within(*span)) {
            return Err((format!("limits.{key}"), "must be between 100ms and 600s".to_owned()));
        }
        if !(1..=4_000_000).contains(&self.body.0) {
            return Err(("limits.body".to_owned(), "must be between 1B and 4MB".to_owned()));
        }
        if self.connections == 0 {
            return Err(("limits.connections".to_owned(), "must be at least 1".to_owned()));
        }
        Ok(())
    }
}
