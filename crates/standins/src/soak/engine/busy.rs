//! Busy times of a simulated engine, in which orders and staging calls take effect late.

use std::{
    ops::Range,
    time::{Duration, Instant},
};

use actix_http::Response;
use actix_rt::time::sleep;
use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use super::{Engine, broken_off};
use crate::{
    reply::{self, Body},
    soak::origin::CHUNKS,
};

/// Probability that an order finds the engine busy.
const BUSY_RATIO: f64 = 0.6;
/// The time for which it is busy then, in milliseconds.
const BUSY_TIME_MS: Range<u64> = 200..4_500;
/// Maximum number of chunks that turn corrupt meanwhile.
const MAX_CORRUPT: usize = 3;
/// The time from the order until such a chunk turns corrupt, in milliseconds.
const CORRUPTION_TIME_MS: Range<u64> = 0..700;
/// One in so many calls to stage a chunk takes effect late.
const LATE_RATIO: u32 = 40;
/// The time by which such a call is late, in milliseconds.
const LATE_TIME_MS: Range<u64> = 200..5_000;
/// The time that a slow read of a staged chunk takes, in milliseconds.
const READ_TIME_MS: Range<u64> = 15..45;

/// How an engine of a storm meets orders and staging calls.
#[derive(Debug)]
pub(super) struct BusyTimes {
    /// Whether orders find it busy and staging calls are late.
    enabled: bool,
    /// Whether reads of staged chunks are slow.
    slow_reads: bool,
    /// The time until which it accepts no order.
    pub(super) until: Option<Instant>,
    rng: SmallRng,
}

impl BusyTimes {
    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }
}

impl Engine {
    /// Prepares the engine for a storm; loads are judged from then on by what requests run on.
    pub(in crate::soak) fn prepare_storm(&self, slow_reads: bool, seed: u64) {
        let rng = SmallRng::seed_from_u64(seed);
        let busy = BusyTimes { enabled: false, slow_reads, until: None, rng };
        self.state.borrow_mut().busy = Some(busy);
    }

    /// Sets whether orders find the engine busy and staging calls are late.
    pub(in crate::soak) fn set_busy(&self, enabled: bool) {
        if let Some(busy) = &mut self.state.borrow_mut().busy {
            busy.enabled = enabled;
        }
    }

    /// Has the engine answer nothing for a time.
    pub(in crate::soak) fn hang(&self, time: Duration) {
        let (until, mut state) = (Instant::now() + time, self.state.borrow_mut());
        state.hangs_until = state.hangs_until.max(Some(until));
    }

    /// Ends all that runs and starts again under an id, without staged chunks.
    pub(in crate::soak) fn lose_power(&self, instance: &str) {
        self.restart(instance, None);
        self.state.borrow_mut().staged.clear();
    }

    /// Draws as an order arrives whether the engine is busy, and which chunks turn corrupt then.
    pub(super) fn begin_busy(&self) {
        let (now, mut state) = (Instant::now(), self.state.borrow_mut());
        let Some(busy) = state.busy.as_mut().filter(|busy| busy.enabled) else { return };
        if busy.until.is_some_and(|until| until > now) || !busy.rng.random_bool(BUSY_RATIO) {
            return;
        }
        let until = now + busy.millis(BUSY_TIME_MS);
        busy.until = Some(until);
        let hangs = busy.rng.random();
        for _ in 0..busy.rng.random_range(1..=MAX_CORRUPT) {
            let (number, delay) =
                (busy.rng.random_range(0..CHUNKS), busy.millis(CORRUPTION_TIME_MS));
            let engine = self.clone();
            actix_rt::spawn(async move {
                sleep(delay).await;
                engine.corrupt(&[number]);
            });
        }
        if hangs {
            state.hangs_until = state.hangs_until.max(Some(until));
        }
    }

    /// Waits while the engine is busy; returns whether it has not started again meanwhile.
    pub(super) async fn wait_while_busy(&self) -> bool {
        let (until, epoch) = {
            let state = self.state.borrow();
            (state.busy.as_ref().and_then(|busy| busy.until), state.epoch)
        };
        if let Some(until) = until {
            sleep(until.saturating_duration_since(Instant::now())).await;
        }
        self.state.borrow().epoch == epoch
    }

    /// Stages a chunk, at times late and also if the sender disconnects meanwhile.
    pub(super) async fn stage(&self, number: u64, data: Bytes) -> Response<Body> {
        let Some(delay) = self.draw_delay() else {
            self.state.borrow_mut().staged.stage(number, data);
            return reply::status(200);
        };
        let (engine, epoch) = (self.clone(), self.state.borrow().epoch);
        let staged = actix_rt::spawn(async move {
            sleep(delay).await;
            let mut state = engine.state.borrow_mut();
            let is_current = state.epoch == epoch;
            if is_current {
                state.staged.stage(number, data);
            }
            is_current
        });
        match staged.await {
            Ok(true) => reply::status(200),
            Ok(false) => broken_off(),
            Err(_) => reply::status(500),
        }
    }

    /// Reads a staged chunk as it is now; a slow read answers later.
    pub(super) async fn read_staged(&self, number: u64) -> Response<Body> {
        let (staged, time) = {
            let mut state = self.state.borrow_mut();
            let slow = state.busy.as_mut().filter(|busy| busy.slow_reads);
            let time = slow.map(|busy| busy.millis(READ_TIME_MS));
            (state.staged.read(number), time)
        };
        if let Some(time) = time {
            sleep(time).await;
        }
        staged.map_or(reply::status(404), reply::data)
    }

    /// Draws by how much a staging call is late, `None` for not at all.
    fn draw_delay(&self) -> Option<Duration> {
        let mut state = self.state.borrow_mut();
        let busy = state.busy.as_mut().filter(|busy| busy.enabled)?;
        busy.rng.random_ratio(1, LATE_RATIO).then(|| busy.millis(LATE_TIME_MS))
    }
}
