//! Requests that are suspected of crashing engines.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Digest, VmId},
    time::Time,
    units::Span,
};

/// Time after the last crash in which a request is suspected.
const EVIDENCE: Span = Span::secs(600);
/// Time in which a crash is told to peers.
const TOLD: Span = Span::secs(10);
/// Crashes that are told to peers at the same time.
const MAX_CRASHES: usize = 8;
/// Crashes that are remembered, so that each counts once.
const MAX_KNOWN: usize = 4_096;
/// Requests in flight that a crash names; a crash with more accuses none.
const MAX_PRINTS: usize = 64;
/// Requests that are suspected at the same time.
const MAX_SUSPECTS: usize = 4_096;
/// Crashes as the sole suspect after which a request is refused.
const CONDEMNED: u8 = 2;

/// The fingerprint of a request, the same for each copy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Print(pub u64);

impl From<&Digest> for Print {
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
    pub engine: u64,
    /// The requests in flight.
    pub prints: Vec<Print>,
}

/// What is held against a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Nothing.
    Clear,
    /// It was in flight at a crash; it runs where no other suspect runs.
    Suspect,
    /// It was the sole suspect of two crashes; it is refused.
    Condemned,
}

#[derive(Clone, Copy, Debug)]
struct Evidence {
    accused: bool,
    alone: bool,
    sole: u8,
    until: Time,
}

/// The requests that are suspected, and the crashes that record_crash them.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    crashes: BTreeMap<(VmId, u64), Time>,
    recent: VecDeque<(Time, Crash)>,
    evidence: BTreeMap<Print, Evidence>,
}

impl Suspects {
    /// Takes a crash that this process saw or was told of; a known one changes nothing.
    pub fn record_crash(&mut self, now: Time, crash: Crash) {
        let id = (crash.vm.clone(), crash.engine);
        let full = self.crashes.len() >= MAX_KNOWN && !self.crashes.contains_key(&id);
        if full || self.crashes.insert(id, now).is_some() {
            return;
        }
        let prints: BTreeSet<Print> = crash.prints.iter().copied().collect();
        if prints.len() <= MAX_PRINTS {
            self.blame(now, &prints);
            self.recent.push_back((now, crash));
            let surplus = self.recent.len().saturating_sub(MAX_CRASHES);
            self.recent.drain(..surplus);
        }
    }

    /// Suspects a request of a crash whose account is still to come and will count.
    pub fn suspect(&mut self, now: Time, print: Print, alone: bool) {
        let evidence = self.evidence(now, print);
        evidence.alone |= alone;
    }

    /// Returns what is held against a request.
    pub fn standing(&self, print: Print) -> Standing {
        match self.evidence.get(&print) {
            None => Standing::Clear,
            Some(evidence) if evidence.sole >= CONDEMNED => Standing::Condemned,
            Some(_) => Standing::Suspect,
        }
    }

    /// Returns whether a request was the sole suspect of a crash.
    pub fn is_sole(&self, print: Print) -> bool {
        self.evidence.get(&print).is_some_and(|evidence| evidence.alone || evidence.sole > 0)
    }

    /// Takes note that a request ran to its end.
    pub fn clear(&mut self, print: Print) {
        self.evidence.remove(&print);
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Time) {
        self.crashes.retain(|_, at| *at + EVIDENCE > now);
        self.evidence.retain(|_, evidence| evidence.until > now);
        self.recent.retain(|(at, _)| *at + TOLD > now);
    }

    /// Returns the crashes to tell peers.
    pub fn told(&self) -> Vec<Crash> {
        self.recent.iter().map(|(_, crash)| crash.clone()).collect()
    }

    /// Blames the suspects among the requests in flight, or all where none is suspected yet.
    fn blame(&mut self, now: Time, prints: &BTreeSet<Print>) {
        let known = |print: &&Print| self.evidence.get(*print).is_some_and(|e| e.accused);
        let before: Vec<Print> = prints.iter().filter(known).copied().collect();
        let blamed = if before.is_empty() { prints.iter().copied().collect() } else { before };
        let sole = u8::from(blamed.len() == 1);
        for print in blamed {
            if self.evidence.len() >= MAX_SUSPECTS && !self.evidence.contains_key(&print) {
                continue;
            }
            let evidence = self.evidence(now, print);
            evidence.accused = true;
            evidence.sole = evidence.sole.saturating_add(sole);
        }
    }

    fn evidence(&mut self, now: Time, print: Print) -> &mut Evidence {
        let until = now + EVIDENCE;
        let fresh = Evidence { accused: false, alone: false, sole: 0, until };
        let evidence = self.evidence.entry(print).or_insert(fresh);
        evidence.until = until;
        evidence
    }
}
