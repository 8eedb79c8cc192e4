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
    pub queued_at: Time,
    /// When it is turned away.
    pub expires_at: Time,
    /// Whether it can no longer be on time.
    pub late: bool,
}

/// The waiting requests of one service.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    entries: SlotMap<TicketKey, (QueueEntry, T)>,
    in_progress: BTreeMap<Option<ClientId>, u32>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { entries: SlotMap::with_key(), in_progress: BTreeMap::new() }
    }
}

impl<T> WaitQueue<T> {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many waiting requests go before one of this rank that arrives now.
    pub fn count_ahead(&self, priority: u8, late: bool) -> usize {
        let before =
            |(waiting, _): &&(QueueEntry, T)| (waiting.late, waiting.priority) <= (late, priority);
        self.entries.values().filter(before).count()
    }

    /// Lets a request wait.
    pub fn push(&mut self, waiting: QueueEntry, item: T) -> TicketKey {
        self.entries.insert((waiting, item))
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: TicketKey) -> Option<T> {
        self.entries.remove(ticket).map(|(_, item)| item)
    }

    /// Returns the waiting requests in the order in which they get a place.
    pub fn dispatch_order(&self) -> Vec<TicketKey> {
        let rank = |ticket: &TicketKey| {
            let (waiting, _) = &self.entries[*ticket];
            let served = self.in_progress.get(&waiting.account).copied().unwrap_or(0);
            (waiting.late, waiting.priority, served, waiting.queued_at)
        };
        let mut tickets: Vec<TicketKey> = self.entries.keys().collect();
        tickets.sort_by_key(rank);
        tickets
    }

    /// Returns a waiting request.
    pub fn get(&self, ticket: TicketKey) -> Option<&T> {
        self.entries.get(ticket).map(|(_, item)| item)
    }

    /// Takes note that a request of an account got a place.
    pub fn record_start(&mut self, account: &Option<ClientId>) {
        *self.in_progress.entry(account.clone()).or_default() += 1;
    }

    /// Takes note that a request of an account gave its place back.
    pub fn record_end(&mut self, account: &Option<ClientId>) {
        if let Some(served) = self.in_progress.get_mut(account) {
            *served = served.saturating_sub(1);
            if *served == 0 {
                self.in_progress.remove(account);
            }
        }
    }

    /// Removes the requests whose time to wait is over.
    pub fn expire(&mut self, now: Time) -> Vec<(TicketKey, T)> {
        let over = |(_, (waiting, _)): &(TicketKey, &(QueueEntry, T))| waiting.expires_at <= now;
        let tickets: Vec<TicketKey> =
            self.entries.iter().filter(over).map(|(ticket, _)| ticket).collect();
        tickets.into_iter().filter_map(|ticket| Some((ticket, self.remove(ticket)?))).collect()
    }

    /// Returns when the next request is turned away.
    pub fn next_expiry(&self) -> Option<Time> {
        self.entries.values().map(|(waiting, _)| waiting.expires_at).min()
    }
}
