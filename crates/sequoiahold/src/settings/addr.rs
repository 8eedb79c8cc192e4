//! Validation of the listen addresses of a process.

use std::{collections::BTreeMap, net::SocketAddr};

/// Checks the ports and addresses in pairs of key and listen address, and that none is used twice.
pub(super) fn check_listen_addrs(addrs: &[(&str, SocketAddr)]) -> Result<(), (String, String)> {
    let mut seen: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (key, addr) in addrs {
        if addr.port() == 0 {
            return Err(((*key).to_owned(), "must have a port above 0".to_owned()));
        }
        if *key == "peers" && addr.ip().is_unspecified() {
            let text = "must be the IP number at which other processes reach this VM";
            return Err(((*key).to_owned(), text.to_owned()));
        }
        if let Some(other) = seen.insert(*addr, key) {
            return Err(((*key).to_owned(), format!("must be another address than {other}")));
        }
    }
    Ok(())
}
