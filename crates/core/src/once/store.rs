//! Records of the keys and tickets that an endpoint has run.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{CallKey, KEY_LIFETIME, KeyedCall, OnceTicket, ownership};
use crate::{
    ids::{ClientId, VmId},
    suspect::Fingerprint,
    time::{Time, Timers},
};

/// Maximum number of stored keys and tickets.
const MAX_RECORDS: usize = 20_000;
/// Maximum size of all stored answer bodies, in bytes.
const MAX_STORED_BYTES: usize = 8_000_000;
/// Maximum size of the answer bodies in one handover, in bytes; they must fit into one message.
const MAX_HANDOVER_BYTES: usize = 1_000_000;
/// Maximum size of a stored answer body, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64_000;

/// An answer that is stored for repeated calls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content: String,
    /// The body, `None` if it was not stored.
    pub body: Option<Bytes>,
}

/// The state of a key or ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallState {
    /// The ticket was issued and has not been used.
    Issued,
    /// The call is in progress.
    Running,
    /// The call ran to completion.
    Ended(Answer),
    /// The call was handed over and its outcome is unknown.
    Unknown,
}

/// The outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The service answered.
    Answered(Answer),
    /// The call certainly did not reach the service.
    NotRun,
    /// It is unknown whether the call ran.
    Unknown,
}

/// A key and its state, as endpoints hand it over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The client account.
    pub client: ClientId,
    /// The key.
    pub key: CallKey,
    /// The state of the key.
    pub state: CallState,
    /// The fingerprint of the request that used the key, `None` for an unused ticket.
    #[serde(rename = "print")]
    pub fingerprint: Option<Fingerprint>,
}

type StoreKey = (ClientId, CallKey);

#[derive(Clone, Debug)]
struct StoredCall {
    state: CallState,
    fingerprint: Option<Fingerprint>,
    until: Time,
}

/// The keys and tickets of an endpoint, each stored for `KEY_LIFETIME`.
#[derive(Clone, Debug, Default)]
pub struct CallStore {
    records: BTreeMap<StoreKey, StoredCall>,
    expiry: Timers<StoreKey>,
    bytes: usize,
    last_ticket: u64,
}

impl CallStore {
    /// Returns whether no further key can be stored.
    pub fn is_full(&self) -> bool {
        self.records.len() >= MAX_RECORDS
    }

    /// Returns whether no key or ticket is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of stored keys and tickets.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Stores a new ticket, or returns `None` if the store is full.
    pub fn issue_ticket(
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

    /// Returns the state of a call's key.
    pub fn find(&self, call: KeyedCall<'_>) -> Option<&CallState> {
        self.records.get(&store_key(call)).map(|stored| &stored.state)
    }

    /// Returns whether a key was used before for another request.
    pub fn is_reused(&self, call: KeyedCall<'_>) -> bool {
        let stored = self.records.get(&store_key(call));
        stored
            .and_then(|stored| stored.fingerprint)
            .is_some_and(|fingerprint| fingerprint != call.fingerprint)
    }

    /// Records that a call is handed over to the service.
    pub fn begin(&mut self, now: Time, call: KeyedCall<'_>) {
        self.insert(now, store_key(call), CallState::Running, Some(call.fingerprint));
    }

    /// Records the outcome of a running call.
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

    /// Stores a record of another endpoint, unless this endpoint knows more about the key.
    pub fn import(&mut self, now: Time, record: Record) {
        let key = (record.client, record.key);
        let state = match record.state {
            CallState::Running | CallState::Issued => CallState::Unknown,
            CallState::Ended(answer) => CallState::Ended(self.limit_body(answer)),
            CallState::Unknown => CallState::Unknown,
        };
        let known = self.records.get(&key).map(|stored| &stored.state);
        if known.is_none_or(|known| *known == CallState::Unknown) {
            self.insert(now, key, state, record.fingerprint);
        }
    }

    /// Returns the records of the keys chosen by callers that `owner` owns among `members`.
    pub fn owned_by(&self, owner: &VmId, members: &[VmId]) -> Vec<Record> {
        let owned = |key: &CallKey| match key {
            CallKey::Chosen(key) => ownership::key_owner(members, key) == Some(owner),
            CallKey::Ticket(_) => false,
        };
        let mut remaining = MAX_HANDOVER_BYTES;
        let records = self.records.iter().filter(|((_, key), _)| owned(key));
        let record = |((client, key), stored): (&StoreKey, &StoredCall)| {
            let (mut state, fingerprint) = (stored.state.clone(), stored.fingerprint);
            let fits = remaining.checked_sub(body_size(&state));
            if let (CallState::Ended(answer), None) = (&mut state, fits) {
                answer.body = None;
            }
            remaining = fits.unwrap_or(remaining);
            Record { client: client.clone(), key: key.clone(), state, fingerprint }
        };
        records.map(record).collect()
    }

    /// Drops the records of keys that may no longer be repeated; a running call is never dropped.
    pub fn expire(&mut self, now: Time) {
        while let Some(key) = self.expiry.pop_due(now) {
            let Some(stored) = self.records.get(&key) else { continue };
            if stored.state == CallState::Running {
                self.expiry.schedule(now + KEY_LIFETIME, key);
            } else if stored.until <= now {
                self.bytes -= body_size(&stored.state);
                self.records.remove(&key);
            }
        }
    }

    fn insert(
        &mut self,
        now: Time,
        key: StoreKey,
        state: CallState,
        fingerprint: Option<Fingerprint>,
    ) {
        let until = now + KEY_LIFETIME;
        self.bytes += body_size(&state);
        self.expiry.schedule(until, key.clone());
        if let Some(earlier) = self.records.insert(key, StoredCall { state, fingerprint, until }) {
            self.bytes -= body_size(&earlier.state);
        }
    }

    /// Drops the body of an answer that is too large to be stored.
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
