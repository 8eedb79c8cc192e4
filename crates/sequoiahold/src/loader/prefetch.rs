//! Transfers a newer version while the engine has yet to load the one before it.

use std::time::Duration;

use sequoiahold_core::direct::platform::Codec;

use super::{
    Loader, RETRY_DELAY, sources,
    target::{self, Target},
    transfer::{self, Staging, TransferEnd},
};

/// Interval between checks for a newer version.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stores the chunks of the version announced after `target` as soon as those of `target` are held;
/// ends only when it is dropped.
pub(super) async fn run<C: Codec>(loader: &Loader<C>, target: &Target) {
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        if !target::is_whole(loader, target) {
            continue;
        }
        let Some(newer) = target::newer(loader, target) else { continue };
        if target::is_whole(loader, &newer) {
            continue;
        }
        if let Err(error) = transfer_chunks(loader, &newer).await {
            log::debug!("no chunk list of version {} yet: {error:#}", newer.version);
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Transfers the chunks of a version without staging them.
async fn transfer_chunks<C: Codec>(loader: &Loader<C>, newer: &Target) -> anyhow::Result<()> {
    let list = sources::chunk_list(loader, &newer.model, newer.version).await?;
    if transfer::run(loader, newer, &list, Staging::Deferred).await == TransferEnd::Complete {
        log::info!(version = newer.version; "chunks held in advance");
    }
    Ok(())
}
