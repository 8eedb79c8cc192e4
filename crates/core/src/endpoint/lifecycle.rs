//! The life of an endpoint process.

use serde::{Deserialize, Serialize};

use crate::chart::Chart;

/// The chart of an endpoint's life.
const CHART: &str = include_str!("../../charts/endpoint.json");

/// The state of an endpoint process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LifecycleState {
    /// It takes no new work and lets its requests finish.
    Draining,
    /// It draws the weights of the wanted version.
    Drawing,
    /// It gives the engine the whole weights.
    Loading,
    /// The engine holds the wanted version.
    Serving,
    /// It has no configuration yet.
    Starting,
    /// Its requests have finished.
    Stopped,
}

/// What happens to an endpoint process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LifecycleEvent {
    /// It was told to stop.
    Drain,
    /// Its last request finished.
    Idle,
    /// The engine no longer holds the version.
    Lost,
    /// An order to load is given again.
    Retry,
    /// The engine shows the wanted version.
    Serve,
    /// The configuration wants another version.
    Want,
    /// All chunks are held.
    Whole,
}

/// Reads the chart of an endpoint's life.
pub(super) fn chart() -> Chart<LifecycleState, LifecycleEvent> {
    Chart::parse(CHART).expect("the committed chart is sound")
}
