//! Settings of the exchange of configurations.

use sequoiahold_core::{
    config::{Seed, SyncParams},
    units::Span,
};
use serde::{Deserialize, Serialize};

/// Most seeds that a process asks.
const MAX_SEEDS: usize = 8;

/// How a process learns of published sets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// A few peers that a process asks before it knows the fleet.
    pub seeds: Vec<Seed>,
    /// The time between two exchanges with a peer.
    pub interval: Span,
    /// The peers of the own zone that are exchanged with.
    pub fanout: u32,
    /// The processes of a zone that read the platform.
    pub readers: u32,
    /// The time for which a process that starts waits for its seeds.
    pub wait: Span,
    /// The age of the platform's last answer after which further processes read it.
    pub stale: Span,
    /// The time between two reads of the list of VMs.
    pub list: Span,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seeds: vec![],
            interval: Span::secs(2),
            fanout: 4,
            readers: 3,
            wait: Span::secs(2),
            stale: Span::secs(4),
            list: Span::secs(3),
        }
    }
}

impl Config {
    /// Returns the numbers that the core works with.
    pub fn timing(&self) -> SyncParams {
        SyncParams {
            gossip_interval: self.interval,
            fanout: self.fanout as usize,
            readers: self.readers as usize,
            seed_timeout: self.wait,
            stale_after: self.stale,
        }
    }

    pub(super) fn check(&self) -> Result<(), (String, String)> {
        let spans = [
            ("config.interval", self.interval, (Span::millis(100), Span::secs(5))),
            ("config.wait", self.wait, (Span::millis(100), Span::secs(10))),
            ("config.stale", self.stale, (Span::secs(3), Span::secs(30))),
            ("config.list", self.list, (Span::millis(500), Span::secs(10))),
        ];
        let numbers =
            [("config.fanout", self.fanout, (1, 16)), ("config.readers", self.readers, (1, 8))];
        if self.seeds.len() > MAX_SEEDS {
            return Err((
                "config.seeds".to_owned(),
                format!("must have at most {MAX_SEEDS} seeds"),
            ));
        }
        let span = spans.iter().find(|(_, value, (low, high))| value < low || value > high);
        if let Some((key, _, (low, high))) = span {
            return Err(((*key).to_owned(), format!("must be between {low} and {high}")));
        }
        let number = numbers.iter().find(|(_, value, (low, high))| value < low || value > high);
        match number {
            Some((key, _, (low, high))) => {
                Err(((*key).to_owned(), format!("must be between {low} and {high}")))
            }
            None => Ok(()),
        }
    }
}
