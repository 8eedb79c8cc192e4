//! The published state as one process passes it on to another: packed, and made once for peers that
//! lag alike.

use std::io::{self, Read as _, Write as _};

use anyhow::{Context as _, bail};
use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use sequoiahold_core::{
    direct::{
        mirror::{Mirror, Revision, StateDelta},
        view::{AnnouncedVersion, View},
    },
    time::Time,
    units::Span,
};
use serde::{Deserialize, Serialize};

/// Largest published state that is taken from a peer, unpacked.
const MAX_STATE: u64 = 64_000_000;
/// Time for which an answer is given again; ages of versions in it are wrong by this at most.
const KEEP: Span = Span::millis(100);

/// What a process passes on of the published state.
#[derive(Deserialize, Serialize)]
pub(super) struct State {
    /// The changes that the peer lacks.
    pub(super) sync: StateDelta,
    /// The ages of the wanted versions.
    pub(super) named: Vec<AnnouncedVersion>,
}

/// The last answer, for peers that ask for the same.
#[derive(Default)]
pub(super) struct Packed(Option<(Time, Revision, Revision, Bytes)>);

impl State {
    /// Reads what a peer passed on.
    pub(super) fn unpack(packed: &[u8]) -> anyhow::Result<Self> {
        let mut bytes = vec![];
        let mut unpacked = DeflateDecoder::new(packed).take(MAX_STATE + 1);
        unpacked.read_to_end(&mut bytes).context("published state of a peer")?;
        if bytes.len() as u64 > MAX_STATE {
            bail!("published state of a peer is larger than {MAX_STATE} B");
        }
        postcard::from_bytes(&bytes).context("published state of a peer")
    }

    fn pack(&self) -> io::Result<Bytes> {
        let bytes = postcard::to_stdvec(self).map_err(io::Error::other)?;
        let mut packed = DeflateEncoder::new(vec![], Compression::fast());
        packed.write_all(&bytes)?;
        Ok(packed.finish()?.into())
    }
}

impl Packed {
    /// Returns what a peer lacks that knows all changes up to `after`.
    pub(super) fn since(
        &mut self,
        now: Time,
        after: Revision,
        mirror: &Mirror,
        view: &View,
    ) -> io::Result<Bytes> {
        if let Some((made, kept, at, body)) = &self.0
            && (*kept, *at) == (after, mirror.revision())
            && now <= *made + KEEP
        {
            return Ok(body.clone());
        }
        let body = State { sync: mirror.delta_since(after), named: view.announced_versions(now) }
            .pack()?;
        self.0 = Some((now, after, mirror.revision(), body.clone()));
        Ok(body)
    }
}
