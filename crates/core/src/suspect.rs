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
const SOLE_CRASH_LIMIT: u8 = 2;

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

#[derive(Clone, Copy, Debug)]
struct Evidence {
    /// Whether a recorded crash was counted against the request.
    accused: bool,
    /// Whether the request was reported as the only suspect ahead of the crash record.
    alone: bool,
    /// The recorded crashes with the request as the sole suspect.
    sole_crashes: u8,
    expires: Time,
}

/// The suspected requests and the crashes that they were in flight at.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    crashes: BTreeMap<(VmId, u64), Time>,
    recent: VecDeque<(Time, Crash)>,
    evidence: BTreeMap<Fingerprint, Evidence>,
}

impl Suspects {
    /// Records a crash that this process saw or learnt from a peer; ignores known crashes, and new
    /// ones while the record is full.
    pub fn record_crash(&mut self, now: Time, crash: Crash) {
        let id = (crash.vm.clone(), crash.incarnation);
        let full = self.crashes.len() >= MAX_REMEMBERED_CRASHES && !self.crashes.contains_key(&id);
        if full || self.crashes.insert(id, now).is_some() {
            return;
        }
        let fingerprints: BTreeSet<Fingerprint> = crash.fingerprints.iter().copied().collect();
        if fingerprints.len() <= MAX_CRASH_FINGERPRINTS {
            self.blame(now, &fingerprints);
            self.recent.push_back((now, crash));
            let surplus = self.recent.len().saturating_sub(MAX_ANNOUNCED_CRASHES);
            self.recent.drain(..surplus);
        }
    }

    /// Marks a request as a suspect of a crash whose record has yet to arrive; only the record
    /// counts towards blocking the request.
    pub fn add_suspect(&mut self, now: Time, fingerprint: Fingerprint, alone: bool) {
        let evidence = self.evidence(now, fingerprint);
        evidence.alone |= alone;
    }

    /// Returns how strongly a request is suspected.
    pub fn suspicion(&self, fingerprint: Fingerprint) -> Suspicion {
        match self.evidence.get(&fingerprint) {
            None => Suspicion::Clear,
            Some(evidence) if evidence.sole_crashes >= SOLE_CRASH_LIMIT => Suspicion::Blocked,
            Some(_) => Suspicion::Suspect,
        }
    }

    /// Returns whether a request was the sole suspect of at least one crash.
    pub fn is_sole_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.evidence
            .get(&fingerprint)
            .is_some_and(|evidence| evidence.alone || evidence.sole_crashes > 0)
    }

    /// Removes all suspicion from a request that completed.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.evidence.remove(&fingerprint);
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

    /// Counts a crash against those requests in flight that an earlier crash already accused, or
    /// against all of them if there are none.
    fn blame(&mut self, now: Time, fingerprints: &BTreeSet<Fingerprint>) {
        let known =
            |fingerprint: &&Fingerprint| self.evidence.get(*fingerprint).is_some_and(|e| e.accused);
        let before: Vec<Fingerprint> = fingerprints.iter().filter(known).copied().collect();
        let blamed =
            if before.is_empty() { fingerprints.iter().copied().collect() } else { before };
        let sole = u8::from(blamed.len() == 1);
        for fingerprint in blamed {
            if self.evidence.len() >= MAX_SUSPECTS && !self.evidence.contains_key(&fingerprint) {
                continue;
            }
            let evidence = self.evidence(now, fingerprint);
            evidence.accused = true;
            evidence.sole_crashes = evidence.sole_crashes.saturating_add(sole);
        }
    }

    fn evidence(&mut self, now: Time, fingerprint: Fingerprint) -> &mut Evidence {
        let expires = now + SUSPICION_PERIOD;
        let initial = Evidence { accused: false, alone: false, sole_crashes: 0, expires };
        let evidence = self.evidence.entry(fingerprint).or_insert(initial);
        evidence.expires = expires;
        evidence
    }
}
