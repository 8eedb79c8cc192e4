//! Queue of requests that wait for a slot at a service.
//!
//! Load pattern: more requests arrive than the endpoints can process. Requests that can still be on
//! time go first, then by priority, then the client account with the fewest requests in progress,
//! then the request that has waited longest.

use std::collections::BTreeMap;

use slotmap::{SlotMap, new_key_type};

use super::admission::Priority;
use crate::{ids::ClientId, time::Time};

new_key_type! {
    /// Identifies a queued request within its queue.
    pub struct TicketKey;
}

/// The properties of a queued request that determine its order and expiry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueEntry {
    /// The priority of its account and route.
    pub priority: Priority,
    /// The client account.
    pub account: Option<ClientId>,
    /// When it was queued.
    pub queued_at: Time,
    /// When it is refused.
    pub expires_at: Time,
    /// Whether its objective has already passed.
    pub late: bool,
}

/// The queued requests of one service and the number in progress by account.
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
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many queued requests go before a new one of this lateness and priority.
    pub fn count_ahead(&self, priority: Priority, late: bool) -> usize {
        let before =
            |(entry, _): &&(QueueEntry, T)| (entry.late, entry.priority) <= (late, priority);
        self.entries.values().filter(before).count()
    }

    /// Queues a request.
    pub fn push(&mut self, entry: QueueEntry, item: T) -> TicketKey {
        self.entries.insert((entry, item))
    }

    /// Removes a queued request, if it is still there.
    pub fn remove(&mut self, ticket: TicketKey) -> Option<T> {
        self.entries.remove(ticket).map(|(_, item)| item)
    }

    /// Returns the queued requests in the order of their dispatch.
    pub fn dispatch_order(&self) -> Vec<TicketKey> {
        let rank = |ticket: &TicketKey| {
            let (entry, _) = &self.entries[*ticket];
            let in_progress = self.in_progress.get(&entry.account).copied().unwrap_or(0);
            (entry.late, entry.priority, in_progress, entry.queued_at)
        };
        let mut tickets: Vec<TicketKey> = self.entries.keys().collect();
        tickets.sort_by_key(rank);
        tickets
    }

    /// Returns a queued request, if it is still there.
    pub fn get(&self, ticket: TicketKey) -> Option<&T> {
        self.entries.get(ticket).map(|(_, item)| item)
    }

    /// Returns when a queued request expires, if it is still there.
    pub fn expiry(&self, ticket: TicketKey) -> Option<Time> {
        self.entries.get(ticket).map(|(entry, _)| entry.expires_at)
    }

    /// Counts a request of an account as in progress.
    pub fn record_start(&mut self, account: &Option<ClientId>) {
        *self.in_progress.entry(account.clone()).or_default() += 1;
    }

    /// Counts a request of an account as ended.
    pub fn record_end(&mut self, account: &Option<ClientId>) {
        if let Some(in_progress) = self.in_progress.get_mut(account) {
            *in_progress = in_progress.saturating_sub(1);
            if *in_progress == 0 {
                self.in_progress.remove(account);
            }
        }
    }

    /// Removes and returns the requests that have expired.
    pub fn expire(&mut self, now: Time) -> Vec<(TicketKey, T)> {
        let over = |(_, (entry, _)): &(TicketKey, &(QueueEntry, T))| entry.expires_at <= now;
        let tickets: Vec<TicketKey> =
            self.entries.iter().filter(over).map(|(ticket, _)| ticket).collect();
        tickets.into_iter().filter_map(|ticket| Some((ticket, self.remove(ticket)?))).collect()
    }

    /// Returns when the next request expires, `None` where the queue is empty.
    pub fn next_expiry(&self) -> Option<Time> {
        self.entries.values().map(|(entry, _)| entry.expires_at).min()
    }
}
