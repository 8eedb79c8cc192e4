//! A bounded queue that is fair between client accounts by their weights.

use std::collections::BTreeMap;

use crate::{
    ids::ClientId,
    time::Time,
    units::{Bytes, Span},
};

/// Virtual time that an account of weight 1 pays for a request.
const UNIT_COST: u64 = 1 << 20;

/// What a queue may hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// The requests.
    pub count: usize,
    /// Their bodies together.
    pub size: Bytes,
}

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest<K> {
    /// The request.
    pub key: K,
    /// The client account.
    pub client: ClientId,
    /// The weight of the account.
    pub weight: u32,
    /// The urgency within the account, lowest first.
    pub urgency: u8,
    /// The size of the body.
    pub size: Bytes,
    /// When it arrived.
    pub arrived_at: Time,
    /// The time by which it must leave the queue.
    pub deadline: Time,
}

/// The place of a request within its account: urgency, time of arrival, number.
type FlowPosition = (u8, Time, u64);

/// The queue has no room for a request, not even in place of another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueFull;

#[derive(Clone, Debug)]
struct Flow<K> {
    start_tag: u64,
    cost: u64,
    items: BTreeMap<FlowPosition, QueuedRequest<K>>,
}

/// Start-time fair queueing over client accounts.
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

    /// Returns the requests that wait.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the requests that would be served before a new one.
    pub fn count_ahead(&self, client: &ClientId, weight: u32, urgency: u8) -> usize {
        let flow = self.flows.get(client);
        let own =
            flow.map_or(0, |flow| flow.items.range(..=(urgency, Time(u64::MAX), u64::MAX)).count());
        let start = flow.map_or(self.virtual_time, |flow| flow.start_tag.max(self.virtual_time));
        let tag = start + own as u64 * cost(weight);
        let others = self.flows.iter().filter(|(name, _)| *name != client);
        own + others.map(|(_, flow)| flow.count_before(tag)).sum::<usize>()
    }

    /// Adds a request; where the queue is full, the account that holds most by weight gives way.
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

    /// Returns the request that is served next.
    pub fn peek(&self) -> Option<K> {
        let flow = self.flows.values().filter(|flow| !flow.items.is_empty());
        let flow = flow.min_by_key(|flow| flow.start_tag)?;
        flow.items.values().next().map(|item| item.key)
    }

    /// Takes the request that `first` returns as served.
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

    /// Removes a request that is not served.
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

    /// Returns the requests that will not be served in time, where one with so many ahead is at a time.
    pub fn overdue(&self, served: impl Fn(usize) -> Time) -> Vec<K> {
        let mut order: Vec<(u64, &QueuedRequest<K>)> =
            self.flows.values().flat_map(Flow::with_tags).collect();
        order.sort_by_key(|(tag, _)| *tag);
        let mut ahead = 0;
        let mut overdue = vec![];
        for (_, item) in order {
            if served(ahead) > item.deadline {
                overdue.push(item.key);
            } else {
                ahead += 1;
            }
        }
        overdue
    }

    /// Removes the last request of the account whose last one would be served latest.
    fn evict_for(&mut self, item: &QueuedRequest<K>) -> Result<K, QueueFull> {
        let last = |flow: &Flow<K>| flow.start_tag + flow.items.len() as u64 * flow.cost;
        let latest = self.flows.iter().max_by_key(|(_, flow)| last(flow)).ok_or(QueueFull)?;
        let own = self.flows.get(&item.client);
        let tag = own.map_or(self.virtual_time + cost(item.weight), |flow| last(flow) + flow.cost);
        if tag >= last(latest.1) {
            return Err(QueueFull);
        }
        let worst = latest.1.items.iter().max_by_key(|(position, _)| **position);
        let key = worst.map(|(_, item)| item.key).ok_or(QueueFull)?;
        let freed = self.remove(key).map_or(0, |item| item.size.0);
        let fits = self.size.0.saturating_add(item.size.0) <= self.limits.size.0;
        if fits || freed >= item.size.0 { Ok(key) } else { Err(QueueFull) }
    }
}

impl<K> Flow<K> {
    fn count_before(&self, tag: u64) -> usize {
        let most = tag.checked_sub(self.start_tag).map_or(0, |room| room / self.cost + 1);
        self.items.len().min(most as usize)
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

/// Shortest time after which a refused caller is asked back.
const MIN_RETRY_DELAY: Span = Span::secs(1);
/// Longest time after which a refused caller is asked back.
const MAX_RETRY_DELAY: Span = Span::secs(120);
/// The width of a slice of time in which returns are counted, the unit of `Retry-After`.
const SLOT_WIDTH: Span = Span::secs(1);
/// The part of a slice that one account may book where others book too, by weight or at least this.
const MIN_SHARE_DIVISOR: u64 = 2;

/// Spreads the times at which refused callers come back, so that they fit what is served.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    slots: BTreeMap<u64, BTreeMap<ClientId, u64>>,
    weights: BTreeMap<ClientId, u64>,
}

impl RetrySchedule {
    /// Returns when a caller may come back, where one request is served each `gap` from `free` on.
    pub fn reserve(
        &mut self,
        now: Time,
        (client, weight): (&ClientId, u32),
        free: Time,
        gap: Span,
    ) -> Span {
        let present = now.0 / SLOT_WIDTH.0;
        self.slots = self.slots.split_off(&present);
        if self.slots.is_empty() {
            self.weights.clear();
        }
        self.weights.insert(client.clone(), u64::from(weight.max(1)));
        let room = (SLOT_WIDTH.0 / gap.0.max(1)).max(1);
        let all: u64 = self.weights.values().sum();
        let others = self.weights.len() > 1;
        let share = (room * u64::from(weight.max(1)) / all).max(room / MIN_SHARE_DIVISOR).max(1);
        let own = if others { share } else { room };
        let first = free.max(now + MIN_RETRY_DELAY).0 / SLOT_WIDTH.0;
        let last = (now + MAX_RETRY_DELAY).0 / SLOT_WIDTH.0;
        let fits = |slot: &u64| {
            let reserved = self.slots.get(slot);
            let taken = reserved.and_then(|reserved| reserved.get(client)).copied().unwrap_or(0);
            reserved.map_or(0, |reserved| reserved.values().sum()) < room && taken < own
        };
        let slot = (first..last).find(fits).unwrap_or(last);
        let reserved = self.slots.entry(slot).or_default();
        let position = reserved.values().sum::<u64>().min(room);
        *reserved.entry(client.clone()).or_default() += 1;
        Time(slot * SLOT_WIDTH.0 + position * gap.0).max(now + MIN_RETRY_DELAY) - now
    }
}
