//! Reads the platform's list of VMs for an event loop.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use sequoiahold_core::{ids::VmId, member::VmState, units::Span};

use crate::platform::Platform;

/// Reads the list again and again until `take` returns false.
pub async fn list_vms(
    platform: Platform,
    interval: Span,
    seed: u64,
    mut take: impl FnMut(BTreeMap<VmId, VmState>) -> bool,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    loop {
        match platform.vms().await {
            Ok(list) => {
                if !take(list) {
                    return;
                }
            }
            Err(error) => log::debug!("list of VMs: {error:?}"),
        }
        let pause = rng.random_range(interval.0 / 2..=interval.0);
        actix_rt::time::sleep(Duration::from_micros(pause)).await;
    }
}
