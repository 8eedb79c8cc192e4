//! Reloads the TLS keys when their files change, without a restart.

use std::{cell::RefCell, rc::Rc, time::Duration};

use quinn::Endpoint;

use super::tls::{Tls, modified_times};
use crate::{metrics::Metrics, settings::Keys};

/// Interval between checks of the files' modification times.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reloads changed key files for new connections; if that fails, the old keys stay in use.
pub async fn watch_keys(keys: Keys, tls: Rc<RefCell<Tls>>, endpoint: Endpoint, metrics: Metrics) {
    let mut seen = tls.borrow().modified;
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let Ok(now) = modified_times(&keys) else { continue };
        if now == seen {
            continue;
        }
        seen = now;
        match Tls::load(&keys) {
            Ok(reloaded) => {
                endpoint.set_server_config(Some(reloaded.server.clone()));
                tls.replace(reloaded);
                metrics.count("keys.rotated");
                log::info!("changed TLS keys loaded");
            }
            Err(error) => {
                metrics.count("keys.refused");
                log::warn!("cannot load changed TLS keys; the old keys stay in use: {error:#}");
            }
        }
    }
}
