//! Chooses the version for an engine that holds none while operators have announced none.
//!
//! Load pattern: all or single engines lose their weights beside entries of the list that claim
//! versions which no source has. A claim is tried, and the origin is asked where it fails: what it
//! names is loaded. While the origin does not answer, the lower claims are tried.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::chart::{Chart, Machine};

/// The transitions of the choice, as JSON.
const CHART: &str = include_str!("../../charts/version_choice.json");

/// Whose word a choice goes by.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
    /// The origin must be asked.
    Asking,
    /// That of the published entries of engines.
    Published,
    /// That of the origin, which has answered.
    Told,
}

/// An event that changes whose word counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
enum Event {
    /// No entry claims a version that has yet to be tried.
    Absent,
    /// The origin has named its newest version.
    Answered,
    /// The chosen version could not be loaded.
    Failed,
    /// The engine holds a version, or operators have announced one.
    Settled,
    /// The origin has not answered.
    Silent,
}

/// What to do next to find a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Candidate {
    /// Load this version, which an entry claims; it may not exist.
    Claimed(u64),
    /// Load this version, which the origin has named.
    Named(u64),
    /// Ask the origin for its newest version.
    AskOrigin,
}

/// The choice of a version for an engine.
#[derive(Clone, Debug)]
pub struct VersionChoice {
    machine: Machine<State, Event>,
    /// The lowest claim that has failed since the claims were last tried from the top.
    failed: Option<u64>,
    /// The version that the origin has named.
    named: Option<u64>,
}

impl Default for VersionChoice {
    fn default() -> Self {
        let chart = Chart::parse(CHART).expect("embedded chart of the version choice is valid");
        Self { machine: Machine::new(Arc::new(chart)), failed: None, named: None }
    }
}

impl VersionChoice {
    /// Returns what to do next, given the versions that entries of the engine's service claim.
    pub fn next(&mut self, claims: impl IntoIterator<Item = u64>) -> Candidate {
        if self.machine.state() == State::Published {
            let is_untried = |claim: &u64| self.failed.is_none_or(|failed| *claim < failed);
            match claims.into_iter().filter(is_untried).max() {
                Some(claim) => return Candidate::Claimed(claim),
                None => {
                    self.failed = None;
                    self.machine.apply(Event::Absent);
                }
            }
        }
        match (self.machine.state(), self.named) {
            (State::Told, Some(version)) => Candidate::Named(version),
            _ => Candidate::AskOrigin,
        }
    }

    /// Records the newest version that the origin has named, `None` if it did not answer.
    pub fn record_answer(&mut self, named: Option<u64>) {
        self.named = named;
        self.machine.apply(if named.is_some() { Event::Answered } else { Event::Silent });
    }

    /// Records that the version chosen last could not be loaded.
    pub fn record_failure(&mut self, version: u64) {
        if self.machine.state() == State::Published {
            self.failed = Some(version);
        }
        self.machine.apply(Event::Failed);
    }

    /// Records that there is nothing to choose: the engine holds a version, or operators have
    /// announced one.
    pub fn settle(&mut self) {
        (self.failed, self.named) = (None, None);
        self.machine.apply(Event::Settled);
    }
}
