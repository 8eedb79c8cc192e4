//! How an engine behaves.

use std::time::Duration;

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// The requests that it bears warm.
    pub slots: u32,
    /// The requests that it bears cold.
    pub cold: u32,
    /// The tokens after which it is warm.
    pub warm: u64,
    /// The requests that are computed at the same time; others wait by priority.
    pub batch: u32,
    /// The time of one token.
    pub step: Duration,
    /// The time before the first token where the prefix is not cached.
    pub prefill: Duration,
    /// The memory for cached prefixes, in bytes.
    pub cache: usize,
    /// The time that loading takes.
    pub load: Duration,
    /// The time by which the reported load lags.
    pub lag: Duration,
    /// The time for which an answer whose reader has gone can be resumed.
    pub linger: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fences: bool,
    /// Whether it crashes when it is given more than it bears.
    pub falls: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 8,
            cold: 2,
            warm: 400,
            batch: u32::MAX,
            step: Duration::from_millis(10),
            prefill: Duration::ZERO,
            cache: 100_000,
            load: Duration::from_millis(300),
            lag: Duration::ZERO,
            linger: Duration::ZERO,
            fences: true,
            falls: false,
        }
    }
}
