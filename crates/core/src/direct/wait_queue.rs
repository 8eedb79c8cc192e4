//! Requests that wait for a place at a service, in the order in which they get one.
//!
//! Load pattern: more requests arrive than the endpoints can process. Those that can still be on
//! time go first, the client account with the fewest places next, then the one that waits longest.

use std::collections::BTreeMap;

use slotmap::{SlotMap, new_key_type};

use crate::{ids::ClientId, time::Time};

new_key_type! {
    /// A waiting request.
    pub struct TicketKey;
}

/// What decides on the place of a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueEntry {
    /// The rank; 0 goes first.
    pub priority: u8,
    /// The client account.
    pub account: Option<ClientId>,
    /// When it arrived.
    pub since: Time,
    /// When it is turned away.
    pub until: Time,
    /// Whether it can no longer be on time.
    pub late: bool,
}

/// The waiting requests of one service.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    waiting: SlotMap<TicketKey, (QueueEntry, T)>,
    served: BTreeMap<Option<ClientId>, u32>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiting: SlotMap::with_key(), served: BTreeMap::new() }
    }
}

impl<T> WaitQueue<T> {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many waiting requests go before one of this rank that arrives now.
    pub fn ahead(&self, priority: u8, late: bool) -> usize {
        let before =
            |(waiting, _): &&(QueueEntry, T)| (waiting.late, waiting.priority) <= (late, priority);
        self.waiting.values().filter(before).count()
    }

    /// Lets a request wait.
    pub fn push(&mut self, waiting: QueueEntry, item: T) -> TicketKey {
        self.waiting.insert((waiting, item))
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: TicketKey) -> Option<T> {
        self.waiting.remove(ticket).map(|(_, item)| item)
    }

    /// Returns the waiting requests in the order in which they get a place.
    pub fn order(&self) -> Vec<TicketKey> {
        let rank = |ticket: &TicketKey| {
            let (waiting, _) = &self.waiting[*ticket];
            let served = self.served.get(&waiting.account).copied().unwrap_or(0);
            (waiting.late, waiting.priority, served, waiting.since)
        };
        let mut tickets: Vec<TicketKey> = self.waiting.keys().collect();
        tickets.sort_by_key(rank);
        tickets
    }

    /// Returns a waiting request.
    pub fn get(&self, ticket: TicketKey) -> Option<&T> {
        self.waiting.get(ticket).map(|(_, item)| item)
    }

    /// Takes note that a request of an account got a place.
    pub fn start(&mut self, account: &Option<ClientId>) {
        *self.served.entry(account.clone()).or_default() += 1;
    }

    /// Takes note that a request of an account gave its place back.
    pub fn end(&mut self, account: &Option<ClientId>) {
        if let Some(served) = self.served.get_mut(account) {
            *served = served.saturating_sub(1);
            if *served == 0 {
                self.served.remove(account);
            }
        }
    }

    /// Removes the requests whose time to wait is over.
    pub fn expire(&mut self, now: Time) -> Vec<(TicketKey, T)> {
        let over = |(_, (waiting, _)): &(TicketKey, &(QueueEntry, T))| waiting.until <= now;
        let tickets: Vec<TicketKey> =
            self.waiting.iter().filter(over).map(|(ticket, _)| ticket).collect();
        tickets.into_iter().filter_map(|ticket| Some((ticket, self.remove(ticket)?))).collect()
    }

    /// Returns when the next request is turned away.
    pub fn next(&self) -> Option<Time> {
        self.waiting.values().map(|(waiting, _)| waiting.until).min()
    }
}
