//! Detection of requests that crash engines.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Digest, VmId},
    time::Time,
    units::Span,
};

/// How long a request stays suspected after its last crash.
const SUSPICION_PERIOD: Span = Span::secs(600);
/// How long a crash is announced to peers.
const ANNOUNCE_PERIOD: Span = Span::secs(10);
/// The largest number of crashes that are announced to peers at the same time.
const MAX_ANNOUNCED_CRASHES: usize = 8;
/// The largest number of crashes that are remembered to count each only once.
const MAX_REMEMBERED_CRASHES: usize = 4_096;
/// The largest number of requests in flight at a crash; a crash with more makes none suspect.
const MAX_CRASH_FINGERPRINTS: usize = 64;
/// The largest number of requests that are suspected at the same time.
const MAX_SUSPECTS: usize = 4_096;
/// The number of crashes with a request as the sole suspect after which the request is refused.
const SOLE_CRASH_LIMIT: usize = 2;
/// The largest number of completed requests that are remembered.
const MAX_COMPLETIONS: usize = 8_192;
/// The largest size of the encoded crashes that are told to a peer at once, in bytes.
const MAX_REPORT_BYTES: usize = 1_200;
/// The largest size of an encoded crash with one request, without the name of its VM, in bytes.
const CRASH_BYTES: usize = 36;

/// The fingerprint of a request, the same for each retry and repetition.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub u64);

impl From<&Digest> for Fingerprint {
    fn from(digest: &Digest) -> Self {
        let mut first = [0; 8];
        first.copy_from_slice(&digest.bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// An engine crash with the requests that were in flight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// The endpoint VM.
    pub vm: VmId,
    /// The incarnation of the engine that crashed.
    #[serde(rename = "engine")]
    pub incarnation: u64,
    /// The fingerprints of the requests in flight.
    #[serde(rename = "prints")]
    pub fingerprints: Vec<Fingerprint>,
}

/// A crash that is told again to peers which may have missed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The crash.
    pub crash: Crash,
    /// The time since the crash.
    pub age: Span,
}

/// How strongly a request is suspected of crashing engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// The request is not suspected.
    Clear,
    /// The request was in flight at a crash; it may run only where no other suspect runs.
    Suspect,
    /// The request was the sole suspect of two crashes and is refused.
    Blocked,
}

#[derive(Clone, Debug)]
struct Evidence {
    /// Whether a recorded crash was counted against the request.
    accused: bool,
    /// Whether the request was reported as the only suspect ahead of the crash record.
    alone: bool,
    /// The last recorded crashes with the request as the sole suspect, at most
    /// [`SOLE_CRASH_LIMIT`], and when each expires.
    sole_crashes: VecDeque<(CrashId, Time)>,
    expires: Time,
}

/// The VM and the incarnation of an engine that crashed.
type CrashId = (VmId, u64);

/// The suspected requests and the crashes that they were in flight at.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    crashes: BTreeMap<CrashId, Time>,
    recent: VecDeque<(Time, Crash)>,
    evidence: BTreeMap<Fingerprint, Evidence>,
    /// The requests that completed, as the time at which a crash then would expire.
    completions: BTreeMap<Fingerprint, Time>,
    /// The request whose crashes were told to a peer last.
    told: Option<Fingerprint>,
}

impl Suspects {
    /// Records a crash that this process saw or learnt from a peer; ignores known crashes, and new
    /// ones while the record is full.
    pub fn record_crash(&mut self, now: Time, crash: Crash) {
        let id = (crash.vm.clone(), crash.incarnation);
        if !self.remember_crash(now, &id) {
            return;
        }
        let fingerprints: BTreeSet<Fingerprint> = crash.fingerprints.iter().copied().collect();
        if fingerprints.len() <= MAX_CRASH_FINGERPRINTS {
            self.blame(&id, now + SUSPICION_PERIOD, &fingerprints);
            self.recent.push_back((now, crash));
            let surplus = self.recent.len().saturating_sub(MAX_ANNOUNCED_CRASHES);
            self.recent.drain(..surplus);
        }
    }

    /// Records a crash that a peer tells again; returns whether it counts. Requests that have
    /// completed since are not blamed.
    pub fn record_report(&mut self, now: Time, report: CrashReport) -> bool {
        let CrashReport { crash, age } = report;
        let expires = now + Span(SUSPICION_PERIOD.0.saturating_sub(age.0));
        let has_completed = |fingerprint: &Fingerprint| {
            self.completions.get(fingerprint).is_some_and(|completion| expires <= *completion)
        };
        let fingerprints: BTreeSet<Fingerprint> =
            crash.fingerprints.into_iter().filter(|print| !has_completed(print)).collect();
        let counts = expires > now && (1..=MAX_CRASH_FINGERPRINTS).contains(&fingerprints.len());
        let id = (crash.vm, crash.incarnation);
        if !counts || !self.remember_crash(now, &id) {
            return false;
        }
        self.blame(&id, expires, &fingerprints);
        true
    }

    /// Returns the next crashes to tell a peer: those for which requests are blocked, some requests
    /// at a time and each in turn.
    pub fn next_reports(&mut self, now: Time) -> Vec<CrashReport> {
        let is_blocked =
            |entry: &(&Fingerprint, &Evidence)| entry.1.sole_crashes.len() >= SOLE_CRASH_LIMIT;
        let blocked: Vec<Fingerprint> =
            self.evidence.iter().filter(is_blocked).map(|(fingerprint, _)| *fingerprint).collect();
        let first = blocked.partition_point(|fingerprint| Some(*fingerprint) <= self.told);
        let (before, after) = blocked.split_at(first);
        let (mut reports, mut size) = (vec![], 0);
        for fingerprint in after.iter().chain(before) {
            let told = self.reports(now, *fingerprint);
            size +=
                told.iter().map(|told| CRASH_BYTES + told.crash.vm.as_str().len()).sum::<usize>();
            if size > MAX_REPORT_BYTES {
                break;
            }
            reports.extend(told);
            self.told = Some(*fingerprint);
        }
        reports
    }

    /// Marks a request as a suspect of a crash whose record has yet to arrive; only the record
    /// counts towards blocking the request.
    pub fn add_suspect(&mut self, now: Time, fingerprint: Fingerprint, alone: bool) {
        let evidence = self.evidence(now + SUSPICION_PERIOD, fingerprint);
        evidence.alone |= alone;
    }

    /// Returns how strongly a request is suspected.
    pub fn suspicion(&self, fingerprint: Fingerprint) -> Suspicion {
        match self.evidence.get(&fingerprint) {
            None => Suspicion::Clear,
            Some(evidence) if evidence.sole_crashes.len() >= SOLE_CRASH_LIMIT => Suspicion::Blocked,
            Some(_) => Suspicion::Suspect,
        }
    }

    /// Returns whether a request was the sole suspect of at least one crash.
    pub fn is_sole_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.evidence
            .get(&fingerprint)
            .is_some_and(|evidence| evidence.alone || !evidence.sole_crashes.is_empty())
    }

    /// Removes all suspicion from a request that completed.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.evidence.remove(&fingerprint);
    }

    /// Records that a request completed: no crash before counts against it.
    pub fn complete(&mut self, now: Time, fingerprint: Fingerprint) {
        self.clear(fingerprint);
        self.completions.insert(fingerprint, now + SUSPICION_PERIOD);
        if self.completions.len() > MAX_COMPLETIONS {
            let mut times: Vec<Time> = self.completions.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.completions.retain(|_, time| *time > median);
        }
    }

    /// Removes expired crashes and suspicions.
    pub fn expire(&mut self, now: Time) {
        self.crashes.retain(|_, at| *at + SUSPICION_PERIOD > now);
        self.evidence.retain(|_, evidence| evidence.expires > now);
        self.recent.retain(|(at, _)| *at + ANNOUNCE_PERIOD > now);
    }

    /// Returns the crashes to announce to peers.
    pub fn recent_crashes(&self) -> Vec<Crash> {
        self.recent.iter().map(|(_, crash)| crash.clone()).collect()
    }

    /// Remembers a crash; returns whether it was new and the record has room.
    fn remember_crash(&mut self, now: Time, id: &CrashId) -> bool {
        let full = self.crashes.len() >= MAX_REMEMBERED_CRASHES && !self.crashes.contains_key(id);
        !full && self.crashes.insert(id.clone(), now).is_none()
    }

    /// Returns the crashes with a request as the sole suspect that have not expired.
    fn reports(&self, now: Time, fingerprint: Fingerprint) -> Vec<CrashReport> {
        let crashes = self.evidence.get(&fingerprint).map(|evidence| &evidence.sole_crashes);
        let valid = crashes.into_iter().flatten().filter(|(_, expires)| *expires > now);
        let report = |((vm, incarnation), expires): &(CrashId, Time)| CrashReport {
            crash: Crash {
                vm: vm.clone(),
                incarnation: *incarnation,
                fingerprints: vec![fingerprint],
            },
            age: Span(SUSPICION_PERIOD.0.saturating_sub((*expires - now).0)),
        };
        valid.map(report).collect()
    }

    /// Counts a crash against those requests in flight that an earlier crash already accused, or
    /// against all of them if there are none.
    fn blame(&mut self, id: &CrashId, expires: Time, fingerprints: &BTreeSet<Fingerprint>) {
        let known =
            |fingerprint: &&Fingerprint| self.evidence.get(*fingerprint).is_some_and(|e| e.accused);
        let before: Vec<Fingerprint> = fingerprints.iter().filter(known).copied().collect();
        let blamed =
            if before.is_empty() { fingerprints.iter().copied().collect() } else { before };
        let is_sole = blamed.len() == 1;
        for fingerprint in blamed {
            if self.evidence.len() >= MAX_SUSPECTS && !self.evidence.contains_key(&fingerprint) {
                continue;
            }
            let evidence = self.evidence(expires, fingerprint);
            evidence.accused = true;
            if is_sole {
                evidence.sole_crashes.push_back((id.clone(), expires));
                let surplus = evidence.sole_crashes.len().saturating_sub(SOLE_CRASH_LIMIT);
                evidence.sole_crashes.drain(..surplus);
            }
        }
    }

    fn evidence(&mut self, expires: Time, fingerprint: Fingerprint) -> &mut Evidence {
        let initial =
            Evidence { accused: false, alone: false, sole_crashes: VecDeque::new(), expires };
        let evidence = self.evidence.entry(fingerprint).or_insert(initial);
        evidence.expires = expires.max(evidence.expires);
        evidence
    }
}
