//! Compressed messages with the published state for peers, cached for peers that lag alike.

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

/// Maximum decompressed size of the published state of a peer.
const MAX_STATE_BYTES: u64 = 64_000_000;
/// Time for which a response is reused; the ages of versions in it are off by at most this.
pub(super) const CACHE_LIFETIME: Span = Span::millis(100);

/// The published state as sent to a lagging peer.
#[derive(Deserialize, Serialize)]
pub(super) struct StateMessage {
    /// The changes that the peer lacks.
    #[serde(rename = "sync")]
    pub(super) delta: StateDelta,
    /// The announced versions with their ages.
    #[serde(rename = "named")]
    pub(super) announced: Vec<AnnouncedVersion>,
    /// Those that the sender saw as they were announced; follows the encoded message, where processes
    /// of the release before ignore it.
    #[serde(skip)]
    pub(super) sightings: Vec<AnnouncedVersion>,
}

/// The last response: its time, the revision known to the peer, the revision of this process, and
/// the body.
#[derive(Default)]
pub(super) struct DeltaCache(Option<(Time, Revision, Revision, Bytes)>);

impl StateMessage {
    /// Decompresses and decodes a message; fails if it is malformed or exceeds [`MAX_STATE_BYTES`].
    pub(super) fn decode(compressed: &[u8]) -> anyhow::Result<Self> {
        let mut bytes = vec![];
        let mut decoder = DeflateDecoder::new(compressed).take(MAX_STATE_BYTES + 1);
        decoder
            .read_to_end(&mut bytes)
            .context("cannot decompress the published state of a peer")?;
        if bytes.len() as u64 > MAX_STATE_BYTES {
            bail!("published state of a peer exceeds {MAX_STATE_BYTES} bytes");
        }
        Self::from_bytes(&bytes).context("cannot decode the published state of a peer")
    }

    fn from_bytes(bytes: &[u8]) -> postcard::Result<Self> {
        let (message, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        let sightings = if rest.is_empty() { vec![] } else { postcard::from_bytes(rest)? };
        Ok(Self { sightings, ..message })
    }

    fn encode(&self) -> io::Result<Bytes> {
        let bytes = postcard::to_stdvec(self).map_err(io::Error::other)?;
        let bytes = postcard::to_extend(&self.sightings, bytes).map_err(io::Error::other)?;
        let mut encoder = DeflateEncoder::new(vec![], Compression::fast());
        encoder.write_all(&bytes)?;
        Ok(encoder.finish()?.into())
    }
}

impl DeltaCache {
    /// Returns the encoded message for a peer that knows all changes up to `after`.
    pub(super) fn delta_since(
        &mut self,
        now: Time,
        after: Revision,
        mirror: &Mirror,
        view: &View,
    ) -> io::Result<Bytes> {
        if let Some((created, cached_after, cached_revision, body)) = &self.0
            && (*cached_after, *cached_revision) == (after, mirror.revision())
            && now <= *created + CACHE_LIFETIME
        {
            return Ok(body.clone());
        }
        let body = StateMessage {
            delta: mirror.delta_since(after),
            announced: view.announced_versions(now),
            sightings: view.sightings(now),
        }
        .encode()?;
        self.0 = Some((now, after, mirror.revision(), body.clone()));
        Ok(body)
    }
}
