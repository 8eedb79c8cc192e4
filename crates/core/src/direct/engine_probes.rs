//! Decides which engines a gateway probes for their loads, as nobody reports on them.
//!
//! Load pattern: gateways that start while loaders and other gateways are gone or stand still, beside
//! up to some hundred engines. Each probe is priced, and one that is answered is not repeated.

use std::collections::BTreeMap;

use rand::{Rng, seq::IteratorRandom as _};

use super::endpoint_notices::Start;
use crate::{time::Time, units::Span};

/// Time for which a report is awaited where no loader lives in the zone, longer than reports of
/// engines are late.
const REPORT_WAIT: Span = Span::secs(2);
/// The same where a loader lives there, which may be that of another engine.
const LOADER_WAIT: Span = Span::secs(8);
/// Interval after a probe without an answer; doubles up to the maximum.
const REPEAT_INTERVAL: Span = Span::millis(500);
/// Maximum interval.
const MAX_REPEAT_INTERVAL: Span = Span::secs(8);

/// An engine of whose load nothing is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownEngine {
    /// The start of the engine as published.
    pub start: Start,
    /// Whether a loader lives in its zone.
    pub has_loader: bool,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    awaited_from: Time,
    /// When it may be probed again, `None` before the first time.
    repeat_at: Option<Time>,
    interval: Span,
    is_answered: bool,
}

impl Probe {
    fn is_due(&self, now: Time, has_loader: bool) -> bool {
        let wait = if has_loader { LOADER_WAIT } else { REPORT_WAIT };
        !self.is_answered && self.repeat_at.unwrap_or(self.awaited_from + wait) <= now
    }
}

/// The engines that a gateway probes, by start.
#[derive(Clone, Debug, Default)]
pub struct EngineProbes {
    probes: BTreeMap<Start, Probe>,
}

impl EngineProbes {
    /// Returns an engine to probe now, given all of whose loads nothing is known; any one of those that
    /// are due, as gateways pass on what they learn.
    pub fn next_probe(
        &mut self,
        now: Time,
        unknown: &[UnknownEngine],
        rng: &mut impl Rng,
    ) -> Option<Start> {
        let mut probes = std::mem::take(&mut self.probes);
        let first = Probe {
            awaited_from: now,
            repeat_at: None,
            interval: REPEAT_INTERVAL,
            is_answered: false,
        };
        for engine in unknown {
            let probe = probes.remove(&engine.start).unwrap_or(first);
            self.probes.insert(engine.start, probe);
        }
        let is_due = |engine: &&UnknownEngine| {
            let probe = self.probes.get(&engine.start);
            probe.is_some_and(|probe| probe.is_due(now, engine.has_loader))
        };
        let start = unknown.iter().filter(is_due).choose(rng)?.start;
        let probe = self.probes.get_mut(&start)?;
        probe.repeat_at = Some(now + probe.interval);
        probe.interval = Span(probe.interval.0 * 2).min(MAX_REPEAT_INTERVAL);
        Some(start)
    }

    /// Records that the engine has said what it can say of this start.
    pub fn record_answer(&mut self, start: &Start) {
        if let Some(probe) = self.probes.get_mut(start) {
            probe.is_answered = true;
        }
    }
}
