//! Announced versions of a model and when they were announced.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{ids::ModelId, time::Time, units::Span};

/// Age told of versions whose time of announcement is unknown: the release before reads no empty age,
/// and takes a version of this age as due.
pub(super) const UNKNOWN_AGE: Span = Span(1 << 62);

/// Maximum time by which a date that this process knows may precede the announcement without peers
/// being asked for a closer one.
const MAX_DATE_ERROR: Span = Span::secs(3);

/// Maximum number of announced versions kept per model.
const MAX_VERSIONS: usize = 8;

/// When a version was announced, in microseconds of the process clock; negative before its start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum AnnouncedAt {
    /// At an unknown time before this process saw it; older versions may no longer be used.
    Unknown,
    /// At this time or later.
    Known(i64),
}

/// A version announced by operators, as exchanged between processes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncedVersion {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: u64,
    /// The time since its announcement, [`UNKNOWN_AGE`] if that is unknown.
    pub age: Span,
}

impl AnnouncedVersion {
    /// Returns the time since the announcement, `None` if it is unknown.
    pub fn known_age(&self) -> Option<Span> {
        Some(self.age).filter(|age| *age < UNKNOWN_AGE)
    }
}

/// The recently announced versions of a model and when they were announced.
///
/// A newer version does not extend the time within which an older one must be in use. A process
/// that saw each version, or was told of all by one that did, knows the time of the oldest one here;
/// otherwise that time is unknown, and versions before it are not used.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetVersions {
    pub(super) announced: BTreeMap<u64, AnnouncedAt>,
    /// The versions that this process saw as they were announced.
    pub(super) sighted: BTreeSet<u64>,
    /// The versions whose date may be far too early, with the time at which this process heard of
    /// them, which is after their announcement.
    pub(super) imprecise: BTreeMap<u64, Time>,
}

impl TargetVersions {
    /// Returns the newest announced version, 0 without any.
    pub fn newest(&self) -> u64 {
        self.announced.keys().next_back().copied().unwrap_or(0)
    }

    /// Returns when the first version after `current` was announced, which is the next one due; the
    /// start of the process where that is unknown.
    pub fn rollout_start(&self, current: Option<u64>) -> Time {
        match self.first_after(current) {
            Some(AnnouncedAt::Known(at)) => Time(u64::try_from(at).unwrap_or(0)),
            _ => Time::default(),
        }
    }

    /// Returns whether a version is known to have been announced since the start of the process.
    pub fn is_announced_since_start(&self, version: u64) -> bool {
        matches!(self.announced.get(&version), Some(AnnouncedAt::Known(at)) if *at > 0)
    }

    /// Returns when `current` has been replaced for `after`, `None` if no newer version is announced
    /// or its time is unknown.
    pub fn replaced_for(&self, current: u64, after: Span) -> Option<Time> {
        match self.first_after(Some(current))? {
            AnnouncedAt::Known(at) => u64::try_from(at + after.0 as i64).ok().map(Time),
            AnnouncedAt::Unknown => None,
        }
    }

    /// Returns whether a version after `current` was announced at an unknown time.
    pub fn has_undated_successor(&self, current: Option<u64>) -> bool {
        self.first_after(current) == Some(AnnouncedAt::Unknown)
    }

    /// Returns the first time after `now` at which a version has been announced for `after`.
    pub fn next_due(&self, now: Time, after: Span) -> Option<Time> {
        let due = self.announced.values().filter_map(|at| match at {
            AnnouncedAt::Known(at) => u64::try_from(at + after.0 as i64).ok().map(Time),
            AnnouncedAt::Unknown => None,
        });
        due.filter(|due| *due > now).min()
    }

    /// Returns when the first version after `current` was announced; the times of several, told by
    /// different processes, need not rise with the versions.
    fn first_after(&self, current: Option<u64>) -> Option<AnnouncedAt> {
        let newer = self.announced.iter().filter(|(version, _)| Some(**version) > current);
        newer.map(|(_, at)| *at).min()
    }

    /// Returns the newest version that was announced at least `after` ago; older ones may no longer
    /// be used.
    pub fn min_usable(&self, now: Time, after: Span) -> Option<u64> {
        let is_due = |(_, at): &(&u64, &AnnouncedAt)| match at {
            AnnouncedAt::Unknown => true,
            AnnouncedAt::Known(at) => at + after.0 as i64 <= now.0 as i64,
        };
        self.announced.iter().rev().find(is_due).map(|(version, _)| *version)
    }

    /// Returns whether the times here hold for a version even if it is missing: that of a version
    /// holds for all between it and the one before, as they were announced at the same time or later.
    pub(super) fn covers(&self, version: u64) -> bool {
        let oldest = self.announced.first_key_value();
        oldest.is_some_and(|(oldest, at)| *at != AnnouncedAt::Unknown || *oldest <= version)
    }

    /// Sets the time of an announcement unless it is known; returns whether anything changed.
    pub(super) fn announce(&mut self, version: u64, at: AnnouncedAt) -> bool {
        let known = self.announced.insert(version, at);
        let dated = known.filter(|known| *known != AnnouncedAt::Unknown);
        if let Some(dated) = dated {
            self.announced.insert(version, dated);
        }
        self.trim();
        dated.is_none() && known != Some(at)
    }

    /// Drops the oldest versions beyond [`MAX_VERSIONS`].
    fn trim(&mut self) {
        while self.announced.len() > MAX_VERSIONS
            && let Some((dropped, oldest)) = self.announced.pop_first()
        {
            self.sighted.remove(&dropped);
            self.imprecise.remove(&dropped);
            // The next one replaces what the dropped one did, and since then.
            if let Some(mut next) = self.announced.first_entry() {
                self.sighted.remove(next.key());
                self.imprecise.remove(next.key());
                let earlier = oldest.min(*next.get());
                next.insert(earlier);
            }
        }
    }

    /// Marks the date of a version that this process heard of at `heard` if it may be far too early.
    pub(super) fn mark_imprecise(&mut self, version: u64, heard: Time) {
        if let Some(AnnouncedAt::Known(at)) = self.announced.get(&version)
            && at + (MAX_DATE_ERROR.0 as i64) < heard.0 as i64
        {
            self.imprecise.insert(version, heard);
        }
    }

    /// Takes the versions up to `version` back that were removed before, with their dates.
    pub(super) fn take_back(&mut self, removed: &mut Self, version: u64) {
        let next = version.saturating_add(1);
        let newer = removed.announced.split_off(&next);
        self.announced.append(&mut std::mem::replace(&mut removed.announced, newer));
        let newer = removed.sighted.split_off(&next);
        self.sighted.append(&mut std::mem::replace(&mut removed.sighted, newer));
        let newer = removed.imprecise.split_off(&next);
        self.imprecise.append(&mut std::mem::replace(&mut removed.imprecise, newer));
        self.trim();
    }

    /// Moves an imprecise date to the time at which a peer saw the announcement; returns whether
    /// anything changed.
    pub(super) fn merge_sighting(&mut self, version: u64, seen: i64) -> bool {
        let Some(heard) = self.imprecise.get(&version) else { return false };
        let Some(AnnouncedAt::Known(at)) = self.announced.get_mut(&version) else { return false };
        if seen <= *at || seen > heard.0 as i64 {
            return false;
        }
        *at = seen;
        self.imprecise.remove(&version);
        true
    }
}
