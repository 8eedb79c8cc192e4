//! Separate loopback networks for deployments that run at the same time.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
};

use anyhow::Context as _;

/// Second octets of the networks that tests use; the declared deployments use lower ones.
const SECOND_OCTETS: std::ops::Range<u32> = 64..250;
/// Port on which a listener reserves a network.
const LOCK_PORT: u16 = 7399;

/// A loopback network `127.octet.0.0/16`, reserved on this machine until it is dropped.
#[derive(Debug)]
pub struct Network {
    octet: u8,
    _lock: TcpListener,
}

impl Network {
    /// Reserves the first free network, or returns an error if all are in use.
    pub fn reserve() -> anyhow::Result<Self> {
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

    /// Maps a declared IPv4 address to this network; an IPv6 address is returned unchanged.
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
