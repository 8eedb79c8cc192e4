//! Alarms in the status of a process that need an operator's attention.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::status::Status;

/// A condition that needs an operator's attention.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alarm {
    /// Downloaded chunks did not match the digest in the manifest.
    CorruptChunks,
    /// Two sets were published with the same generation.
    GenerationConflict,
    /// Changed key files could not be read; the old keys stay in use.
    KeysRefused,
    /// No endpoint known to the entry accepts new requests.
    NoEndpoint,
    /// The endpoint accepts no new requests.
    NotOpen,
    /// A published set was invalid and was rejected.
    SetRefused,
    /// The engine has accepted commands of a newer process.
    Superseded,
    /// The process has no configuration yet.
    Unconfigured,
}

impl Alarm {
    /// Returns the alarms of a status in the order of their names.
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
            Self::CorruptChunks => "corrupt_chunks: chunks did not match their digest",
            Self::GenerationConflict => "generation_conflict: two sets have the same generation",
            Self::KeysRefused => "keys_refused: changed TLS keys cannot be read",
            Self::NoEndpoint => "no_endpoint: no endpoint accepts new requests",
            Self::NotOpen => "not_open: this endpoint accepts no new requests",
            Self::SetRefused => "set_refused: a published set is invalid",
            Self::Superseded => "superseded: the engine accepted orders of a newer process",
            Self::Unconfigured => "unconfigured: the process has no configuration",
        })
    }
}
