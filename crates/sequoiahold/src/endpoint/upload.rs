//! Uploads of chunks to peers, with limits on their number and rate.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use quinn::SendStream;
use sequoiahold_core::{
    ids::Digest,
    proto::Reply,
    units::Bytes as Size,
    weights::{Pacer, UploadLimits},
};

use super::store::ChunkStore;
use crate::{clock::Clock, net::write_message};

/// Uploads stored chunks to peers.
#[derive(Clone)]
pub struct Uploader {
    /// The clock of the process.
    pub clock: Clock,
    /// The store of chunks.
    pub store: ChunkStore,
    /// The maximum number of concurrent uploads.
    pub max_uploads: u32,
    /// The pacer of outbound weight traffic on the VM's link.
    pub pacer: Rc<RefCell<Pacer>>,
    /// The number of uploads in progress.
    pub active_uploads: Rc<Cell<u32>>,
}

impl Uploader {
    /// Sends a chunk once the pacer allows it, or a retry delay if all upload slots are taken.
    pub async fn serve_chunk(&self, digest: Digest, send: &mut SendStream) -> anyhow::Result<()> {
        let Some(chunk) = self.store.get(&digest) else {
            return write_message(send, &Reply::Chunk(None)).await;
        };
        let size = Size(chunk.len() as u64);
        let limits =
            UploadLimits { max_uploads: self.max_uploads, rate: self.pacer.borrow().rate() };
        if let Some(delay) = limits.retry_delay(self.active_uploads.get(), size) {
            return write_message(send, &Reply::Busy(delay)).await;
        }
        let _slot = UploadSlot::acquire(&self.active_uploads);
        let start = self.pacer.borrow_mut().reserve(self.clock.now(), size);
        self.clock.sleep_until(Some(start)).await;
        write_message(send, &Reply::Chunk(Some(chunk))).await?;
        send.finish()?;
        send.stopped().await?;
        Ok(())
    }
}

/// A slot for one concurrent upload, released on drop.
struct UploadSlot(Rc<Cell<u32>>);

impl UploadSlot {
    fn acquire(active_uploads: &Rc<Cell<u32>>) -> Self {
        active_uploads.set(active_uploads.get() + 1);
        Self(active_uploads.clone())
    }
}

impl Drop for UploadSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
