//! Lines to standard output that never wait: what the reader does not take is dropped and counted.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use rustix::{
    fs::{OFlags, fcntl_getfl, fcntl_setfl},
    io::write,
    stdio::stdout,
};

/// Lines a second that are written at most, averaged over `BURST`.
const RATE: f64 = 400.0;
/// Lines that may come at once.
const BURST: f64 = 1_200.0;
/// Longest line, in bytes: what is not longer reaches a pipe whole.
const MAX_LINE: usize = 4_096;
/// Time between two lines that tell how many were dropped.
const TELL: Duration = Duration::from_secs(5);

struct Lines {
    tokens: f64,
    filled: Instant,
    dropped: u64,
    told: Instant,
}

/// Returns an output for log lines.
pub(super) fn output() -> anyhow::Result<fern::Output> {
    let flags = fcntl_getfl(stdout())?;
    fcntl_setfl(stdout(), flags | OFlags::NONBLOCK)?;
    let now = Instant::now();
    let lines = Mutex::new(Lines { tokens: BURST, filled: now, dropped: 0, told: now });
    Ok(fern::Output::call(move |record| {
        let line = format!("{}\n", record.args());
        if let Ok(mut lines) = lines.lock() {
            lines.put(&line);
        }
    }))
}

impl Lines {
    fn put(&mut self, line: &str) {
        let now = Instant::now();
        let filled = now.duration_since(self.filled).as_secs_f64() * RATE;
        self.tokens = (self.tokens + filled).min(BURST);
        self.filled = now;
        if self.tokens < 1.0 || line.len() > MAX_LINE || !put(line) {
            self.dropped += 1;
            return;
        }
        self.tokens -= 1.0;
        if self.dropped > 0 && now.duration_since(self.told) >= TELL {
            let told = format!("{{\"message\":\"lines dropped\",\"count\":{}}}\n", self.dropped);
            if put(&told) {
                (self.dropped, self.told) = (0, now);
            }
        }
    }
}

/// Writes a line and returns whether all of it was taken.
fn put(line: &str) -> bool {
    write(stdout(), line.as_bytes()).is_ok_and(|written| written == line.len())
}
