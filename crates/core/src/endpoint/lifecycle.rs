//! Lifecycle of an endpoint process.

use serde::{Deserialize, Serialize};

use crate::chart::Chart;

/// The state chart of an endpoint's lifecycle.
const CHART: &str = include_str!("../../charts/endpoint.json");

/// The lifecycle state of an endpoint process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LifecycleState {
    /// The process accepts no new requests and lets the running ones finish.
    Draining,
    /// The process pulls the weights of the target version.
    Drawing,
    /// The process sends the complete weights to the engine.
    Loading,
    /// The engine has loaded the target version.
    Serving,
    /// The process has no configuration yet.
    Starting,
    /// All requests have finished after draining.
    Stopped,
}

/// An event in the lifecycle of an endpoint process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LifecycleEvent {
    /// The process was told to stop.
    Drain,
    /// The last request finished while the process was draining.
    Idle,
    /// The engine no longer has the target version loaded.
    Lost,
    /// A load command is sent again.
    Retry,
    /// The engine reports the target version.
    Serve,
    /// The configuration declares another target version.
    #[serde(rename = "want")]
    TargetChanged,
    /// All chunks of the target version are stored.
    #[serde(rename = "whole")]
    WeightsComplete,
}

/// Parses the state chart of an endpoint's lifecycle.
pub(super) fn chart() -> Chart<LifecycleState, LifecycleEvent> {
    Chart::parse(CHART).expect("the built-in state chart is valid")
}
