//! Memory that callers' connections hold together, for loads in which many callers read long
//! answers slowly or upload at the same time.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::{
    time::Time,
    units::{Bytes, Share, Span},
};

/// Share of the VM's memory that callers' connections may hold.
const CALLER_SHARE: Share = Share(250);
/// Bytes that they may hold on any VM, so that the longest upload and answer find room.
const MIN_LIMIT: u64 = 32_000_000;
/// Share of that which uploads may fill; the rest is for answers and short uploads.
const UPLOAD_SHARE: Share = Share(750);
/// Length up to which an upload is short.
const SHORT_UPLOAD: Bytes = Bytes(65_536);
/// Time for which a caller may read an answer before an upload can take its place.
const READ_TIME: Span = Span::secs(1);
/// Time that an upload may take before another one can take its place.
const UPLOAD_TIME: Span = Span::secs(10);

/// Identifies a connection of a caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HolderId(u64);

/// What a connection does with the bytes that it holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The caller sends a request, which has not run.
    Uploading,
    /// The request may run at an endpoint.
    Running,
    /// The caller reads the answer.
    Answering,
}

/// Decision about bytes that a connection asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The connection holds the bytes, once these other connections are closed.
    Granted(Vec<HolderId>),
    /// The connection holds no more than before.
    Refused,
}

/// The bytes that callers' connections hold, and how many they may hold together.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit: u64,
    held: u64,
    next_id: u64,
    holders: BTreeMap<HolderId, Holder>,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    held: u64,
    phase: Phase,
    since: Time,
}

impl MemoryBudget {
    /// Returns the budget of a process on a VM with this memory.
    pub fn new(memory: Bytes) -> Self {
        let limit = MIN_LIMIT.max(CALLER_SHARE.of(memory.0 as usize) as u64);
        Self { limit, held: 0, next_id: 0, holders: BTreeMap::new() }
    }

    /// Returns the bytes that all connections hold.
    pub fn held(&self) -> Bytes {
        Bytes(self.held)
    }

    /// Adds a connection that holds nothing.
    pub fn open(&mut self, now: Time) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        self.holders.insert(id, Holder { held: 0, phase: Phase::Uploading, since: now });
        id
    }

    /// Removes a connection and what it holds.
    pub fn close(&mut self, id: HolderId) {
        let removed = self.holders.remove(&id);
        self.held -= removed.map_or(0, |holder| holder.held);
    }

    /// Sets what a connection does from now on.
    pub fn set_phase(&mut self, now: Time, id: HolderId, phase: Phase) {
        if let Some(holder) = self.holders.get_mut(&id) {
            (holder.phase, holder.since) = (phase, now);
        }
    }

    /// Decides whether a connection may hold `wanted` bytes in all; fewer than before are granted.
    pub fn resize(&mut self, now: Time, id: HolderId, wanted: Bytes) -> Decision {
        let Some(holder) = self.holders.get(&id).copied() else { return Decision::Refused };
        let is_long_upload = holder.phase == Phase::Uploading && wanted.0 > SHORT_UPLOAD.0;
        let limit = match is_long_upload {
            true => UPLOAD_SHARE.of(self.limit as usize) as u64,
            false => self.limit,
        };
        let total = self.held - holder.held + wanted.0;
        let mut excess = match wanted.0 > holder.held {
            true => total.saturating_sub(limit),
            false => 0,
        };
        let mut evicted = vec![];
        let mut candidates = match excess {
            0 => vec![],
            _ => self.candidates(now, id, holder.phase),
        }
        .into_iter();
        while excess > 0
            && let Some((victim, held)) = candidates.next()
        {
            excess = excess.saturating_sub(held);
            evicted.push(victim);
        }
        if excess > 0 {
            return Decision::Refused;
        }
        evicted.iter().for_each(|victim| self.close(*victim));
        self.held = self.held - holder.held + wanted.0;
        if let Some(holder) = self.holders.get_mut(&id) {
            if holder.held == 0 {
                holder.since = now;
            }
            holder.held = wanted.0;
        }
        Decision::Granted(evicted)
    }

    /// Returns the connections that may be closed for one in this phase and what each holds, first
    /// those that hold most for the longest time.
    fn candidates(&self, now: Time, own: HolderId, phase: Phase) -> Vec<(HolderId, u64)> {
        let rank = |holder: &Holder| {
            let age = now - holder.since;
            let is_upload = phase == Phase::Uploading;
            match holder.phase {
                Phase::Answering if age >= READ_TIME => Some(0),
                Phase::Uploading if age >= UPLOAD_TIME => Some(1),
                Phase::Uploading if !is_upload => Some(2),
                Phase::Answering if !is_upload => Some(3),
                _ => None,
            }
        };
        let others = self.holders.iter().filter(|(id, holder)| **id != own && holder.held > 0);
        let mut ranked: Vec<_> = others
            .filter_map(|(id, holder)| {
                let occupied = u128::from(holder.held) * u128::from((now - holder.since).0);
                Some(((rank(holder)?, Reverse(occupied)), *id, holder.held))
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, id, held)| (id, held)).collect()
    }
}
