//! A bounded queue that is fair between client accounts by their weights.

use std::collections::BTreeMap;

use crate::{
    ids::ClientId,
    time::Time,
    units::{Bytes, Span},
};

/// Virtual time that an account of weight 1 pays for a request.
const COST: u64 = 1 << 20;

/// What a queue may hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// The requests.
    pub count: usize,
    /// Their bodies together.
    pub size: Bytes,
}

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item<K> {
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
    pub at: Time,
    /// The time by which it must leave the queue.
    pub until: Time,
}

/// The place of a request within its account: urgency, time of arrival, number.
type Place = (u8, Time, u64);

/// The queue has no room for a request, not even in place of another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full;

#[derive(Clone, Debug)]
struct Flow<K> {
    start: u64,
    cost: u64,
    items: BTreeMap<Place, Item<K>>,
}

/// Start-time fair queueing over client accounts.
#[derive(Clone, Debug)]
pub struct FairQueue<K> {
    bounds: Bounds,
    flows: BTreeMap<ClientId, Flow<K>>,
    places: BTreeMap<K, (ClientId, Place)>,
    size: Bytes,
    clock: u64,
    count: u64,
}

impl<K: Copy + Ord> FairQueue<K> {
    /// Returns an empty queue.
    pub fn new(bounds: Bounds) -> Self {
        let (flows, places) = Default::default();
        Self { bounds, flows, places, size: Bytes(0), clock: 0, count: 0 }
    }

    /// Returns the requests that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the requests that would be served before a new one.
    pub fn ahead(&self, client: &ClientId, weight: u32, urgency: u8) -> usize {
        let flow = self.flows.get(client);
        let own =
            flow.map_or(0, |flow| flow.items.range(..=(urgency, Time(u64::MAX), u64::MAX)).count());
        let start = flow.map_or(self.clock, |flow| flow.start.max(self.clock));
        let tag = start + own as u64 * cost(weight);
        let others = self.flows.iter().filter(|(name, _)| *name != client);
        own + others.map(|(_, flow)| flow.before(tag)).sum::<usize>()
    }

    /// Adds a request; where the queue is full, the account that holds most by weight gives way.
    pub fn push(&mut self, item: Item<K>) -> Result<Option<K>, Full> {
        let fits = self.len() < self.bounds.count
            && self.size.0.saturating_add(item.size.0) <= self.bounds.size.0;
        let evicted = if fits { None } else { Some(self.evict_for(&item)?) };
        self.count += 1;
        self.size.0 += item.size.0;
        let place = (item.urgency, item.at, self.count);
        self.places.insert(item.key, (item.client.clone(), place));
        let clock = self.clock;
        let flow = self.flows.entry(item.client.clone()).or_insert_with(|| Flow {
            start: clock,
            cost: cost(item.weight),
            items: BTreeMap::new(),
        });
        if flow.items.is_empty() {
            flow.start = flow.start.max(clock);
        }
        flow.items.insert(place, item);
        Ok(evicted)
    }

    /// Returns the request that is served next.
    pub fn first(&self) -> Option<K> {
        let flow = self.flows.values().filter(|flow| !flow.items.is_empty());
        let flow = flow.min_by_key(|flow| flow.start)?;
        flow.items.values().next().map(|item| item.key)
    }

    /// Takes the request that `first` returns as served.
    pub fn pop(&mut self) -> Option<K> {
        let key = self.first()?;
        let (client, _) = self.places.get(&key)?.clone();
        if let Some(flow) = self.flows.get_mut(&client) {
            self.clock = flow.start;
            flow.start += flow.cost;
        }
        self.remove(key);
        Some(key)
    }

    /// Removes a request that is not served.
    pub fn remove(&mut self, key: K) -> Option<Item<K>> {
        let (client, place) = self.places.remove(&key)?;
        let flow = self.flows.get_mut(&client)?;
        let item = flow.items.remove(&place)?;
        if flow.items.is_empty() && flow.start <= self.clock {
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
        let mut order: Vec<(u64, &Item<K>)> = self.flows.values().flat_map(Flow::tagged).collect();
        order.sort_by_key(|(tag, _)| *tag);
        let mut ahead = 0;
        let mut overdue = vec![];
        for (_, item) in order {
            if served(ahead) > item.until {
                overdue.push(item.key);
            } else {
                ahead += 1;
            }
        }
        overdue
    }

    /// Removes the last request of the account whose last one would be served latest.
    fn evict_for(&mut self, item: &Item<K>) -> Result<K, Full> {
        let last = |flow: &Flow<K>| flow.start + flow.items.len() as u64 * flow.cost;
        let latest = self.flows.iter().max_by_key(|(_, flow)| last(flow)).ok_or(Full)?;
        let own = self.flows.get(&item.client);
        let tag = own.map_or(self.clock + cost(item.weight), |flow| last(flow) + flow.cost);
        if tag >= last(latest.1) {
            return Err(Full);
        }
        let worst = latest.1.items.iter().max_by_key(|(place, _)| **place);
        let key = worst.map(|(_, item)| item.key).ok_or(Full)?;
        let freed = self.remove(key).map_or(0, |item| item.size.0);
        let fits = self.size.0.saturating_add(item.size.0) <= self.bounds.size.0;
        if fits || freed >= item.size.0 { Ok(key) } else { Err(Full) }
    }
}

impl<K> Flow<K> {
    fn before(&self, tag: u64) -> usize {
        let most = tag.checked_sub(self.start).map_or(0, |room| room / self.cost + 1);
        self.items.len().min(most as usize)
    }

    fn tagged(&self) -> impl Iterator<Item = (u64, &Item<K>)> {
        self.items.values().zip(0..).map(|(item, n): (_, u64)| (self.start + n * self.cost, item))
    }
}

fn cost(weight: u32) -> u64 {
    COST / u64::from(weight.max(1))
}

/// Shortest time after which a refused caller is asked back.
const SOONEST: Span = Span::secs(1);
/// Longest time after which a refused caller is asked back.
const LATEST: Span = Span::secs(120);
/// The width of a slice of time in which returns are counted, the unit of `Retry-After`.
const SLICE: Span = Span::secs(1);
/// The part of a slice that one account may book where others book too, by weight or at least this.
const PART: u64 = 2;

/// Spreads the times at which refused callers come back, so that they fit what is served.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    slices: BTreeMap<u64, BTreeMap<ClientId, u64>>,
    weights: BTreeMap<ClientId, u64>,
}

impl Returns {
    /// Returns when a caller may come back, where one request is served each `gap` from `free` on.
    pub fn book(
        &mut self,
        now: Time,
        (client, weight): (&ClientId, u32),
        free: Time,
        gap: Span,
    ) -> Span {
        let present = now.0 / SLICE.0;
        self.slices = self.slices.split_off(&present);
        if self.slices.is_empty() {
            self.weights.clear();
        }
        self.weights.insert(client.clone(), u64::from(weight.max(1)));
        let room = (SLICE.0 / gap.0.max(1)).max(1);
        let all: u64 = self.weights.values().sum();
        let others = self.weights.len() > 1;
        let share = (room * u64::from(weight.max(1)) / all).max(room / PART).max(1);
        let own = if others { share } else { room };
        let first = free.max(now + SOONEST).0 / SLICE.0;
        let last = (now + LATEST).0 / SLICE.0;
        let fits = |slice: &u64| {
            let booked = self.slices.get(slice);
            let taken = booked.and_then(|booked| booked.get(client)).copied().unwrap_or(0);
            booked.map_or(0, |booked| booked.values().sum()) < room && taken < own
        };
        let slice = (first..last).find(fits).unwrap_or(last);
        let booked = self.slices.entry(slice).or_default();
        let place = booked.values().sum::<u64>().min(room);
        *booked.entry(client.clone()).or_default() += 1;
        Time(slice * SLICE.0 + place * gap.0).max(now + SOONEST) - now
    }
}
