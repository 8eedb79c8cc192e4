//! Requests that are suspected of crashing engines.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Digest, VmId},
    time::Time,
    units::Span,
};

/// Time after the last crash in which a request is suspected.
const SUSPICION_PERIOD: Span = Span::secs(600);
/// Time in which a crash is told to peers.
const ANNOUNCE_PERIOD: Span = Span::secs(10);
/// Crashes that are told to peers at the same time.
const MAX_ANNOUNCED_CRASHES: usize = 8;
/// Crashes that are remembered, so that each counts once.
const MAX_REMEMBERED_CRASHES: usize = 4_096;
/// Requests in flight that a crash names; a crash with more accuses none.
const MAX_CRASH_FINGERPRINTS: usize = 64;
/// Requests that are suspected at the same time.
const MAX_SUSPECTS: usize = 4_096;
/// Crashes as the sole suspect after which a request is refused.
const SOLE_CRASH_LIMIT: u8 = 2;

/// The fingerprint of a request, the same for each copy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub u64);

impl From<&Digest> for Fingerprint {
    fn from(digest: &Digest) -> Self {
        let mut first = [0; 8];
        first.copy_from_slice(&digest.bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// A crash of an engine and the requests that were in flight there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// The endpoint VM.
    pub vm: VmId,
    /// The start of the engine that crashed.
    #[serde(rename = "engine")]
    pub incarnation: u64,
    /// The requests in flight.
    #[serde(rename = "prints")]
    pub fingerprints: Vec<Fingerprint>,
}

/// What is held against a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// Nothing.
    Clear,
    /// It was in flight at a crash; it runs where no other suspect runs.
    Suspect,
    /// It was the sole suspect of two crashes; it is refused.
    Blocked,
}

#[derive(Clone, Copy, Debug)]
struct Evidence {
    accused: bool,
    alone: bool,
    sole_crashes: u8,
    expires: Time,
}

/// The requests that are suspected, and the crashes that record_crash them.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    crashes: BTreeMap<(VmId, u64), Time>,
    recent: VecDeque<(Time, Crash)>,
    evidence: BTreeMap<Fingerprint, Evidence>,
}

impl Suspects {
    /// Takes a crash that this process saw or was told of; a known one changes nothing.
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

    /// Suspects a request of a crash whose account is still to come and will count.
    pub fn add_suspect(&mut self, now: Time, fingerprint: Fingerprint, alone: bool) {
        let evidence = self.evidence(now, fingerprint);
        evidence.alone |= alone;
    }

    /// Returns what is held against a request.
    pub fn suspicion(&self, fingerprint: Fingerprint) -> Suspicion {
        match self.evidence.get(&fingerprint) {
            None => Suspicion::Clear,
            Some(evidence) if evidence.sole_crashes >= SOLE_CRASH_LIMIT => Suspicion::Blocked,
            Some(_) => Suspicion::Suspect,
        }
    }

    /// Returns whether a request was the sole suspect of a crash.
    pub fn is_sole_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.evidence
            .get(&fingerprint)
            .is_some_and(|evidence| evidence.alone || evidence.sole_crashes > 0)
    }

    /// Takes note that a request ran to its end.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.evidence.remove(&fingerprint);
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Time) {
        self.crashes.retain(|_, at| *at + SUSPICION_PERIOD > now);
        self.evidence.retain(|_, evidence| evidence.expires > now);
        self.recent.retain(|(at, _)| *at + ANNOUNCE_PERIOD > now);
    }

    /// Returns the crashes to tell peers.
    pub fn recent_crashes(&self) -> Vec<Crash> {
        self.recent.iter().map(|(_, crash)| crash.clone()).collect()
    }

    /// Blames the suspects among the requests in flight, or all where none is suspected yet.
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
