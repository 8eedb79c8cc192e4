//! Checks that keep an endpoint process from acting on a stale view of its engine.

use super::{Endpoint, Output};
use crate::{gate::RunId, ids::VersionId, proto::Heartbeat, time::Time, units::Span};

/// Probe intervals without any event after which the process counts as paused.
const PAUSE_PROBES: u64 = 3;
/// Request timeout while no configuration is in force.
const DEFAULT_TIMEOUT: Span = Span::secs(30);

impl Endpoint {
    /// Records the limit that the engine reported with the head of an answer.
    pub fn on_answer_head(&mut self, run_id: &RunId, limit: u32) {
        self.gate.record_head_limit(run_id, limit);
    }

    /// Returns whether the command to load this version may still be sent; if so, closes the gate
    /// until the load has ended.
    pub fn confirm_load(&mut self, now: Time, version: &VersionId) -> bool {
        self.detect_pause(now);
        let loading = self
            .target
            .as_ref()
            .is_some_and(|target| target.version.name == *version && target.loading);
        let confirmed =
            loading && !self.draining && self.gate.is_fresh() && self.fencing.may_command();
        if confirmed {
            self.gate.load_started();
        }
        confirmed
    }

    /// Returns whether a later process has taken control of the engine.
    pub fn superseded(&self) -> bool {
        self.fencing.is_superseded()
    }

    /// Closes the gate until the next probe if the process was paused.
    pub(super) fn detect_pause(&mut self, now: Time) {
        let idle = now - self.last_event;
        self.last_event = self.last_event.max(now);
        if idle.0 > self.own.probe_interval.0 * PAUSE_PROBES {
            self.gate.invalidate();
            self.probe_engine();
        }
    }

    /// Returns the reply to a heartbeat, with the credit that is leased if the sender is an entry.
    pub fn heartbeat_reply(&mut self, now: Time, received: &Heartbeat) -> Heartbeat {
        self.detect_pause(now);
        let capacity = if self.gate.is_open() { self.gate.limit() } else { 0 };
        let credit = match received.load {
            None => self.leases.renew(now, &self.own.vm, &received.vm, (received.demand, capacity)),
            Some(_) => 0,
        };
        let mut reply = self.heartbeat();
        if let Some(load) = &mut reply.load {
            load.credit = credit;
        }
        reply
    }

    pub(super) fn probe_engine(&mut self) {
        let probe = self.gate.begin_probe();
        self.outputs.push(Output::ProbeEngine(probe));
    }

    /// Returns the request timeout of this endpoint's service.
    pub(super) fn request_timeout(&self) -> Span {
        let fleet = self.fleet();
        let service = fleet.as_ref().and_then(|fleet| {
            let pool = fleet.pool_of(&self.own.vm)?;
            fleet.services.get(&pool.service)
        });
        service.map_or(DEFAULT_TIMEOUT, |service| service.timeout)
    }
}
