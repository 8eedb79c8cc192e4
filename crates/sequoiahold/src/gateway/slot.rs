//! A place at an endpoint, held while a request runs there.

use std::rc::Rc;

use sequoiahold_core::{
    direct::{
        endpoint_state::AttemptOutcome,
        platform::Codec,
        scheduler::{Decision, Grant, PlacementRequest},
        wait_queue::TicketKey,
    },
    ids::ServiceId,
    refusal::{Reason, Refusal},
};
use tokio::sync::oneshot;

use super::state::Gateway;

/// A place at an endpoint; dropping it gives it back.
pub(super) struct Held<D: Codec> {
    gateway: Rc<Gateway<D>>,
    /// The place.
    pub(super) grant: Grant,
    /// How the request ended there.
    pub(super) ended: AttemptOutcome,
}

impl<D: Codec> Held<D> {
    /// Holds a place.
    pub(super) fn new(gateway: Rc<Gateway<D>>, grant: Grant) -> Self {
        Self { gateway, grant, ended: AttemptOutcome::Dropped }
    }

    /// Takes note that the endpoint has read the prompt.
    pub(super) fn read(&mut self) {
        if self.grant.prefill_ms > 0 {
            self.gateway.desk.borrow_mut().finish_prefill(&mut self.grant);
        }
    }
}

impl<D: Codec> Drop for Held<D> {
    fn drop(&mut self) {
        let now = self.gateway.node.now();
        self.gateway.desk.borrow_mut().release(now, &mut self.grant, self.ended);
        if self.gateway.desk.borrow().queued_requests() > 0 {
            self.gateway.pump();
        }
    }
}

/// A waiting request; dropping it takes it out of the line.
struct Ticket<D: Codec> {
    gateway: Rc<Gateway<D>>,
    service: ServiceId,
    key: TicketKey,
}

impl<D: Codec> Drop for Ticket<D> {
    fn drop(&mut self) {
        self.gateway.desk.borrow_mut().cancel(&self.service, self.key);
        self.gateway.waiters.borrow_mut().remove(&(self.service.clone(), self.key));
    }
}

/// Returns a place for a request, at once or after a wait.
pub(super) async fn find<D: Codec>(
    gateway: &Rc<Gateway<D>>,
    ask: PlacementRequest,
) -> Result<Held<D>, Refusal> {
    let now = gateway.node.now();
    let service = ask.service.clone();
    let verdict = gateway.desk.borrow_mut().submit(now, ask, &mut *gateway.node.rng.borrow_mut());
    let key = match verdict {
        Decision::Dispatch(grant) => return Ok(Held::new(gateway.clone(), grant)),
        Decision::Refuse(refusal) => return Err(refusal),
        Decision::Wait(key) => key,
    };
    let (waiter, decided) = oneshot::channel();
    gateway.waiters.borrow_mut().insert((service.clone(), key), waiter);
    let _ticket = Ticket { gateway: gateway.clone(), service, key };
    gateway.pump();
    decided.await.unwrap_or(Err(Refusal::new(Reason::NoEndpoint)))
}
