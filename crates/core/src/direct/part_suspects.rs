//! Detection of prompt parts that crash engines, from the requests in flight at crashes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{InstanceId, PartId, VmId},
    time::Time,
    units::Span,
};

/// How long a crash counts against the parts that it accuses.
const EVIDENCE_PERIOD: Span = Span::secs(600);
/// Interval within which crashes count once, as many endpoints may fail for one other reason.
const CRASH_SPACING: Span = Span::millis(100);
/// Crashes after which a part is blocked that no answer was seen to complete with.
const CRASH_LIMIT: u32 = 3;
/// Crashes after which a part is blocked that answers completed with before.
const PROVEN_CRASH_LIMIT: u32 = 5;
/// Time within which all connections to a crashed engine have broken.
const BREAK_TIME: Span = Span::millis(500);
/// Time within which a crashed engine is not back.
const MIN_RESTART_TIME: Span = Span::secs(1);
/// The largest number of crashes that are remembered, and of engines that survived one.
const MAX_CRASHES: usize = 512;
/// The largest number of requests that are remembered per crash.
const MAX_REQUESTS: usize = 64;
/// The largest number of parts that are blocked at the same time.
const MAX_BLOCKS: usize = 32;
/// The largest number of parts whose completed answers are remembered.
const MAX_COMPLETIONS: usize = 8_192;

/// One start of an engine, which crashes at most once.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EngineStart {
    /// The instance of the endpoint.
    pub instance: InstanceId,
    /// The published start time, in ms of the wall clock.
    pub started_ms: Option<u64>,
}

/// A prompt part of a request that was in flight at a crash.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AccusedPart {
    /// The part.
    pub part: PartId,
    /// Whether the reporter had seen an answer complete with it.
    pub proven: bool,
}

/// A request that was in flight at a crash and may have caused it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accusation {
    /// A random number that identifies it.
    pub id: u64,
    /// The engine that crashed.
    pub engine: EngineStart,
    /// The gateway that sent the request.
    pub reporter: VmId,
    /// The parts that the request shares with others and that nothing has cleared since.
    pub parts: Vec<AccusedPart>,
    /// The time since the crash.
    pub age: Span,
}

/// An engine that answered after connections to it had broken, which therefore did not crash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Survivor {
    /// The engine.
    pub engine: EngineStart,
    /// The time since it was last known to be alive.
    pub age: Span,
}

/// What a gateway tells others about crashes and prompt parts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartNews {
    /// Requests that were in flight at crashes.
    pub accusations: Vec<Accusation>,
    /// Accused parts with which an answer completed since.
    pub completed: Vec<PartId>,
    /// Engines that did not crash.
    pub survivors: Vec<Survivor>,
}

/// A blocked part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Block {
    /// The part.
    pub part: PartId,
    /// The number of crashes that it is blocked for.
    pub crashes: u32,
    /// The parts common to all requests that accuse it; only a request with all of them is refused.
    pub common: BTreeSet<PartId>,
}

#[derive(Clone, Debug)]
struct CrashRecord {
    expires: Time,
    requests: BTreeMap<u64, AccusedRequest>,
}

#[derive(Clone, Debug)]
struct AccusedRequest {
    reporter: VmId,
    parts: BTreeSet<AccusedPart>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    crashes: u32,
    last: Time,
    proven: bool,
}

/// The accused prompt parts and the crashes that they are accused of.
#[derive(Clone, Debug, Default)]
pub struct PartSuspects {
    crashes: BTreeMap<EngineStart, CrashRecord>,
    accused: BTreeSet<PartId>,
    /// The last completed answer with each part, as the time at which a crash then would expire.
    completions: BTreeMap<PartId, Time>,
    /// Engines known to have been alive, as the time at which a crash then would expire.
    survivors: BTreeMap<EngineStart, Time>,
    blocks: Vec<Block>,
    /// The crashes of each accused part that no blocked part explains.
    unexplained: BTreeMap<PartId, Tally>,
    stale: bool,
}

impl PartSuspects {
    /// Returns the accusation of a request whose endpoint crashed just now.
    pub fn accusation(
        &self,
        id: u64,
        engine: EngineStart,
        reporter: VmId,
        parts: &[PartId],
    ) -> Accusation {
        let proven = |part: &PartId| self.completions.contains_key(part);
        let accused = parts.iter().map(|part| AccusedPart { part: *part, proven: proven(part) });
        Accusation { id, engine, reporter, parts: accused.collect(), age: Span(0) }
    }

    /// Records an accusation of this process or a peer; returns whether it was new.
    pub fn accuse(&mut self, now: Time, accusation: &Accusation) -> bool {
        let expires = now + Span(EVIDENCE_PERIOD.0.saturating_sub(accusation.age.0));
        let survived =
            self.survivors.get(&accusation.engine).is_some_and(|alive| expires <= *alive);
        if expires <= now || survived {
            return false;
        }
        let completed_later = |part: &PartId| {
            self.completions.get(part).is_some_and(|completion| *completion > expires)
        };
        let accused = accusation.parts.iter().filter(|accused| !completed_later(&accused.part));
        let parts: BTreeSet<AccusedPart> = accused.copied().collect();
        let initial = || CrashRecord { expires, requests: BTreeMap::new() };
        let record = self.crashes.entry(accusation.engine.clone()).or_insert_with(initial);
        // One start of an engine crashes once: it did not crash the time before.
        if accusation.engine.started_ms.is_some()
            && expires > record.expires + BREAK_TIME + MIN_RESTART_TIME
        {
            *record = initial();
        }
        if record.requests.len() >= MAX_REQUESTS || record.requests.contains_key(&accusation.id) {
            return false;
        }
        self.accused.extend(parts.iter().map(|accused| accused.part));
        let request = AccusedRequest { reporter: accusation.reporter.clone(), parts };
        record.requests.insert(accusation.id, request);
        self.stale = true;
        if self.crashes.len() > MAX_CRASHES {
            self.evict_crash();
        }
        true
    }

    /// Records that an answer completed with these parts; returns those that were accused.
    pub fn complete(&mut self, now: Time, parts: &[PartId]) -> Vec<PartId> {
        for part in parts {
            self.completions.insert(*part, now + EVIDENCE_PERIOD);
        }
        if self.completions.len() > MAX_COMPLETIONS {
            self.evict_completions();
        }
        let cleared: Vec<PartId> =
            parts.iter().filter(|part| self.accused.remove(part)).copied().collect();
        if !cleared.is_empty() {
            let requests = self.crashes.values_mut().flat_map(|crash| crash.requests.values_mut());
            for request in requests {
                request.parts.retain(|accused| !cleared.contains(&accused.part));
            }
            self.stale = true;
        }
        cleared
    }

    /// Records that an engine answers at `now` a request that was sent to it at `sent`; returns it
    /// if that disproves a crash.
    pub fn record_answer(
        &mut self,
        now: Time,
        sent: Time,
        engine: &EngineStart,
    ) -> Option<Survivor> {
        let crashed = self.crashes.get(engine)?.expires;
        let (sent, answered) = (sent + EVIDENCE_PERIOD, now + EVIDENCE_PERIOD);
        let proves_alive = match sent > crashed {
            // A later answer may come from the next start of the engine.
            true => answered <= crashed + MIN_RESTART_TIME,
            false => answered > crashed + BREAK_TIME,
        };
        if !proves_alive {
            return None;
        }
        let alive = if sent > crashed { sent } else { crashed };
        self.mark_alive(engine, alive);
        Some(Survivor { engine: engine.clone(), age: answered - alive })
    }

    /// Applies the news of a peer that an engine did not crash.
    pub fn record_survivor(&mut self, now: Time, survivor: &Survivor) {
        let alive = now + Span(EVIDENCE_PERIOD.0.saturating_sub(survivor.age.0));
        self.mark_alive(&survivor.engine, alive);
    }

    /// Returns whether any crash is remembered.
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Returns the blocked part for which a request with these parts is refused.
    pub fn blocked_part(&mut self, parts: &[PartId]) -> Option<PartId> {
        let holds = |block: &&Block| block.common.iter().all(|part| parts.contains(part));
        self.blocks().iter().find(holds).map(|block| block.part)
    }

    /// Returns whether a request with these parts may run once more after a crash: not if one more
    /// crash would block one of them.
    pub fn allows_retry(&mut self, parts: &[PartId]) -> bool {
        let blocked = self.blocked_part(parts).is_some();
        let mut tallies = parts.iter().filter_map(|part| self.unexplained.get(part));
        !blocked && tallies.all(|tally| tally.crashes + 1 < tally.limit())
    }

    /// Returns the blocked parts.
    pub fn blocks(&mut self) -> &[Block] {
        self.refresh();
        &self.blocks
    }

    /// Returns the accusations for which parts are blocked, one for each crash.
    pub fn evidence(&mut self, now: Time) -> Vec<Accusation> {
        self.refresh();
        let blocked: Vec<PartId> = self.blocks.iter().map(|block| block.part).collect();
        let accusations = self.crashes.iter().filter_map(|(engine, crash)| {
            let holds = |request: &AccusedRequest| blocked.iter().any(|part| request.holds(*part));
            let (id, request) = crash.requests.iter().find(|(_, request)| holds(request))?;
            Some(Accusation {
                id: *id,
                engine: engine.clone(),
                reporter: request.reporter.clone(),
                parts: request.parts.iter().copied().collect(),
                age: Span(EVIDENCE_PERIOD.0.saturating_sub((crash.expires - now).0)),
            })
        });
        accusations.collect()
    }

    /// Returns the largest number of unexplained crashes among these parts.
    pub fn crash_count(&mut self, parts: &[PartId]) -> u32 {
        self.refresh();
        let counts = parts.iter().filter_map(|part| self.unexplained.get(part));
        counts.map(|tally| tally.crashes).max().unwrap_or(0)
    }

    /// Removes expired crashes.
    pub fn expire(&mut self, now: Time) {
        if self.crashes.values().any(|crash| crash.expires <= now) {
            self.crashes.retain(|_, crash| crash.expires > now);
            self.rebuild_accused();
        }
    }

    fn refresh(&mut self) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        let mut open: Vec<&CrashRecord> = self.crashes.values().collect();
        open.sort_by_key(|crash| crash.expires);
        let mut blocks = vec![];
        // The part with most crashes explains them; only the others count against other parts.
        let unexplained = loop {
            let tallies = tally(&open);
            let guilty = tallies
                .iter()
                .filter(|(_, tally)| tally.crashes >= tally.limit())
                .max_by_key(|(_, tally)| (tally.crashes, !tally.proven));
            let Some((part, tally)) = guilty.filter(|_| blocks.len() < MAX_BLOCKS) else {
                break tallies;
            };
            let common = common_parts(&self.crashes, *part);
            blocks.push(Block { part: *part, crashes: tally.crashes, common });
            open.retain(|crash| !crash.requests.values().any(|request| request.holds(*part)));
        };
        self.blocks = blocks;
        self.unexplained = unexplained;
    }

    /// Removes the crash of an engine that was alive at a later time, given as the time at which a
    /// crash then would expire.
    fn mark_alive(&mut self, engine: &EngineStart, alive: Time) {
        let known = self.survivors.entry(engine.clone()).or_default();
        *known = alive.max(*known);
        if self.survivors.len() > MAX_CRASHES {
            let oldest = self.survivors.iter().min_by_key(|(_, alive)| **alive);
            if let Some(engine) = oldest.map(|(engine, _)| engine.clone()) {
                self.survivors.remove(&engine);
            }
        }
        if self.crashes.get(engine).is_some_and(|crash| crash.expires <= alive) {
            self.crashes.remove(engine);
            self.rebuild_accused();
        }
    }

    /// Removes the oldest crash, preferably one that accuses no part any more.
    fn evict_crash(&mut self) {
        let order = |crash: &CrashRecord| {
            let accuses = crash.requests.values().any(|request| !request.parts.is_empty());
            (accuses, crash.expires)
        };
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| order(crash));
        if let Some(engine) = oldest.map(|(engine, _)| engine.clone()) {
            self.crashes.remove(&engine);
            self.rebuild_accused();
        }
    }

    /// Removes the older half of the completed answers.
    fn evict_completions(&mut self) {
        let mut times: Vec<Time> = self.completions.values().copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.completions.retain(|_, time| *time > median);
    }

    fn rebuild_accused(&mut self) {
        let requests = self.crashes.values().flat_map(|crash| crash.requests.values());
        let parts = requests.flat_map(|request| request.parts.iter());
        self.accused = parts.map(|accused| accused.part).collect();
        self.stale = true;
    }
}

impl AccusedRequest {
    fn holds(&self, part: PartId) -> bool {
        self.parts.iter().any(|accused| accused.part == part)
    }
}

impl Tally {
    fn limit(self) -> u32 {
        if self.proven { PROVEN_CRASH_LIMIT } else { CRASH_LIMIT }
    }
}

/// Counts the crashes of each accused part; the crashes are in the order of time.
fn tally(crashes: &[&CrashRecord]) -> BTreeMap<PartId, Tally> {
    let mut tallies = BTreeMap::<PartId, Tally>::new();
    for crash in crashes {
        let accused: BTreeSet<AccusedPart> =
            crash.requests.values().flat_map(|request| request.parts.iter().copied()).collect();
        for AccusedPart { part, proven } in accused {
            let tally = tallies.entry(part).or_default();
            tally.proven |= proven;
            if tally.crashes == 0 || crash.expires >= tally.last + CRASH_SPACING {
                tally.crashes += 1;
                tally.last = crash.expires;
            }
        }
    }
    tallies
}

/// Returns the parts that all requests hold that accuse this part.
fn common_parts(crashes: &BTreeMap<EngineStart, CrashRecord>, part: PartId) -> BTreeSet<PartId> {
    let requests = crashes.values().flat_map(|crash| crash.requests.values());
    let parts = requests
        .filter(|request| request.holds(part))
        .map(|request| request.parts.iter().map(|accused| accused.part).collect::<BTreeSet<_>>());
    parts.reduce(|common, parts| &common & &parts).unwrap_or_default()
}
