//! Settings of the distribution of configurations.

use sequoiahold_core::{
    config::{Seed, SyncParams},
    units::Span,
};
use serde::{Deserialize, Serialize};

/// Maximum number of seeds in the settings.
const MAX_SEEDS: usize = 8;

/// Settings of how a process receives published sets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The peers that a process contacts before it has a configuration.
    pub seeds: Vec<Seed>,
    /// The time between two gossip rounds.
    #[serde(rename = "interval")]
    pub gossip_interval: Span,
    /// The number of peers of the same zone in each gossip round.
    pub fanout: u32,
    /// The number of processes in a zone that read from the platform.
    pub readers: u32,
    /// The time for which a process without a set waits for the replies of its seeds.
    #[serde(rename = "wait")]
    pub seed_timeout: Span,
    /// The age of the platform's last response after which further processes read from it.
    #[serde(rename = "stale")]
    pub stale_after: Span,
    /// The maximum time between two reads of the platform's VM list.
    #[serde(rename = "list")]
    pub list_interval: Span,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seeds: vec![],
            gossip_interval: Span::secs(2),
            fanout: 4,
            readers: 3,
            seed_timeout: Span::secs(2),
            stale_after: Span::secs(4),
            list_interval: Span::secs(3),
        }
    }
}

impl Config {
    /// Returns the parameters for the core's configuration sync.
    pub fn sync_params(&self) -> SyncParams {
        SyncParams {
            gossip_interval: self.gossip_interval,
            fanout: self.fanout as usize,
            readers: self.readers as usize,
            seed_timeout: self.seed_timeout,
            stale_after: self.stale_after,
        }
    }

    pub(super) fn validate(&self) -> Result<(), (String, String)> {
        let spans = [
            ("config.interval", self.gossip_interval, (Span::millis(100), Span::secs(5))),
            ("config.wait", self.seed_timeout, (Span::millis(100), Span::secs(10))),
            ("config.stale", self.stale_after, (Span::secs(3), Span::secs(30))),
            ("config.list", self.list_interval, (Span::millis(500), Span::secs(10))),
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
