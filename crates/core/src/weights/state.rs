//! The state machine of a transfer.

use serde::{Deserialize, Serialize};

use crate::chart::Chart;

const STATE_CHART: &str = include_str!("../../charts/transfer.json");

/// The state of a transfer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransferState {
    /// Chunks are being received or announced by peers.
    #[serde(rename = "drawing")]
    Active,
    /// No chunk was received or newly announced within the stall timeout.
    Stalled,
    /// All chunks are held.
    #[serde(rename = "whole")]
    Complete,
}

/// An event that changes the state of a transfer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransferEvent {
    /// A chunk was received, or announced by a peer for the first time.
    Progress,
    /// The stall timeout passed without progress.
    Timeout,
    /// The last missing chunk was received.
    Complete,
}

/// Parses the embedded state chart; panics if it is malformed.
pub(super) fn state_chart() -> Chart<TransferState, TransferEvent> {
    Chart::parse(STATE_CHART).expect("embedded transfer state chart is valid")
}
