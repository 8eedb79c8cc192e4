//! Keys and tickets that identify calls for at-most-once execution.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ClientId, IdempotencyKey, Incarnation, InvalidId, VmId},
    suspect::Fingerprint,
    time::Time,
};

/// Separator between the parts of a ticket's text; a key never contains it.
const SEPARATOR: char = ':';

/// A ticket that one incarnation of an endpoint has issued and that only that incarnation accepts.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct OnceTicket {
    /// The endpoint VM.
    pub vm: VmId,
    /// The incarnation of the endpoint process.
    pub incarnation: Incarnation,
    /// The number of the ticket, unique within the incarnation.
    pub number: u64,
}

/// The identifier of a call that must run at most once.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum CallKey {
    /// An idempotency key that the caller chose.
    Chosen(IdempotencyKey),
    /// A ticket that an endpoint issued.
    Ticket(OnceTicket),
}

/// A call with its key, as the endpoint receives it.
#[derive(Clone, Copy, Debug)]
pub struct KeyedCall<'a> {
    /// The client account.
    pub client: &'a ClientId,
    /// The key.
    pub key: &'a CallKey,
    /// The fingerprint of the request, equal for all copies.
    pub fingerprint: Fingerprint,
}

impl fmt::Display for OnceTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{SEPARATOR}{}{SEPARATOR}{}", self.vm, self.incarnation, self.number)
    }
}

impl FromStr for OnceTicket {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let bad = || InvalidId { text: text.to_owned(), allowed: "a ticket such as vm-1:17:3" };
        let mut parts = text.split(SEPARATOR);
        let mut next = || parts.next().ok_or_else(bad);
        let vm = next()?.parse()?;
        let incarnation = next()?.parse()?;
        let number = next()?.parse().map_err(|_| bad())?;
        if parts.next().is_some() {
            return Err(bad());
        }
        Ok(Self { vm, incarnation, number })
    }
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Chosen(key) => write!(f, "{key}"),
            Self::Ticket(ticket) => write!(f, "{ticket}"),
        }
    }
}

impl FromStr for CallKey {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        if text.contains(SEPARATOR) {
            return text.parse().map(Self::Ticket);
        }
        text.parse().map(Self::Chosen)
    }
}

/// Returns the creation time of a key that is a UUID of version 7, `None` for any other key.
pub(super) fn creation_time(key: &IdempotencyKey, epoch: Time) -> Option<Time> {
    let parts: Vec<&str> = key.as_str().split('-').collect();
    let lengths: Vec<usize> = parts.iter().map(|part| part.len()).collect();
    if lengths != [8, 4, 4, 4, 12] || !parts[2].starts_with('7') {
        return None;
    }
    let millis = u64::from_str_radix(&[parts[0], parts[1]].concat(), 16).ok()?;
    Some(Time(millis.saturating_mul(1_000).saturating_sub(epoch.0)))
}
