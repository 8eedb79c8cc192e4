//! How an engine behaves.

use std::time::Duration;

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// The requests that it bears warm.
    pub slots: u32,
    /// The requests that it bears cold.
    pub cold_slots: u32,
    /// The tokens after which it is warm.
    pub warm_tokens: u64,
    /// The requests that are computed at the same time; others wait by priority.
    pub batch_size: u32,
    /// The time of one token.
    pub token_time: Duration,
    /// The time before the first token where the prefix is not cached.
    pub prefill: Duration,
    /// The memory for cached prefixes, in bytes.
    pub cache_bytes: usize,
    /// The time that loading takes.
    pub load_time: Duration,
    /// The time by which the reported load lags.
    pub report_lag: Duration,
    /// The time for which an answer whose reader has gone can be resumed.
    pub resume_window: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Whether it crashes when it is given more than it bears.
    pub overload_crash: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 8,
            cold_slots: 2,
            warm_tokens: 400,
            batch_size: u32::MAX,
            token_time: Duration::from_millis(10),
            prefill: Duration::ZERO,
            cache_bytes: 100_000,
            load_time: Duration::from_millis(300),
            report_lag: Duration::ZERO,
            resume_window: Duration::ZERO,
            checks_fence: true,
            overload_crash: false,
        }
    }
}
