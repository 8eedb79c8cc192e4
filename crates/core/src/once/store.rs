//! What an endpoint remembers of the keys and tickets that it ran.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{CallKey, KEY_LIFETIME, KeyedCall, OnceTicket, ownership};
use crate::{
    ids::{ClientId, VmId},
    suspect::Print,
    time::{Time, Timers},
};

/// Keys and tickets that are remembered at the same time.
const MAX_RECORDS: usize = 20_000;
/// Bytes of answers that are stored for repeats.
const MAX_STORED_BYTES: usize = 8_000_000;
/// Bytes of answers that are handed over to another owner.
const MAX_HANDOVER_BYTES: usize = 1_000_000;
/// Bytes of the longest answer that is stored for repeats.
pub const MAX_ANSWER_BYTES: usize = 64_000;

/// An answer that is stored for repeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content: String,
    /// The body, `None` where it was not stored.
    pub body: Option<Bytes>,
}

/// What is known of a key or ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallState {
    /// The ticket was issued and not yet presented.
    Issued,
    /// The call is in progress.
    Running,
    /// The call ran to its end.
    Ended(Answer),
    /// The call was handed over and its outcome is not known.
    Unknown,
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The service answered.
    Answered(Answer),
    /// The call surely did not reach the service.
    NotRun,
    /// Whether the call ran is not known.
    Unknown,
}

/// A key and what is known of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The client account.
    pub client: ClientId,
    /// The key.
    pub key: CallKey,
    /// What is known of it.
    pub state: CallState,
    /// The fingerprint of what was asked with it, `None` for a ticket that was not presented.
    pub print: Option<Print>,
}

type StoreKey = (ClientId, CallKey);

#[derive(Clone, Debug)]
struct StoredCall {
    state: CallState,
    print: Option<Print>,
    until: Time,
}

/// The keys and tickets that an endpoint remembers.
#[derive(Clone, Debug, Default)]
pub struct CallStore {
    records: BTreeMap<StoreKey, StoredCall>,
    expiry: Timers<StoreKey>,
    bytes: usize,
    last_ticket: u64,
}

impl CallStore {
    /// Returns whether no further key can be remembered.
    pub fn is_full(&self) -> bool {
        self.records.len() >= MAX_RECORDS
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of keys and tickets.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Remembers a new ticket, or returns `None` where the memory is full.
    pub fn issue(
        &mut self,
        now: Time,
        client: &ClientId,
        ticket: impl Fn(u64) -> OnceTicket,
    ) -> Option<OnceTicket> {
        self.expire(now);
        if self.is_full() {
            return None;
        }
        self.last_ticket += 1;
        let ticket = ticket(self.last_ticket);
        self.insert(
            now,
            (client.clone(), CallKey::Ticket(ticket.clone())),
            CallState::Issued,
            None,
        );
        Some(ticket)
    }

    /// Returns what is known of a key.
    pub fn find(&self, call: KeyedCall<'_>) -> Option<&CallState> {
        self.records.get(&store_key(call)).map(|stored| &stored.state)
    }

    /// Returns whether a key was used for another request before.
    pub fn is_reused(&self, call: KeyedCall<'_>) -> bool {
        let stored = self.records.get(&store_key(call));
        stored.and_then(|stored| stored.print).is_some_and(|print| print != call.fingerprint)
    }

    /// Takes note that a call is handed over.
    pub fn begin(&mut self, now: Time, call: KeyedCall<'_>) {
        self.insert(now, store_key(call), CallState::Running, Some(call.fingerprint));
    }

    /// Takes note of how a call ended.
    pub fn end(&mut self, now: Time, call: KeyedCall<'_>, end: CallOutcome) {
        let key = store_key(call);
        if self.records.get(&key).is_none_or(|stored| stored.state != CallState::Running) {
            return;
        }
        let state = match end {
            CallOutcome::Answered(answer) => CallState::Ended(self.limit_body(answer)),
            CallOutcome::Unknown => CallState::Unknown,
            CallOutcome::NotRun if matches!(call.key, CallKey::Ticket(_)) => CallState::Issued,
            CallOutcome::NotRun => {
                self.records.remove(&key);
                return;
            }
        };
        self.insert(now, key, state, Some(call.fingerprint));
    }

    /// Takes a record of another endpoint; what is known here goes before it.
    pub fn import(&mut self, now: Time, record: Record) {
        let key = (record.client, record.key);
        let state = match record.state {
            CallState::Running | CallState::Issued => CallState::Unknown,
            CallState::Ended(answer) => CallState::Ended(self.limit_body(answer)),
            CallState::Unknown => CallState::Unknown,
        };
        let known = self.records.get(&key).map(|stored| &stored.state);
        if known.is_none_or(|known| *known == CallState::Unknown) {
            self.insert(now, key, state, record.print);
        }
    }

    /// Returns the chosen keys that `owner` owns among `members`.
    pub fn owned_by(&self, owner: &VmId, members: &[VmId]) -> Vec<Record> {
        let owned = |key: &CallKey| match key {
            CallKey::Chosen(key) => ownership::key_owner(members, key) == Some(owner),
            CallKey::Ticket(_) => false,
        };
        let mut remaining = MAX_HANDOVER_BYTES;
        let records = self.records.iter().filter(|((_, key), _)| owned(key));
        let record = |((client, key), stored): (&StoreKey, &StoredCall)| {
            let (mut state, print) = (stored.state.clone(), stored.print);
            let fits = remaining.checked_sub(body_size(&state));
            if let (CallState::Ended(answer), None) = (&mut state, fits) {
                answer.body = None;
            }
            remaining = fits.unwrap_or(remaining);
            Record { client: client.clone(), key: key.clone(), state, print }
        };
        records.map(record).collect()
    }

    /// Forgets what may no longer be repeated; a call in progress is never forgotten.
    pub fn expire(&mut self, now: Time) {
        while let Some(key) = self.expiry.pop(now) {
            let Some(stored) = self.records.get(&key) else { continue };
            if stored.state == CallState::Running {
                self.expiry.at(now + KEY_LIFETIME, key);
            } else if stored.until <= now {
                self.bytes -= body_size(&stored.state);
                self.records.remove(&key);
            }
        }
    }

    fn insert(&mut self, now: Time, key: StoreKey, state: CallState, print: Option<Print>) {
        let until = now + KEY_LIFETIME;
        self.bytes += body_size(&state);
        self.expiry.at(until, key.clone());
        if let Some(earlier) = self.records.insert(key, StoredCall { state, print, until }) {
            self.bytes -= body_size(&earlier.state);
        }
    }

    /// Drops the body of an answer that is too long to be stored.
    fn limit_body(&self, mut answer: Answer) -> Answer {
        let length = answer.body.as_ref().map_or(0, Bytes::len);
        if length > MAX_ANSWER_BYTES || self.bytes + length > MAX_STORED_BYTES {
            answer.body = None;
        }
        answer
    }
}

fn store_key(call: KeyedCall<'_>) -> StoreKey {
    (call.client.clone(), call.key.clone())
}

fn body_size(state: &CallState) -> usize {
    match state {
        CallState::Ended(answer) => answer.body.as_ref().map_or(0, Bytes::len),
        _ => 0,
    }
}
