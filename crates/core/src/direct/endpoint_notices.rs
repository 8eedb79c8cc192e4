//! What endpoints said of themselves in their answers, kept by instance and start.
//!
//! Load pattern: the list of endpoints may be stale or restored, and an endpoint may leave it and
//! return. What its answers said holds regardless, until it starts again.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::catalog::EndpointEntry;
use crate::{ids::InstanceId, time::Time, units::Span};

/// Maximum number of instances that are remembered.
const MAX_NOTICES: usize = 4_096;

/// Time for which what others told of a leaving endpoint counts after a gateway that heard it in an
/// answer has repeated it, so that a report that was held up excludes no endpoint for good.
const REPORT_TTL: Span = Span::secs(60);
/// Reports that confirm what is known renew it only if they are newer by this: else the time of
/// their way would add up as they are passed on, and nothing would ever expire.
const MIN_RENEWAL: Span = Span::secs(5);
/// Reports that an endpoint leaves must be newer by this than what contradicts them, as their age
/// may lack the time of their way.
const MIN_LEAVING_GAIN: Span = Span::millis(50);
/// The same for reports that it no longer leaves, which are never urgent.
const MIN_STAYING_GAIN: Span = Span::millis(500);

/// A start of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
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
    pub(super) fn matches(&self, other: &Self) -> bool {
        let known = self.started_ms.zip(other.started_ms);
        self.addr == other.addr && known.is_none_or(|(own, other)| own == other)
    }
}

/// What an endpoint said of its leaving, as exchanged between gateways.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingReport {
    /// The instance of the endpoint.
    pub instance: InstanceId,
    /// Its start.
    pub start: Start,
    /// Whether it leaves.
    pub leaving: bool,
    /// The time since the answer that said so, or since the request whose answer did not.
    pub age: Span,
    /// The time since a gateway that heard so in an answer repeated it.
    pub repeated: Span,
}

/// What an endpoint said of its leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingState {
    leaving: bool,
    /// When the answer that said so arrived, or the request was sent whose answer did not.
    at: Time,
    /// Until when it counts, `None` if this gateway heard it in an answer.
    expires_at: Option<Time>,
}

impl LeavingState {
    /// Takes over the times of a report that says the same.
    fn renew(&mut self, told: &Self) {
        if told.at > self.at + MIN_RENEWAL {
            self.at = told.at;
        }
        if let (Some(known), Some(told)) = (self.expires_at, told.expires_at)
            && told > known + MIN_RENEWAL
        {
            self.expires_at = Some(told);
        }
    }

    fn is_leaving(&self, now: Time) -> bool {
        self.leaving && self.expires_at.is_none_or(|at| at > now)
    }
}

/// What is known of one instance.
#[derive(Clone, Copy, Debug)]
struct Notice {
    start: Start,
    heard_at: Time,
    paused_until: Time,
    /// Whether the end of the pause has yet to be reported.
    pause_open: bool,
    leaving: Option<LeavingState>,
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
        notice.pause_open |= extended;
        extended
    }

    /// Removes and returns the instances whose pause has ended since the last call.
    pub fn take_ended_pauses(&mut self, now: Time) -> Vec<InstanceId> {
        let ended = |notice: &Notice| notice.pause_open && notice.paused_until <= now;
        let notices = self.notices.iter_mut().filter(|(_, notice)| ended(notice));
        notices
            .map(|(instance, notice)| {
                notice.pause_open = false;
                instance.clone()
            })
            .collect()
    }

    /// Records whether an answer to a request that was sent at `sent` said that its endpoint leaves;
    /// returns whether that is a change.
    ///
    /// Answers overtake each other: one without the word ends it only if its request was sent after
    /// the word was heard.
    pub fn record_leaving(
        &mut self,
        now: Time,
        sent: Time,
        instance: &InstanceId,
        start: Start,
        leaving: bool,
    ) -> bool {
        if leaving {
            let notice = self.entry(now, instance, start);
            let known = notice.leaving.replace(LeavingState { leaving, at: now, expires_at: None });
            notice.heard_at = now;
            return !known.is_some_and(|known| known.is_leaving(now));
        }
        let notice = self.notices.get_mut(instance).filter(|notice| notice.start.matches(&start));
        let Some(known) = notice.and_then(|notice| notice.leaving.as_mut()) else { return false };
        if sent <= known.at {
            return false;
        }
        let known = std::mem::replace(known, LeavingState { leaving, at: sent, expires_at: None });
        known.leaving
    }

    /// Merges the report that another gateway sent at `sent`; returns whether it is a change.
    pub fn merge_leaving(&mut self, now: Time, sent: Time, report: &LeavingReport) -> bool {
        let at = Time(sent.0.saturating_sub(report.age.0));
        let is_older = |notice: &Notice| {
            let starts = notice.start.started_ms.zip(report.start.started_ms);
            !notice.start.matches(&report.start)
                && starts.map_or(at <= notice.heard_at, |(known, told)| told < known)
        };
        if self.notices.get(&report.instance).is_some_and(is_older) {
            return false;
        }
        let repeated = Time(sent.0.saturating_sub(report.repeated.0));
        let expires_at = Some(repeated + REPORT_TTL);
        let told = LeavingState { leaving: report.leaving, at, expires_at };
        let notice = self.entry(now, &report.instance, report.start);
        let Some(known) = &mut notice.leaving else {
            notice.leaving = Some(told);
            return told.is_leaving(now);
        };
        let before = known.is_leaving(now);
        let gain = if told.leaving { MIN_LEAVING_GAIN } else { MIN_STAYING_GAIN };
        if known.leaving == told.leaving {
            known.renew(&told);
        } else if at > known.at + gain {
            *known = told;
        }
        known.is_leaving(now) != before
    }

    /// Returns what is known of endpoints that leave or no longer do, for the other gateways.
    ///
    /// Of an instance that is not `listed` nobody needs to know for long.
    pub fn leaving_reports(
        &self,
        now: Time,
        listed: impl Fn(&InstanceId) -> bool,
    ) -> Vec<LeavingReport> {
        let report = |(instance, notice): (&InstanceId, &Notice)| {
            let known = notice.leaving?;
            let age = now - known.at;
            let repeated = match known.expires_at {
                Some(expires_at) if expires_at <= now => return None,
                Some(expires_at) => Span(REPORT_TTL.0.saturating_sub((expires_at - now).0)),
                None => Span(0),
            };
            let is_due = age < REPORT_TTL || (known.leaving && listed(instance));
            let (instance, start, leaving) = (instance.clone(), notice.start, known.leaving);
            is_due.then_some(LeavingReport { instance, start, leaving, age, repeated })
        };
        self.notices.iter().filter_map(report).collect()
    }

    /// Returns until when an endpoint counts as leaving, `Some(None)` without an end, `None` if it
    /// does not leave.
    pub fn leaving_until(&self, instance: &InstanceId, start: &Start) -> Option<Option<Time>> {
        let known = self.find(instance, start)?.leaving.filter(|known| known.leaving)?;
        Some(known.expires_at)
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
            let notice = Notice {
                start,
                heard_at: now,
                paused_until: Time::default(),
                pause_open: false,
                leaving: None,
            };
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
