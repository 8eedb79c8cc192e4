//! The state of the configuration in a process.

use serde::{Deserialize, Serialize};

use crate::chart::Chart;

/// The chart of the configuration in a process.
const CHART: &str = include_str!("../../charts/configuration.json");

/// The state of the configuration in a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigState {
    /// It holds nothing and asks its seeds what they hold.
    Asking,
    /// A set is in force and no other is fetched.
    Current,
    /// It holds nothing and fetches a set.
    Joining,
    /// It holds nothing, and its seeds have answered or did not in time.
    Unconfigured,
    /// A set is in force and a newer one is fetched.
    Updating,
}

/// What happens to the configuration in a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEvent {
    /// The fetched set is in force.
    Adopt,
    /// The seeds have answered or did not in time.
    Answered,
    /// The fetched set could not be had or was refused.
    Fail,
    /// A newer set is known, and who holds it.
    Offer,
}

/// Reads the chart of the configuration in a process.
pub(super) fn chart() -> Chart<ConfigState, ConfigEvent> {
    Chart::parse(CHART).expect("the committed chart is sound")
}
