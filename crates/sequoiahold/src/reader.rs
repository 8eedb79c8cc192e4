//! Reads the platform for an event loop: published sets and the list of VMs.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sequoiahold_core::{adopt::InForce, declare::Published, ids::VmId, member::VmState};
use tokio::sync::{mpsc, watch};

use crate::platform::Platform;

/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(500);
/// Time between two reads of the list of VMs.
const LIST: Duration = Duration::from_millis(1000);

/// Starts the reading tasks.
pub fn start<E: 'static>(
    platform: Platform,
    config: watch::Receiver<Option<InForce>>,
    events: mpsc::UnboundedSender<E>,
    offer: fn(Arc<Published>) -> E,
    vms: fn(BTreeMap<VmId, VmState>) -> E,
) {
    actix_rt::spawn(watch_head(platform.clone(), config, events.clone(), offer));
    actix_rt::spawn(list_vms(platform, events, vms));
}

async fn watch_head<E>(
    platform: Platform,
    config: watch::Receiver<Option<InForce>>,
    events: mpsc::UnboundedSender<E>,
    offer: fn(Arc<Published>) -> E,
) {
    let mut seen = None;
    loop {
        let read = async {
            let head = platform.head(seen).await?;
            let generation = head.generation.0;
            let held = config.borrow().as_ref().map(|now| now.published.clone());
            let parts = held.map(|published| published.parts.clone()).unwrap_or_default();
            let published = platform.published(head, &parts).await?;
            anyhow::Ok((generation, published))
        };
        match read.await {
            Ok((generation, published)) => {
                if seen != Some(generation) && events.send(offer(published)).is_err() {
                    return;
                }
                seen = Some(generation);
            }
            Err(error) => {
                log::debug!("configuration service: {error:#}");
                actix_rt::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn list_vms<E>(
    platform: Platform,
    events: mpsc::UnboundedSender<E>,
    vms: fn(BTreeMap<VmId, VmState>) -> E,
) {
    loop {
        match platform.vms().await {
            Ok(list) => {
                if events.send(vms(list)).is_err() {
                    return;
                }
            }
            Err(error) => log::debug!("list of VMs: {error:#}"),
        }
        actix_rt::time::sleep(LIST).await;
    }
}
