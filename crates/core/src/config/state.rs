//! The state machine of configuration sync.

use serde::{Deserialize, Serialize};

use crate::chart::Chart;

/// The transitions of the state machine, as JSON.
const CHART: &str = include_str!("../../charts/configuration.json");

/// The state of configuration sync in a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigState {
    /// No set is in force, and the seeds have been asked for theirs.
    Asking,
    /// A set is in force and no fetch is running.
    Current,
    /// No set is in force and one is being fetched.
    Joining,
    /// No set is in force, and the seeds have answered or timed out.
    Unconfigured,
    /// A set is in force and a newer one is being fetched.
    Updating,
}

/// An event of configuration sync.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEvent {
    /// The fetched set was adopted.
    Adopt,
    /// All seeds have answered or timed out.
    Answered,
    /// The fetch failed or its set was refused.
    Fail,
    /// A source offers a newer set.
    Offer,
}

/// Parses the embedded chart.
pub(super) fn chart() -> Chart<ConfigState, ConfigEvent> {
    Chart::parse(CHART).expect("the embedded chart is valid")
}
