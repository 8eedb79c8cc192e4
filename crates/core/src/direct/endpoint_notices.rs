//! What endpoints said of themselves in their answers, kept by instance and start.
//!
//! Load pattern: the list of endpoints may be stale or restored, and an endpoint may leave it and
//! return. What its answers said holds regardless, until it starts again.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::catalog::EndpointEntry;
use crate::{ids::InstanceId, time::Time};

/// Maximum number of instances that are remembered.
const MAX_NOTICES: usize = 4_096;

/// A start of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// The address at which it serves.
    pub addr: SocketAddr,
    /// The start in ms of the wall clock, `None` if it is not known.
    pub started_ms: Option<u64>,
}

impl Start {
    /// Returns the start of a published endpoint.
    pub fn of(entry: &EndpointEntry) -> Self {
        Self { addr: entry.addr, started_ms: entry.started_ms }
    }

    /// Returns whether both may be the same start: an entry may lack the time for a while.
    fn matches(&self, other: &Self) -> bool {
        let known = self.started_ms.zip(other.started_ms);
        self.addr == other.addr && known.is_none_or(|(own, other)| own == other)
    }
}

/// What is known of one instance.
#[derive(Clone, Copy, Debug)]
struct Notice {
    start: Start,
    heard_at: Time,
    paused_until: Time,
}

/// What is known of all instances.
#[derive(Clone, Debug, Default)]
pub struct EndpointNotices {
    notices: BTreeMap<InstanceId, Notice>,
}

impl EndpointNotices {
    /// Records that an answer asked for a pause until the given time; returns whether it ends later
    /// than known.
    pub fn record_pause(
        &mut self,
        now: Time,
        instance: &InstanceId,
        start: Start,
        until: Time,
    ) -> bool {
        let notice = self.entry(now, instance, start);
        notice.heard_at = now;
        let extended = until > notice.paused_until;
        notice.paused_until = until.max(notice.paused_until);
        extended
    }

    /// Returns the end of the last pause of an instance, `None` before any.
    pub fn paused_until(&self, instance: &InstanceId, start: &Start) -> Option<Time> {
        let notice = self.find(instance, start)?;
        Some(notice.paused_until).filter(|until| *until > Time::default())
    }

    /// Returns the instances with a notice.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.notices.keys()
    }

    fn find(&self, instance: &InstanceId, start: &Start) -> Option<&Notice> {
        self.notices.get(instance).filter(|notice| notice.start.matches(start))
    }

    /// Returns the notice of this start, in place of one of another start.
    fn entry(&mut self, now: Time, instance: &InstanceId, start: Start) -> &mut Notice {
        if self.find(instance, &start).is_none() {
            let notice = Notice { start, heard_at: now, paused_until: Time::default() };
            self.notices.insert(instance.clone(), notice);
            self.forget_oldest(instance);
        }
        self.notices.get_mut(instance).expect("the notice was found or inserted")
    }

    /// Keeps the number of notices bounded; `kept` stays.
    fn forget_oldest(&mut self, kept: &InstanceId) {
        if self.notices.len() <= MAX_NOTICES {
            return;
        }
        let others = self.notices.iter().filter(|(instance, _)| *instance != kept);
        let oldest = others.min_by_key(|(_, notice)| notice.heard_at);
        if let Some(instance) = oldest.map(|(instance, _)| instance.clone()) {
            self.notices.remove(&instance);
        }
    }
}
