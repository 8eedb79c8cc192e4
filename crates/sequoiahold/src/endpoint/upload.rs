//! Giving chunks to peers, bounded and paced.

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

use super::store::Store;
use crate::{clock::Clock, net::write_message};

/// Gives chunks to peers.
#[derive(Clone)]
pub struct Uploader {
    /// The clock.
    pub clock: Clock,
    /// The chunks that are held.
    pub store: Store,
    /// The chunks that are given at the same time.
    pub slots: u32,
    /// The pace of the VM's link.
    pub pacer: Rc<RefCell<Pacer>>,
    /// The chunks that are on their way.
    pub busy: Rc<Cell<u32>>,
}

impl Uploader {
    /// Answers a call for a chunk: gives it once the pace allows, or says when to come again.
    pub async fn answer(&self, digest: Digest, send: &mut SendStream) -> anyhow::Result<()> {
        let Some(chunk) = self.store.get(&digest) else {
            return write_message(send, &Reply::Chunk(None)).await;
        };
        let size = Size(chunk.len() as u64);
        let uploads = UploadLimits { max_uploads: self.slots, rate: self.pacer.borrow().rate() };
        if let Some(pause) = uploads.retry_delay(self.busy.get(), size) {
            return write_message(send, &Reply::Later(pause)).await;
        }
        let _slot = Slot::take(&self.busy);
        let start = self.pacer.borrow_mut().reserve(self.clock.now(), size);
        self.clock.sleep_until(Some(start)).await;
        write_message(send, &Reply::Chunk(Some(chunk))).await?;
        send.finish()?;
        send.stopped().await?;
        Ok(())
    }
}

/// One of the uploads at the same time, freed when dropped.
struct Slot(Rc<Cell<u32>>);

impl Slot {
    fn take(busy: &Rc<Cell<u32>>) -> Self {
        busy.set(busy.get() + 1);
        Self(busy.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
