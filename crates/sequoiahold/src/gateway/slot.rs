//! Slots at endpoints, held while a request runs there.

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

/// Guard that releases a slot at an endpoint when dropped.
pub(super) struct SlotGuard<C: Codec> {
    gateway: Rc<Gateway<C>>,
    /// The granted slot.
    pub(super) grant: Grant,
    /// Outcome of the attempt, reported to the scheduler on release.
    pub(super) outcome: AttemptOutcome,
}

impl<C: Codec> SlotGuard<C> {
    /// Returns a guard for a granted slot.
    pub(super) fn new(gateway: Rc<Gateway<C>>, grant: Grant) -> Self {
        Self { gateway, grant, outcome: AttemptOutcome::Dropped }
    }

    /// Tells the scheduler, once, that the prefill of the prompt is over.
    pub(super) fn finish_prefill(&mut self) {
        if self.grant.prefill_ms > 0 {
            let now = self.gateway.node.now();
            let mut scheduler = self.gateway.scheduler.borrow_mut();
            scheduler.record_first_event(now, &self.grant);
            scheduler.finish_prefill(&mut self.grant);
        }
    }
}

impl<C: Codec> Drop for SlotGuard<C> {
    fn drop(&mut self) {
        let now = self.gateway.node.now();
        self.gateway.scheduler.borrow_mut().release(now, &mut self.grant, self.outcome);
        if self.gateway.scheduler.borrow().queued_requests() > 0 {
            self.gateway.dispatch_queued();
        }
    }
}

/// Guard that removes a queued request from the queue when dropped.
struct QueueGuard<C: Codec> {
    gateway: Rc<Gateway<C>>,
    service: ServiceId,
    key: TicketKey,
}

impl<C: Codec> Drop for QueueGuard<C> {
    fn drop(&mut self) {
        self.gateway.scheduler.borrow_mut().cancel(&self.service, self.key);
        self.gateway.waiters.borrow_mut().remove(&(self.service.clone(), self.key));
    }
}

/// Acquires a slot for a request, immediately or from the queue, or returns the refusal.
pub(super) async fn acquire<C: Codec>(
    gateway: &Rc<Gateway<C>>,
    request: PlacementRequest,
) -> Result<SlotGuard<C>, Refusal> {
    let now = gateway.node.now();
    let service = request.service.clone();
    let decision =
        gateway.scheduler.borrow_mut().submit(now, request, &mut *gateway.node.rng.borrow_mut());
    let key = match decision {
        Decision::Dispatch(grant) => return Ok(SlotGuard::new(gateway.clone(), grant)),
        Decision::Refuse(refusal) => return Err(refusal),
        Decision::Wait(key) => key,
    };
    let (waiter, placement) = oneshot::channel();
    gateway.waiters.borrow_mut().insert((service.clone(), key), waiter);
    let _queue_guard = QueueGuard { gateway: gateway.clone(), service, key };
    gateway.dispatch_queued();
    placement.await.unwrap_or(Err(Refusal::new(Reason::NoEndpoint)))
}
