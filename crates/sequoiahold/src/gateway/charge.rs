//! Charges of the further attempts of one request to the retry budget.

use std::rc::Rc;

use sequoiahold_core::{direct::platform::Codec, ids::ServiceId};

use super::{attempt::SendOutcome, record, state::Gateway};

/// State of the latest charge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// It is settled, or there was none.
    Closed,
    /// Its attempt is yet to be sent.
    Unsent,
    /// Its attempt may have been sent and has no outcome yet.
    Sent,
}

/// The charge of a request, which counts in the budget until its attempt has an outcome.
pub(super) struct RetryCharge<'a, C: Codec> {
    gateway: &'a Rc<Gateway<C>>,
    service: ServiceId,
    state: State,
    /// Number of attempts that may still arrive.
    unanswered: u32,
}

impl<'a, C: Codec> RetryCharge<'a, C> {
    /// Returns the state of a request to a service that has not been sent.
    pub(super) fn new(gateway: &'a Rc<Gateway<C>>, service: ServiceId) -> Self {
        Self { gateway, service, state: State::Closed, unanswered: 0 }
    }

    /// Charges a further attempt of the request `id`, unless an earlier charge was not used;
    /// returns false if the budget is used up.
    pub(super) fn try_open(&mut self, id: &str) -> bool {
        if self.state == State::Unsent {
            return true;
        }
        let (now, gateways) = (self.gateway.node.now(), self.gateway.gateway_count());
        let mut budget = self.gateway.retry_budget.borrow_mut();
        let usage = budget.usage(now, &self.service, gateways);
        let spent = budget.try_spend(now, &self.service, gateways);
        drop(budget);
        record::log_retry(self.gateway, id, &self.service, usage, spent);
        if spent {
            self.state = State::Unsent;
        }
        spent
    }

    /// Records that an attempt begins.
    pub(super) fn begin_attempt(&mut self) {
        self.unanswered += 1;
        if self.state == State::Unsent {
            self.state = State::Sent;
        }
    }

    /// Records how an attempt ended, and settles the charge if it was sent.
    pub(super) fn end_attempt(&mut self, outcome: &SendOutcome) {
        // An endpoint reads nothing more from a connection that it has ended.
        if !matches!(outcome, SendOutcome::Indeterminate { disconnected: false, .. }) {
            self.unanswered -= 1;
        }
        let not_sent = matches!(outcome, SendOutcome::NotSent(_) | SendOutcome::Withheld(..));
        match self.state {
            State::Sent if not_sent => self.state = State::Unsent,
            State::Sent => self.close(),
            State::Closed | State::Unsent => {}
        }
    }

    fn close(&mut self) {
        let now = self.gateway.node.now();
        let mut budget = self.gateway.retry_budget.borrow_mut();
        match self.state {
            State::Closed => {}
            State::Unsent => budget.release(&self.service),
            State::Sent => budget.settle(now, &self.service, self.unanswered > 0),
        }
        self.state = State::Closed;
    }
}

impl<C: Codec> Drop for RetryCharge<'_, C> {
    fn drop(&mut self) {
        self.close();
    }
}
