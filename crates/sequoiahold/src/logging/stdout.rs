//! Non-blocking log lines to standard output; lines that cannot be written are dropped and counted.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use rustix::{
    fs::{OFlags, fcntl_getfl, fcntl_setfl},
    io::write,
    stdio::stdout,
};

/// Maximum average number of lines per second; bursts may have up to [`BURST_LINES`].
const LINES_PER_SECOND: f64 = 400.0;
/// Maximum number of lines in a burst.
const BURST_LINES: f64 = 1_200.0;
/// Maximum length of a line in bytes; up to this size (`PIPE_BUF`), a write to a pipe is atomic.
const MAX_LINE_BYTES: usize = 4_096;
/// Minimum time between two reports of dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(5);

struct LineLimiter {
    tokens: f64,
    refilled_at: Instant,
    dropped: u64,
    reported_at: Instant,
}

/// Sets standard output to non-blocking mode and returns a log output for it.
pub(super) fn output() -> anyhow::Result<fern::Output> {
    let flags = fcntl_getfl(stdout())?;
    fcntl_setfl(stdout(), flags | OFlags::NONBLOCK)?;
    let now = Instant::now();
    let limiter = Mutex::new(LineLimiter {
        tokens: BURST_LINES,
        refilled_at: now,
        dropped: 0,
        reported_at: now,
    });
    Ok(fern::Output::call(move |record| {
        let line = format!("{}\n", record.args());
        if let Ok(mut limiter) = limiter.lock() {
            limiter.write_line(&line);
        }
    }))
}

impl LineLimiter {
    fn write_line(&mut self, line: &str) {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        self.tokens = (self.tokens + refill).min(BURST_LINES);
        self.refilled_at = now;
        if self.tokens < 1.0 || line.len() > MAX_LINE_BYTES || !try_write(line) {
            self.dropped += 1;
            return;
        }
        self.tokens -= 1.0;
        if self.dropped > 0 && now.duration_since(self.reported_at) >= DROP_REPORT_INTERVAL {
            let report = format!("{{\"message\":\"lines dropped\",\"count\":{}}}\n", self.dropped);
            if try_write(&report) {
                (self.dropped, self.reported_at) = (0, now);
            }
        }
    }
}

/// Writes a line and returns whether it was written completely.
fn try_write(line: &str) -> bool {
    write(stdout(), line.as_bytes()).is_ok_and(|written| written == line.len())
}
