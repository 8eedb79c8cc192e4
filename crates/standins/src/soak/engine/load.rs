//! Loads of a simulated engine, which can hang with an order.

use std::time::{Duration, Instant};

use actix_http::Response;
use actix_rt::time::sleep;
use serde::Deserialize;
use tokio::sync::oneshot;

use super::Engine;
use crate::reply::{self, Body};

/// Time that loading a version takes.
const LOAD_TIME: Duration = Duration::from_millis(200);

/// A hang that begins as an order arrives.
#[derive(Debug)]
pub(super) struct OrderHang {
    time: Duration,
    arrived: oneshot::Sender<()>,
}

#[derive(Deserialize)]
struct Order {
    version: u64,
    precondition: Option<u64>,
}

impl Engine {
    /// Has the engine hang for a time from its next order on; the receiver learns when it arrives,
    /// and ends if the engine starts again before.
    pub(in crate::soak) fn hang_with_order(&self, time: Duration) -> oneshot::Receiver<()> {
        let (arrived, arrival) = oneshot::channel();
        self.state.borrow_mut().order_hang = Some(OrderHang { time, arrived });
        arrival
    }

    /// Takes back that the engine hangs with its next order.
    pub(in crate::soak) fn cancel_hang(&self) {
        self.state.borrow_mut().order_hang = None;
    }

    /// Turns staged chunks corrupt.
    pub(in crate::soak) fn corrupt(&self, chunks: &[u64]) {
        let mut state = self.state.borrow_mut();
        chunks.iter().for_each(|number| state.staged.corrupt(Instant::now(), *number));
    }

    /// Returns the number of loads begun since the start of the soak.
    pub(in crate::soak) fn loads(&self) -> u32 {
        self.state.borrow().loads
    }

    /// Waits while the engine hangs; returns whether it has not started again meanwhile.
    pub(super) async fn wait_while_hanging(&self) -> bool {
        let (until, epoch) = {
            let state = self.state.borrow();
            (state.hangs_until, state.epoch)
        };
        if let Some(until) = until {
            sleep(until.saturating_duration_since(Instant::now())).await;
        }
        self.state.borrow().epoch == epoch
    }

    /// Answers an order, which is accepted also if its sender disconnects meanwhile.
    pub(super) async fn order(&self, body: &[u8]) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<Order>(body) else { return reply::status(400) };
        if self.state.borrow().busy.is_none() {
            self.check_staged(order.version);
        }
        self.begin_hang();
        self.begin_busy();
        let engine = self.clone();
        let accepted = actix_rt::spawn(async move {
            let lives = engine.wait_while_busy().await && engine.wait_while_hanging().await;
            lives.then(|| engine.accept(&order))
        });
        match accepted.await {
            Ok(Some(status)) => reply::status(status),
            Ok(None) => super::broken_off(),
            Err(_) => reply::status(500),
        }
    }

    /// Checks as an order arrives that the chunks of its version are staged.
    fn check_staged(&self, version: u64) {
        let state = self.state.borrow();
        let mismatch = state.staged.find_mismatch(version);
        if let Some(number) = mismatch.filter(|_| state.version != Some(version)) {
            let text = format_args!("{} loads without chunk {number}", state.instance);
            self.journal.report("WHOLE", 0, text);
        }
    }

    fn begin_hang(&self) {
        let mut state = self.state.borrow_mut();
        if let Some(OrderHang { time, arrived }) = state.order_hang.take() {
            state.hangs_until = Some(Instant::now() + time);
            // The fault that waits for the order may have ended.
            let _ = arrived.send(());
        }
    }

    /// Begins a load if an order still holds; returns the status that answers it.
    fn accept(&self, order: &Order) -> u16 {
        let (version, loading, orders, unusable) = {
            let state = self.state.borrow();
            let unusable = state.staged.unusable(Instant::now(), order.version);
            (state.version, state.loading, state.orders, unusable)
        };
        if version == Some(order.version) {
            return 200;
        }
        if loading || order.precondition.is_some_and(|expected| expected != orders) {
            return 409;
        }
        if !unusable.is_empty() {
            self.journal.count_bad_load();
        }
        self.begin_load(order.version, unusable);
        202
    }

    /// Begins to load a version after what runs, from intact chunks.
    pub(in crate::soak) fn load(&self, version: u64) {
        self.begin_load(version, vec![]);
    }

    /// Begins to load a version after what runs; nothing begins until it is loaded.
    fn begin_load(&self, version: u64, unusable: Vec<u64>) {
        let epoch = {
            let mut state = self.state.borrow_mut();
            (state.loading, state.orders) = (true, state.orders + 1);
            state.loads += 1;
            state.unusable = unusable;
            state.epoch
        };
        let engine = self.clone();
        actix_rt::spawn(async move {
            while engine.state.borrow().running > 0 {
                sleep(Duration::from_millis(5)).await;
            }
            sleep(LOAD_TIME).await;
            let mut state = engine.state.borrow_mut();
            if state.epoch == epoch {
                (state.version, state.loading) = (Some(version), false);
            }
        });
    }
}
