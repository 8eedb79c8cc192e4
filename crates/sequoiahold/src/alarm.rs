//! Alarms: what an operator should look at in the status of a process.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::status::Status;

/// Something that an operator should look at.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alarm {
    /// Chunks arrived with another digest than the manifest names.
    CorruptChunks,
    /// Two sets were published under one generation.
    GenerationConflict,
    /// Changed key files could not be read; the old keys are in force.
    KeysRefused,
    /// An entry knows no endpoint that takes new work.
    NoEndpoint,
    /// An endpoint takes no new work.
    NotOpen,
    /// A published set was unsound and was not taken.
    SetRefused,
    /// The engine has taken orders of a later process.
    Superseded,
    /// The process has no configuration.
    Unconfigured,
}

impl Alarm {
    /// Returns the alarms that a status raises.
    pub fn from_status(status: &Status) -> Vec<Self> {
        let is_nonzero = |name: &str| status.counters.get(name).is_some_and(|count| *count > 0);
        let entry = status.role == "entry";
        let raised = [
            (Self::CorruptChunks, is_nonzero("chunks.corrupt")),
            (Self::GenerationConflict, is_nonzero("config.conflicts")),
            (Self::KeysRefused, is_nonzero("keys.refused")),
            (Self::NoEndpoint, entry && !status.endpoints.values().any(|endpoint| endpoint.open)),
            (Self::NotOpen, !entry && !status.open),
            (Self::SetRefused, is_nonzero("config.refused")),
            (Self::Superseded, status.superseded),
            (Self::Unconfigured, status.generation.0 == 0),
        ];
        raised.into_iter().filter(|(_, raised)| *raised).map(|(alarm, _)| alarm).collect()
    }
}

impl fmt::Display for Alarm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::CorruptChunks => "corrupt_chunks: chunks arrived with another digest",
            Self::GenerationConflict => "generation_conflict: two sets share one generation",
            Self::KeysRefused => "keys_refused: changed keys cannot be read",
            Self::NoEndpoint => "no_endpoint: no endpoint takes new work",
            Self::NotOpen => "not_open: this endpoint takes no new work",
            Self::SetRefused => "set_refused: a published set is unsound",
            Self::Superseded => "superseded: the engine follows a later process",
            Self::Unconfigured => "unconfigured: there is no configuration",
        })
    }
}
