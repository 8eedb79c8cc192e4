//! Configuration of the simulated engine.

use std::time::Duration;

/// Capacity, timing and faults of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Concurrent requests that a warm engine can run.
    pub slots: u32,
    /// Concurrent requests that a cold engine can run.
    pub cold_slots: u32,
    /// Number of generated tokens after which the engine is warm.
    pub warm_tokens: u64,
    /// Maximum number of requests per batch; others wait by priority.
    pub batch_size: u32,
    /// Time per token.
    pub token_time: Duration,
    /// Extra time before the first token if the prompt prefix is not cached.
    pub prefill: Duration,
    /// Memory for cached prefixes, in bytes.
    pub cache_bytes: usize,
    /// Time that loading a version takes.
    pub load_time: Duration,
    /// Age of the load that the engine reports.
    pub report_lag: Duration,
    /// Time for which a complete answer can be resumed; zero cancels it when its reader leaves.
    pub resume_window: Duration,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fence: bool,
    /// Whether a request above capacity crashes the engine.
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
