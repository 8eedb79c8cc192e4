//! Settings of the limits for callers.

use sequoiahold_core::units::{Bytes, Span};
use serde::{Deserialize, Serialize};

/// Limits for callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// The largest body of a request.
    pub body: Bytes,
    /// The time that a caller may take to send the head of a request.
    pub head: Span,
    /// The time that a caller may take to send the body of a request.
    pub upload: Span,
    /// The time that a connection may stay open between two requests.
    pub idle: Span,
    /// The connections of callers at the same time.
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
