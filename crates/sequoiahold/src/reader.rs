//! Polls the platform's list of VMs for the configuration task and an event loop.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use sequoiahold_core::{ids::VmId, units::Span, vm_state::VmState};
use tokio::sync::mpsc;

use crate::{config::Handle, platform::PlatformClient};

/// Starts to poll the list and passes it to the configuration task and to `events`.
pub fn start<E: 'static>(
    platform: PlatformClient,
    (interval, seed): (Span, u64),
    config: Handle,
    events: mpsc::UnboundedSender<E>,
    event: fn(BTreeMap<VmId, VmState>) -> E,
) {
    actix_rt::spawn(poll_vm_list(platform, interval, seed, move |list| {
        config.update_vm_states(list.clone());
        events.send(event(list)).is_ok()
    }));
}

/// Polls the list at random pauses of `interval / 2` to `interval`, until `on_list` returns false.
async fn poll_vm_list(
    platform: PlatformClient,
    interval: Span,
    seed: u64,
    mut on_list: impl FnMut(BTreeMap<VmId, VmState>) -> bool,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    loop {
        match platform.list_vms().await {
            Ok(list) => {
                if !on_list(list) {
                    return;
                }
            }
            Err(error) => log::debug!("cannot read the list of VMs: {error:?}"),
        }
        let pause = rng.random_range(interval.0 / 2..=interval.0);
        actix_rt::time::sleep(Duration::from_micros(pause)).await;
    }
}
