//! A loopback network of its own for each deployment.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
};

use anyhow::Context as _;

/// The second octets that tests choose from; the declared deployments use lower ones.
const SECOND_OCTETS: std::ops::Range<u32> = 64..250;
/// The port whose listener marks a network as taken.
const LOCK_PORT: u16 = 7399;

/// A loopback network that no other deployment on this machine uses.
#[derive(Debug)]
pub struct Network {
    octet: u8,
    _lock: TcpListener,
}

impl Network {
    /// Takes the first free network.
    pub fn claim() -> anyhow::Result<Self> {
        let count = SECOND_OCTETS.end - SECOND_OCTETS.start;
        let octets = (0..count).map(|i| SECOND_OCTETS.start + (process::id() + i) % count);
        octets
            .map(|octet| octet as u8)
            .find_map(|octet| {
                let addr = (Ipv4Addr::new(127, octet, 255, 254), LOCK_PORT);
                Some(Self { octet, _lock: TcpListener::bind(addr).ok()? })
            })
            .context("no free loopback network")
    }

    /// Returns the address in this network that stands for a declared one.
    pub fn translate(&self, addr: SocketAddr) -> SocketAddr {
        match addr {
            SocketAddr::V4(v4) => {
                let [_, _, zone, host] = v4.ip().octets();
                (Ipv4Addr::new(127, self.octet, zone, host), v4.port()).into()
            }
            SocketAddr::V6(_) => addr,
        }
    }
}
