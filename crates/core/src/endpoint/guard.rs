//! What keeps an endpoint process from acting on an old view of its engine.

use super::{Endpoint, Output};
use crate::{gate::RunId, ids::VersionId, proto::Heartbeat, time::Time, units::Span};

/// Look intervals without any event after which the process has slept.
const LATE_LOOKS: u64 = 3;
/// The time that a request may take where no configuration says so.
const PATIENCE: Span = Span::secs(30);

impl Endpoint {
    /// Takes the limit that the engine showed with the head of an answer.
    pub fn head(&mut self, ticket: &RunId, limit: u32) {
        self.gate.record_head_limit(ticket, limit);
    }

    /// Returns whether an order to load this version may still be given, and takes note of it.
    pub fn confirm(&mut self, now: Time, version: &VersionId) -> bool {
        self.wake(now);
        let wanted = self.wanted.as_ref().is_some_and(|w| w.version.name == *version && w.loading);
        let given = wanted && !self.draining && self.gate.is_fresh() && self.command.may_order();
        if given {
            self.gate.load_started();
        }
        given
    }

    /// Returns whether the engine belongs to a later process.
    pub fn superseded(&self) -> bool {
        self.command.superseded()
    }

    /// Closes the gate until the next look where the process has not run for a while.
    pub(super) fn wake(&mut self, now: Time) {
        let idle = now - self.last;
        self.last = self.last.max(now);
        if idle.0 > self.own.look.0 * LATE_LOOKS {
            self.gate.invalidate();
            self.look();
        }
    }

    /// Returns the state that this process tells a peer, with the credit that it leases to an entry.
    pub fn answer(&mut self, now: Time, told: &Heartbeat) -> Heartbeat {
        self.wake(now);
        let bears = if self.gate.is_open() { self.gate.limit() } else { 0 };
        let credit = match told.load {
            None => self.leases.renew(now, &self.own.vm, &told.vm, (told.demand, bears)),
            Some(_) => 0,
        };
        let mut beat = self.beat();
        if let Some(load) = &mut beat.load {
            load.credit = credit;
        }
        beat
    }

    pub(super) fn look(&mut self) {
        let look = self.gate.begin_probe();
        self.outputs.push(Output::Look(look));
    }

    /// Returns the time that a request of this endpoint's service may take.
    pub(super) fn patience(&self) -> Span {
        let fleet = self.fleet();
        let service = fleet.as_ref().and_then(|fleet| {
            let pool = fleet.pool_of(&self.own.vm)?;
            fleet.services.get(&pool.service)
        });
        service.map_or(PATIENCE, |service| service.timeout)
    }
}
