//! A bounded queue with weighted fair scheduling of client accounts, and the scheduling of retries.

use std::collections::BTreeMap;

use crate::{
    ids::ClientId,
    time::Time,
    units::{Bytes, Span},
};

/// The virtual time that a request of an account with weight 1 takes.
const UNIT_COST: u64 = 1 << 20;

/// The capacity of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// The largest number of requests.
    pub count: usize,
    /// The largest total size of the request bodies.
    pub size: Bytes,
}

/// A request that waits in the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest<K> {
    /// The key of the request.
    pub key: K,
    /// The client account.
    pub client: ClientId,
    /// The scheduling weight of the account.
    pub weight: u32,
    /// The urgency within the account; lower values are served first.
    pub urgency: u8,
    /// The size of the body.
    pub size: Bytes,
    /// The time of arrival.
    pub arrived_at: Time,
    /// The latest time at which the request may leave the queue.
    pub deadline: Time,
}

/// The position of a request within its account: urgency, time of arrival, sequence number.
type FlowPosition = (u8, Time, u64);

/// The error of a full queue in which no other request may be evicted for the new one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueFull;

#[derive(Clone, Debug)]
struct Flow<K> {
    /// The virtual start time of the first waiting request.
    start_tag: u64,
    /// The virtual time that each request takes.
    cost: u64,
    items: BTreeMap<FlowPosition, QueuedRequest<K>>,
}

/// A queue with start-time fair queueing over client accounts.
#[derive(Clone, Debug)]
pub struct FairQueue<K> {
    limits: QueueLimits,
    flows: BTreeMap<ClientId, Flow<K>>,
    positions: BTreeMap<K, (ClientId, FlowPosition)>,
    size: Bytes,
    virtual_time: u64,
    count: u64,
}

impl<K: Copy + Ord> FairQueue<K> {
    /// Returns an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        let (flows, positions) = Default::default();
        Self { limits, flows, positions, size: Bytes(0), virtual_time: 0, count: 0 }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of requests that would be served before a new one.
    pub fn count_ahead(&self, client: &ClientId, weight: u32, urgency: u8) -> usize {
        let flow = self.flows.get(client);
        let own =
            flow.map_or(0, |flow| flow.items.range(..=(urgency, Time(u64::MAX), u64::MAX)).count());
        let start = flow.map_or(self.virtual_time, |flow| flow.start_tag.max(self.virtual_time));
        let tag = start + own as u64 * cost(weight);
        let others = self.flows.iter().filter(|(name, _)| *name != client);
        own + others.map(|(_, flow)| flow.count_before(tag)).sum::<usize>()
    }

    /// Adds a request; a full queue evicts the last request of the account whose last request would
    /// be served latest, and returns its key.
    pub fn push(&mut self, item: QueuedRequest<K>) -> Result<Option<K>, QueueFull> {
        let fits = self.len() < self.limits.count
            && self.size.0.saturating_add(item.size.0) <= self.limits.size.0;
        let evicted = if fits { None } else { Some(self.evict_for(&item)?) };
        self.count += 1;
        self.size.0 += item.size.0;
        let position = (item.urgency, item.arrived_at, self.count);
        self.positions.insert(item.key, (item.client.clone(), position));
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(item.client.clone()).or_insert_with(|| Flow {
            start_tag: virtual_time,
            cost: cost(item.weight),
            items: BTreeMap::new(),
        });
        if flow.items.is_empty() {
            flow.start_tag = flow.start_tag.max(virtual_time);
        }
        flow.items.insert(position, item);
        Ok(evicted)
    }

    /// Returns the request that will be served next.
    pub fn peek(&self) -> Option<K> {
        let flow = self.flows.values().filter(|flow| !flow.items.is_empty());
        let flow = flow.min_by_key(|flow| flow.start_tag)?;
        flow.items.values().next().map(|item| item.key)
    }

    /// Removes the request that `peek` returns and charges its account for it.
    pub fn pop(&mut self) -> Option<K> {
        let key = self.peek()?;
        let (client, _) = self.positions.get(&key)?.clone();
        if let Some(flow) = self.flows.get_mut(&client) {
            self.virtual_time = flow.start_tag;
            flow.start_tag += flow.cost;
        }
        self.remove(key);
        Some(key)
    }

    /// Removes a request without charging its account.
    pub fn remove(&mut self, key: K) -> Option<QueuedRequest<K>> {
        let (client, position) = self.positions.remove(&key)?;
        let flow = self.flows.get_mut(&client)?;
        let item = flow.items.remove(&position)?;
        if flow.items.is_empty() && flow.start_tag <= self.virtual_time {
            self.flows.remove(&client);
        }
        self.size.0 -= item.size.0;
        if self.is_empty() {
            self.flows.clear();
        }
        Some(item)
    }

    /// Returns the requests that will miss their deadlines, where `service_time` maps the number of
    /// requests ahead to the expected time of service.
    pub fn overdue(&self, service_time: impl Fn(usize) -> Time) -> Vec<K> {
        let mut order: Vec<(u64, &QueuedRequest<K>)> =
            self.flows.values().flat_map(Flow::with_tags).collect();
        order.sort_by_key(|(tag, _)| *tag);
        let mut ahead = 0;
        let mut overdue = vec![];
        for (_, item) in order {
            if service_time(ahead) > item.deadline {
                overdue.push(item.key);
            } else {
                ahead += 1;
            }
        }
        overdue
    }

    /// Evicts the last request of the account whose last request would be served latest.
    fn evict_for(&mut self, item: &QueuedRequest<K>) -> Result<K, QueueFull> {
        let last = |flow: &Flow<K>| flow.start_tag + flow.items.len() as u64 * flow.cost;
        let latest = self.flows.iter().max_by_key(|(_, flow)| last(flow)).ok_or(QueueFull)?;
        let own = self.flows.get(&item.client);
        let tag = own.map_or(self.virtual_time + cost(item.weight), |flow| last(flow) + flow.cost);
        if tag >= last(latest.1) {
            return Err(QueueFull);
        }
        let last_item = latest.1.items.iter().max_by_key(|(position, _)| **position);
        let key = last_item.map(|(_, item)| item.key).ok_or(QueueFull)?;
        let freed = self.remove(key).map_or(0, |item| item.size.0);
        let fits = self.size.0.saturating_add(item.size.0) <= self.limits.size.0;
        if fits || freed >= item.size.0 { Ok(key) } else { Err(QueueFull) }
    }
}

impl<K> Flow<K> {
    fn count_before(&self, tag: u64) -> usize {
        let count = tag.checked_sub(self.start_tag).map_or(0, |ahead| ahead / self.cost + 1);
        self.items.len().min(count as usize)
    }

    fn with_tags(&self) -> impl Iterator<Item = (u64, &QueuedRequest<K>)> {
        self.items
            .values()
            .zip(0..)
            .map(|(item, n): (_, u64)| (self.start_tag + n * self.cost, item))
    }
}

fn cost(weight: u32) -> u64 {
    UNIT_COST / u64::from(weight.max(1))
}

/// The shortest retry delay given to a refused caller.
const MIN_RETRY_DELAY: Span = Span::secs(1);
/// The longest retry delay given to a refused caller.
const MAX_RETRY_DELAY: Span = Span::secs(120);
/// The width of a time slot in which retries are counted; 1 s is the resolution of `Retry-After`.
const SLOT_WIDTH: Span = Span::secs(1);
/// The minimum share of a slot, as a divisor, that one account may reserve while others reserve
/// too; a higher share by weight prevails.
const MIN_SHARE_DIVISOR: u64 = 2;

/// Spreads the retries of refused callers over time, so that they match the service rate.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    slots: BTreeMap<u64, BTreeMap<ClientId, u64>>,
    weights: BTreeMap<ClientId, u64>,
}

impl RetrySchedule {
    /// Reserves a slot for a retry and returns the delay, assuming that one request is served per
    /// `gap` from `free` on.
    pub fn reserve(
        &mut self,
        now: Time,
        (client, weight): (&ClientId, u32),
        free: Time,
        gap: Span,
    ) -> Span {
        let current_slot = now.0 / SLOT_WIDTH.0;
        self.slots = self.slots.split_off(&current_slot);
        if self.slots.is_empty() {
            self.weights.clear();
        }
        self.weights.insert(client.clone(), u64::from(weight.max(1)));
        let slot_capacity = (SLOT_WIDTH.0 / gap.0.max(1)).max(1);
        let total_weight: u64 = self.weights.values().sum();
        let others = self.weights.len() > 1;
        let share = (slot_capacity * u64::from(weight.max(1)) / total_weight)
            .max(slot_capacity / MIN_SHARE_DIVISOR)
            .max(1);
        let own_limit = if others { share } else { slot_capacity };
        let first = free.max(now + MIN_RETRY_DELAY).0 / SLOT_WIDTH.0;
        let last = (now + MAX_RETRY_DELAY).0 / SLOT_WIDTH.0;
        let fits = |slot: &u64| {
            let reserved = self.slots.get(slot);
            let own_reserved =
                reserved.and_then(|reserved| reserved.get(client)).copied().unwrap_or(0);
            reserved.map_or(0, |reserved| reserved.values().sum()) < slot_capacity
                && own_reserved < own_limit
        };
        let slot = (first..last).find(fits).unwrap_or(last);
        let reserved = self.slots.entry(slot).or_default();
        let position = reserved.values().sum::<u64>().min(slot_capacity);
        *reserved.entry(client.clone()).or_default() += 1;
        Time(slot * SLOT_WIDTH.0 + position * gap.0).max(now + MIN_RETRY_DELAY) - now
    }
}
