//! Requests that wait at an entry, and what is told to those that will not be served in time.

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
/// Pause between two passes over the requests that wait.
const PASS: Span = Span::millis(50);
/// The time of a request where none has ended yet.
const FIRST_TIME: Span = Span::secs(1);
/// The weight of the past in the mean time of a request, against 1 of the present.
const PAST: u64 = 7;
/// What the requests that wait for one service may hold.
const BOUNDS: QueueLimits = QueueLimits { count: 1_024, size: Bytes(8_000_000) };

/// The requests of one service at an entry.
#[derive(Clone, Debug)]
pub(super) struct ServiceQueue {
    pub(super) items: FairQueue<RequestKey>,
    returns: RetrySchedule,
    mean: Span,
    running: u32,
    armed: Option<Time>,
}

impl Default for ServiceQueue {
    fn default() -> Self {
        let (items, returns) = (FairQueue::new(BOUNDS), RetrySchedule::default());
        Self { items, returns, mean: FIRST_TIME, running: 0, armed: None }
    }
}

impl ServiceQueue {
    /// Takes note of the time that a request ran.
    fn took(&mut self, span: Span) {
        self.mean = Span((self.mean.0 * PAST + span.0) / (PAST + 1));
    }
}

impl Entry {
    /// Lets a request wait where it will be served in time, else refuses it at once.
    pub(super) fn wait(&mut self, now: Time, key: RequestKey, refusal: Refusal) {
        let waits = matches!(refusal.reason, Reason::Overload | Reason::NoEndpoint);
        let request = self.requests.get(key).filter(|r| waits && r.arrival.key.is_none());
        let Some(request) = request else { return self.refuse(key, refusal) };
        let arrival = request.arrival.clone();
        let forecast = self.forecast(now, &arrival.service);
        let weight = self.weight_of(&arrival.client);
        let queue = self.queues.entry(arrival.service.clone()).or_default();
        let (at, left) = (request.at, request.left(now).unwrap_or_default());
        let until = (at + MAX_WAIT).min(now + Span(left.0.saturating_sub(queue.mean.0)));
        let patience = until - now;
        let ahead = queue.items.count_ahead(&arrival.client, weight, arrival.urgency);
        let served = forecast.map(|forecast| forecast.time_for(ahead));
        if served.is_none_or(|span| span > patience) {
            return self.give_up(now, key, refusal.reason);
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
                evicted.into_iter().for_each(|key| self.give_up(now, key, Reason::Share));
                self.arm(now + PASS, &arrival.service);
            }
            Err(_) => self.give_up(now, key, Reason::Share),
        }
    }

    /// Returns whether others wait for the service of a request that may wait too.
    pub(super) fn others_wait(&self, arrival: &Arrival) -> bool {
        let queue = self.queues.get(&arrival.service).filter(|_| arrival.key.is_none());
        queue.is_some_and(|queue| !queue.items.is_empty())
    }

    /// Serves the requests that wait while there is room, and refuses those that are too late.
    pub(super) fn pass(&mut self, now: Time, service: &ServiceId) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.armed = queue.armed.filter(|at| *at > now);
        }
        while let Some(key) = self.queues.get(service).and_then(|queue| queue.items.peek()) {
            match self.choose(now, key, false) {
                Ok(output) => {
                    self.queues.entry(service.clone()).or_default().items.pop();
                    self.sent(now, key, output);
                }
                Err(_) => break,
            }
        }
        let forecast = self.forecast(now, service);
        let Some(queue) = self.queues.get_mut(service) else { return };
        let overdue = match forecast {
            Some(forecast) => queue.items.overdue(|ahead| now + forecast.time_for(ahead)),
            None => queue.items.overdue(|_| Time(u64::MAX)),
        };
        for key in &overdue {
            queue.items.remove(*key);
        }
        let waiting = !queue.items.is_empty();
        overdue.into_iter().for_each(|key| self.give_up(now, key, Reason::Overload));
        if waiting {
            self.arm(now + PASS, service);
        }
    }

    /// Takes note that a request no longer runs at the endpoint that it was sent to.
    pub(super) fn freed(&mut self, now: Time, key: RequestKey, whole: bool) -> Option<VmId> {
        let request = self.requests.get_mut(key)?;
        let service = request.arrival.service.clone();
        let sent = request.sent.take();
        let queue = self.queues.entry(service.clone()).or_default();
        queue.items.remove(key);
        let (at, vm) = sent?;
        queue.running = queue.running.saturating_sub(1);
        if whole {
            queue.took(now - at);
        }
        self.router.record_end(&vm);
        if !self.queues[&service].items.is_empty() {
            self.arm(now, &service);
        }
        Some(vm)
    }

    /// Takes note that a request goes to an endpoint.
    pub(super) fn sent(&mut self, now: Time, key: RequestKey, output: super::Output) {
        if let (Some(request), super::Output::Send { vm, .. }) =
            (self.requests.get_mut(key), &output)
        {
            request.state.apply(super::RequestEvent::Send);
            request.sent = Some((now, vm.clone()));
            self.queues.entry(request.arrival.service.clone()).or_default().running += 1;
        }
        self.outputs.push(output);
    }

    /// Returns the requests that this entry has for the service of an endpoint.
    pub(super) fn want(&self, fleet: &Fleet, vm: &VmId) -> u32 {
        let Some(pool) = fleet.pool_of(vm) else { return 0 };
        let queue = self.queues.get(&pool.service);
        queue.map_or(0, |queue| queue.items.len() as u32 + queue.running)
    }

    /// Refuses a request at once, with the time at which it fits in.
    pub(super) fn give_up(&mut self, now: Time, key: RequestKey, reason: Reason) {
        let Some(arrival) = self.requests.get(key).map(|r| r.arrival.clone()) else { return };
        let forecast = self.forecast(now, &arrival.service);
        let weight = self.weight_of(&arrival.client);
        let queue = self.queues.entry(arrival.service.clone()).or_default();
        let forecast = forecast.unwrap_or(Forecast { slots: 1, warm: 1, mean: queue.mean });
        let free = now + forecast.time_for(queue.items.len());
        let account = (&arrival.client, weight);
        let retry = queue.returns.reserve(now, account, free, forecast.gap());
        self.refuse(key, Refusal::retry_after(reason, retry));
    }

    /// Returns what this entry may have in progress, `None` where no endpoint takes work.
    fn forecast(&self, now: Time, service: &ServiceId) -> Option<Forecast> {
        let fleet = self.fleet()?;
        let ready = || self.router.ready(now, &fleet, service);
        let credit: u32 = ready().map(|(_, known)| known.load.credit).sum();
        let limit: u32 = ready().map(|(_, known)| known.load.limit).sum();
        let warm: u32 = ready().filter_map(|(vm, _)| Some(fleet.pool_of(vm)?.slots)).sum();
        let entries = fleet.vms.values().filter(|vm| vm.role == Role::Entry);
        let entries = entries.filter(|vm| fleet.in_service(&vm.name)).count().max(1) as u32;
        let mean = self.queues.get(service).map_or(FIRST_TIME, |queue| queue.mean);
        let slots = credit.max(limit / entries);
        (limit > 0).then_some(Forecast { slots, warm: warm / entries, mean })
    }

    fn weight_of(&self, client: &ClientId) -> u32 {
        let fleet = self.fleet();
        fleet.and_then(|fleet| Some(fleet.clients.get(client)?.weight)).unwrap_or(1)
    }

    fn arm(&mut self, at: Time, service: &ServiceId) {
        let queue = self.queues.entry(service.clone()).or_default();
        if queue.armed.is_none_or(|armed| at < armed) {
            queue.armed = Some(at);
            self.timers.schedule(at, Timer::Pass(service.clone()));
        }
    }
}

/// The requests that wait, by service.
pub(super) type ServiceQueues = BTreeMap<ServiceId, ServiceQueue>;
