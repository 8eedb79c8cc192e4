//! The state of a transfer.

use serde::{Deserialize, Serialize};

use crate::chart::Chart;

/// The chart of a transfer.
const STATE_CHART: &str = include_str!("../../charts/transfer.json");

/// The state of a transfer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransferState {
    /// Chunks arrive, or are seen at peers.
    #[serde(rename = "drawing")]
    Active,
    /// Nothing has arrived or been seen for some time.
    Stalled,
    /// All chunks are held.
    #[serde(rename = "whole")]
    Complete,
}

/// What happens to a transfer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransferEvent {
    /// A chunk arrived, or was seen at a peer for the first time.
    Progress,
    /// The time allowed without progress has passed.
    Timeout,
    /// The last missing chunk is held.
    Complete,
}

/// Reads the chart of a transfer.
pub(super) fn state_chart() -> Chart<TransferState, TransferEvent> {
    Chart::parse(STATE_CHART).expect("the committed chart is sound")
}
