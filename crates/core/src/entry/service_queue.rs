//! Per-service queues at an entry, and refusals of requests that cannot be served in time.

use std::collections::BTreeMap;

use super::{Arrival, Entry, RequestKey, Timer, forecast::Forecast};
use crate::{
    declare::{Fleet, Role},
    ids::{ClientId, ServiceId, VmId},
    queue::{FairQueue, QueueLimits, QueuedRequest, RetrySchedule},
    refusal::{Reason, Refusal},
    time::Time,
    units::{Bytes, Span},
};

/// Longest time that a request waits at an entry.
const MAX_WAIT: Span = Span::secs(5);
/// Time between two attempts to serve the waiting requests of a service.
const SERVE_INTERVAL: Span = Span::millis(50);
/// Assumed mean duration of a request before the first one has ended.
const INITIAL_MEAN: Span = Span::secs(1);
/// Weight of the previous mean duration against 1 for the latest request.
const MEAN_WEIGHT: u64 = 7;
/// Limits on the number and total body size of the requests that wait for one service.
const QUEUE_LIMITS: QueueLimits = QueueLimits { count: 1_024, size: Bytes(8_000_000) };

/// The waiting and running requests of one service at an entry.
#[derive(Clone, Debug)]
pub(super) struct ServiceQueue {
    pub(super) items: FairQueue<RequestKey>,
    retries: RetrySchedule,
    mean: Span,
    running: u32,
    next_serve: Option<Time>,
}

impl Default for ServiceQueue {
    fn default() -> Self {
        let (items, retries) = (FairQueue::new(QUEUE_LIMITS), RetrySchedule::default());
        Self { items, retries, mean: INITIAL_MEAN, running: 0, next_serve: None }
    }
}

impl ServiceQueue {
    /// Updates the mean duration with a completed request.
    fn record_duration(&mut self, span: Span) {
        self.mean = Span((self.mean.0 * MEAN_WEIGHT + span.0) / (MEAN_WEIGHT + 1));
    }
}

impl Entry {
    /// Queues a request that is forecast to be served in time, else refuses it at once.
    pub(super) fn enqueue(&mut self, now: Time, key: RequestKey, refusal: Refusal) {
        let may_wait = matches!(refusal.reason, Reason::Overload | Reason::NoEndpoint);
        let request = self.requests.get(key).filter(|r| may_wait && r.arrival.key.is_none());
        let Some(request) = request else { return self.refuse(key, refusal) };
        let arrival = request.arrival.clone();
        let forecast = self.forecast(now, &arrival.service);
        let weight = self.weight_of(&arrival.client);
        let queue = self.queues.entry(arrival.service.clone()).or_default();
        let (at, left) = (request.arrived_at, request.time_left(now).unwrap_or_default());
        let until = (at + MAX_WAIT).min(now + Span(left.0.saturating_sub(queue.mean.0)));
        let max_wait = until - now;
        let ahead = queue.items.count_ahead(&arrival.client, weight, arrival.urgency);
        let wait = forecast.map(|forecast| forecast.drain_time(ahead));
        if wait.is_none_or(|span| span > max_wait) {
            return self.reject(now, key, refusal.reason);
        }
        if let Some(request) = self.requests.get_mut(key) {
            request.tried.clear();
        }
        let item = QueuedRequest {
            key,
            client: arrival.client,
            weight,
            urgency: arrival.urgency,
            size: arrival.size,
            arrived_at: at,
            deadline: until,
        };
        match queue.items.push(item) {
            Ok(evicted) => {
                evicted.into_iter().for_each(|key| self.reject(now, key, Reason::Share));
                self.schedule_serve(now + SERVE_INTERVAL, &arrival.service);
            }
            Err(_) => self.reject(now, key, Reason::Share),
        }
    }

    /// Returns whether an unkeyed request must queue behind others of its service.
    pub(super) fn has_waiters(&self, arrival: &Arrival) -> bool {
        let queue = self.queues.get(&arrival.service).filter(|_| arrival.key.is_none());
        queue.is_some_and(|queue| !queue.items.is_empty())
    }

    /// Sends waiting requests while endpoints have capacity and refuses those that cannot be served
    /// in time.
    pub(super) fn serve_queue(&mut self, now: Time, service: &ServiceId) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.next_serve = queue.next_serve.filter(|at| *at > now);
        }
        while let Some(key) = self.queues.get(service).and_then(|queue| queue.items.peek()) {
            match self.build_send(now, key, false) {
                Ok(output) => {
                    self.queues.entry(service.clone()).or_default().items.pop();
                    self.record_send(now, key, output);
                }
                Err(_) => break,
            }
        }
        let forecast = self.forecast(now, service);
        let Some(queue) = self.queues.get_mut(service) else { return };
        let overdue = match forecast {
            Some(forecast) => queue.items.overdue(|ahead| now + forecast.drain_time(ahead)),
            None => queue.items.overdue(|_| Time(u64::MAX)),
        };
        for key in &overdue {
            queue.items.remove(*key);
        }
        let waiting = !queue.items.is_empty();
        overdue.into_iter().for_each(|key| self.reject(now, key, Reason::Overload));
        if waiting {
            self.schedule_serve(now + SERVE_INTERVAL, service);
        }
    }

    /// Removes a request from its queue or endpoint, and returns the endpoint that it was sent to.
    pub(super) fn release(&mut self, now: Time, key: RequestKey, completed: bool) -> Option<VmId> {
        let request = self.requests.get_mut(key)?;
        let service = request.arrival.service.clone();
        let sent = request.sent.take();
        let queue = self.queues.entry(service.clone()).or_default();
        queue.items.remove(key);
        let (at, vm) = sent?;
        queue.running = queue.running.saturating_sub(1);
        if completed {
            queue.record_duration(now - at);
        }
        self.router.record_end(&vm);
        if !self.queues[&service].items.is_empty() {
            self.schedule_serve(now, &service);
        }
        Some(vm)
    }

    /// Records that a request is sent to an endpoint, and adds the output.
    pub(super) fn record_send(&mut self, now: Time, key: RequestKey, output: super::Output) {
        if let (Some(request), super::Output::Send { vm, .. }) =
            (self.requests.get_mut(key), &output)
        {
            request.state.apply(super::RequestEvent::Send);
            request.sent = Some((now, vm.clone()));
            self.queues.entry(request.arrival.service.clone()).or_default().running += 1;
        }
        self.outputs.push(output);
    }

    /// Returns the number of requests, waiting or running, for the service of an endpoint.
    pub(super) fn demand(&self, fleet: &Fleet, vm: &VmId) -> u32 {
        let Some(pool) = fleet.pool_of(vm) else { return 0 };
        let queue = self.queues.get(&pool.service);
        queue.map_or(0, |queue| queue.items.len() as u32 + queue.running)
    }

    /// Refuses a request, with the delay after which a retry is forecast to be served.
    pub(super) fn reject(&mut self, now: Time, key: RequestKey, reason: Reason) {
        let Some(arrival) = self.requests.get(key).map(|r| r.arrival.clone()) else { return };
        let forecast = self.forecast(now, &arrival.service);
        let weight = self.weight_of(&arrival.client);
        let queue = self.queues.entry(arrival.service.clone()).or_default();
        let forecast = forecast.unwrap_or(Forecast { slots: 1, warm_slots: 1, mean: queue.mean });
        let retry_at = now + forecast.drain_time(queue.items.len());
        let account = (&arrival.client, weight);
        let retry = queue.retries.reserve(now, account, retry_at, forecast.service_interval());
        self.refuse(key, Refusal::retry_after(reason, retry));
    }

    /// Returns the forecast capacity of this entry, `None` if no endpoint accepts requests.
    fn forecast(&self, now: Time, service: &ServiceId) -> Option<Forecast> {
        let fleet = self.fleet()?;
        let ready = || self.router.ready(now, &fleet, service);
        let credit: u32 = ready().map(|(_, known)| known.load.credit).sum();
        let limit: u32 = ready().map(|(_, known)| known.load.limit).sum();
        let warm: u32 = ready().filter_map(|(vm, _)| Some(fleet.pool_of(vm)?.slots)).sum();
        let entries = fleet.vms.values().filter(|vm| vm.role == Role::Entry);
        let entries = entries.filter(|vm| fleet.zone_in_service(&vm.name)).count().max(1) as u32;
        let mean = self.queues.get(service).map_or(INITIAL_MEAN, |queue| queue.mean);
        let slots = credit.max(limit / entries);
        (limit > 0).then_some(Forecast { slots, warm_slots: warm / entries, mean })
    }

    fn weight_of(&self, client: &ClientId) -> u32 {
        let fleet = self.fleet();
        fleet.and_then(|fleet| Some(fleet.clients.get(client)?.weight)).unwrap_or(1)
    }

    fn schedule_serve(&mut self, at: Time, service: &ServiceId) {
        let queue = self.queues.entry(service.clone()).or_default();
        if queue.next_serve.is_none_or(|next| at < next) {
            queue.next_serve = Some(at);
            self.timers.schedule(at, Timer::ServeQueue(service.clone()));
        }
    }
}

/// The queues by service.
pub(super) type ServiceQueues = BTreeMap<ServiceId, ServiceQueue>;
