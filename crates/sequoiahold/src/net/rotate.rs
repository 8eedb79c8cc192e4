//! Rereads the keys when their files change, without a restart.

use std::{cell::RefCell, rc::Rc, time::Duration};

use quinn::Endpoint;

use super::tls::{Tls, changed};
use crate::{metrics::Metrics, settings::Keys};

/// Time between two looks at the files.
const LOOK: Duration = Duration::from_secs(1);

/// Watches the files of the keys and puts changed ones in force.
pub async fn rotate(keys: Keys, shared: Rc<RefCell<Tls>>, listening: Endpoint, metrics: Metrics) {
    let mut seen = shared.borrow().changed;
    loop {
        actix_rt::time::sleep(LOOK).await;
        let Ok(now) = changed(&keys) else { continue };
        if now == seen {
            continue;
        }
        seen = now;
        match Tls::load(&keys) {
            Ok(tls) => {
                listening.set_server_config(Some(tls.server.clone()));
                shared.replace(tls);
                metrics.count("keys.rotated");
                log::info!("new keys are in force");
            }
            Err(error) => {
                metrics.count("keys.refused");
                log::warn!("new keys were not taken, the old ones stay in force: {error:#}");
            }
        }
    }
}
