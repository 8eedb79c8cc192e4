//! What an endpoint remembers of the keys and tickets that it ran.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{CallKey, KEY_LIFE, KeyedCall, OnceTicket, owners};
use crate::{
    ids::{ClientId, VmId},
    suspect::Fingerprint,
    time::{Time, Timers},
};

/// Keys and tickets that are remembered at the same time.
const MAX_RECORDS: usize = 20_000;
/// Bytes of answers that are kept for repeats.
const MAX_BYTES: usize = 8_000_000;
/// Bytes of answers that are handed over to another owner.
const MAX_HANDED: usize = 1_000_000;
/// Bytes of the longest answer that is kept for repeats.
pub const MAX_ANSWER: usize = 64_000;

/// An answer that is kept for repeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content: String,
    /// The body, `None` where it was not kept.
    pub body: Option<Bytes>,
}

/// What is known of a key or ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunState {
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
pub enum RunEnd {
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
    pub state: RunState,
    /// The fingerprint of what was asked with it, `None` for a ticket that was not presented.
    pub print: Option<Fingerprint>,
}

type Name = (ClientId, CallKey);

#[derive(Clone, Debug)]
struct Kept {
    state: RunState,
    print: Option<Fingerprint>,
    until: Time,
}

/// The keys and tickets that an endpoint remembers.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    kept: BTreeMap<Name, Kept>,
    expiry: Timers<Name>,
    bytes: usize,
    last: u64,
}

impl Memory {
    /// Returns whether no further key can be remembered.
    pub fn is_full(&self) -> bool {
        self.kept.len() >= MAX_RECORDS
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Returns the number of keys and tickets.
    pub fn len(&self) -> usize {
        self.kept.len()
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
        self.last += 1;
        let ticket = ticket(self.last);
        self.keep(now, (client.clone(), CallKey::Ticket(ticket.clone())), RunState::Issued, None);
        Some(ticket)
    }

    /// Returns what is known of a key.
    pub fn find(&self, call: KeyedCall<'_>) -> Option<&RunState> {
        self.kept.get(&name(call)).map(|kept| &kept.state)
    }

    /// Returns whether a key was used for another request before.
    pub fn is_reused(&self, call: KeyedCall<'_>) -> bool {
        let kept = self.kept.get(&name(call));
        kept.and_then(|kept| kept.print).is_some_and(|print| print != call.print)
    }

    /// Takes note that a call is handed over.
    pub fn begin(&mut self, now: Time, call: KeyedCall<'_>) {
        self.keep(now, name(call), RunState::Running, Some(call.print));
    }

    /// Takes note of how a call ended.
    pub fn end(&mut self, now: Time, call: KeyedCall<'_>, end: RunEnd) {
        let name = name(call);
        if self.kept.get(&name).is_none_or(|kept| kept.state != RunState::Running) {
            return;
        }
        let state = match end {
            RunEnd::Answered(answer) => RunState::Ended(self.trim(answer)),
            RunEnd::Unknown => RunState::Unknown,
            RunEnd::NotRun if matches!(call.key, CallKey::Ticket(_)) => RunState::Issued,
            RunEnd::NotRun => {
                self.kept.remove(&name);
                return;
            }
        };
        self.keep(now, name, state, Some(call.print));
    }

    /// Takes a record of another endpoint; what is known here goes before it.
    pub fn import(&mut self, now: Time, record: Record) {
        let name = (record.client, record.key);
        let state = match record.state {
            RunState::Running | RunState::Issued => RunState::Unknown,
            RunState::Ended(answer) => RunState::Ended(self.trim(answer)),
            RunState::Unknown => RunState::Unknown,
        };
        let known = self.kept.get(&name).map(|kept| &kept.state);
        if known.is_none_or(|known| *known == RunState::Unknown) {
            self.keep(now, name, state, record.print);
        }
    }

    /// Returns the chosen keys that `owner` owns among `members`.
    pub fn owned_by(&self, owner: &VmId, members: &[VmId]) -> Vec<Record> {
        let owned = |key: &CallKey| match key {
            CallKey::Chosen(key) => owners::owner(members, key) == Some(owner),
            CallKey::Ticket(_) => false,
        };
        let mut left = MAX_HANDED;
        let records = self.kept.iter().filter(|((_, key), _)| owned(key));
        let record = |((client, key), kept): (&Name, &Kept)| {
            let (mut state, print) = (kept.state.clone(), kept.print);
            let fits = left.checked_sub(size(&state));
            if let (RunState::Ended(answer), None) = (&mut state, fits) {
                answer.body = None;
            }
            left = fits.unwrap_or(left);
            Record { client: client.clone(), key: key.clone(), state, print }
        };
        records.map(record).collect()
    }

    /// Forgets what may no longer be repeated; a call in progress is never forgotten.
    pub fn expire(&mut self, now: Time) {
        while let Some(name) = self.expiry.pop_due(now) {
            let Some(kept) = self.kept.get(&name) else { continue };
            if kept.state == RunState::Running {
                self.expiry.schedule(now + KEY_LIFE, name);
            } else if kept.until <= now {
                self.bytes -= size(&kept.state);
                self.kept.remove(&name);
            }
        }
    }

    fn keep(&mut self, now: Time, name: Name, state: RunState, print: Option<Fingerprint>) {
        let until = now + KEY_LIFE;
        self.bytes += size(&state);
        self.expiry.schedule(until, name.clone());
        if let Some(earlier) = self.kept.insert(name, Kept { state, print, until }) {
            self.bytes -= size(&earlier.state);
        }
    }

    /// Drops the body of an answer that is too long to be kept.
    fn trim(&self, mut answer: Answer) -> Answer {
        let length = answer.body.as_ref().map_or(0, Bytes::len);
        if length > MAX_ANSWER || self.bytes + length > MAX_BYTES {
            answer.body = None;
        }
        answer
    }
}

fn name(call: KeyedCall<'_>) -> Name {
    (call.client.clone(), call.key.clone())
}

fn size(state: &RunState) -> usize {
    match state {
        RunState::Ended(answer) => answer.body.as_ref().map_or(0, Bytes::len),
        _ => 0,
    }
}
