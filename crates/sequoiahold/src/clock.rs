//! Process clock: maps the monotonic clock to the virtual time of the core.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use sequoiahold_core::{ids::Incarnation, time::Time};

/// The start of the process and its incarnation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    incarnation: Incarnation,
}

impl Default for Clock {
    fn default() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), incarnation: Incarnation(wall.as_micros() as u64) }
    }
}

impl Clock {
    /// Returns the time since the start of the process.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }

    /// Returns the incarnation of this process: its start in microseconds since the Unix epoch.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Waits until `at`, or forever if it is `None`.
    pub async fn sleep_until(&self, at: Option<Time>) {
        match at {
            Some(at) => {
                let deadline = self.start + std::time::Duration::from_micros(at.0);
                actix_rt::time::sleep_until(deadline.into()).await;
            }
            None => std::future::pending().await,
        }
    }
}
