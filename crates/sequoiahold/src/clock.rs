//! Process clock: maps the time since the boot of the VM to the virtual time of the core.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use sequoiahold_core::{ids::Incarnation, time::Time, units::Span};

/// Maximum time between two looks at the clock of a wait: the timer does not count the time for
/// which the VM is suspended.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// The start of the process and its incarnation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: fn() -> Duration,
    start: Duration,
    steady_start: Instant,
    incarnation: Incarnation,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new(boot_time)
    }
}

impl Clock {
    /// Returns a clock that starts now by `source`, which must not go backwards.
    pub fn new(source: fn() -> Duration) -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = Incarnation(wall.as_micros() as u64);
        Self { source, start: source(), steady_start: Instant::now(), incarnation }
    }

    /// Returns the time since the start of the process, including that for which the VM was
    /// suspended.
    pub fn now(&self) -> Time {
        Time((self.source)().saturating_sub(self.start).as_micros() as u64)
    }

    /// Returns for how long the VM was suspended since the start of the process.
    pub fn suspended(&self) -> Span {
        let steady = Time(self.steady_start.elapsed().as_micros() as u64);
        self.now() - steady
    }

    /// Returns the incarnation of this process: its start in microseconds since the Unix epoch.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Waits until `at`, or forever if it is `None`.
    pub async fn sleep_until(&self, at: Option<Time>) {
        let Some(at) = at else { return std::future::pending().await };
        loop {
            let left = Duration::from(at - self.now());
            if left.is_zero() {
                return;
            }
            actix_rt::time::sleep(left.min(MAX_SLEEP)).await;
        }
    }
}

/// Returns the time since the boot of the VM; unlike the steady clock, it goes on in a suspension.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
