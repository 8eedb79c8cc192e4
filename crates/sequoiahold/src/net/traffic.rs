//! Bytes between the system's processes, headers and acknowledgements included.

use std::{cell::RefCell, rc::Rc};

use quinn::Connection;
use sequoiahold_core::units::Bytes;
use serde::{Deserialize, Serialize};

/// Bytes of the IP and UDP headers of a datagram over IPv4.
const HEADERS: u64 = 28;

/// Bytes and datagrams sent and received.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wire {
    /// Bytes sent.
    pub sent: Bytes,
    /// Bytes received.
    pub received: Bytes,
    /// Datagrams sent and received.
    pub datagrams: u64,
}

/// Adds up the traffic of all connections of a process.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    open: Rc<RefCell<Vec<Connection>>>,
    closed: Rc<RefCell<Wire>>,
}

impl Traffic {
    /// Counts a connection from now on.
    pub fn add(&self, connection: &Connection) {
        self.sweep();
        self.open.borrow_mut().push(connection.clone());
    }

    /// Returns what all connections have carried.
    pub fn total(&self) -> Wire {
        self.sweep();
        let open = self.open.borrow();
        open.iter().fold(*self.closed.borrow(), |sum, connection| sum.plus(carried(connection)))
    }

    fn sweep(&self) {
        let mut closed = self.closed.borrow_mut();
        self.open.borrow_mut().retain(|connection| {
            let open = connection.close_reason().is_none();
            if !open {
                *closed = closed.plus(carried(connection));
            }
            open
        });
    }
}

impl Wire {
    fn plus(self, other: Self) -> Self {
        Self {
            sent: Bytes(self.sent.0 + other.sent.0),
            received: Bytes(self.received.0 + other.received.0),
            datagrams: self.datagrams + other.datagrams,
        }
    }
}

fn carried(connection: &Connection) -> Wire {
    let stats = connection.stats();
    let (sent, received) = (stats.udp_tx, stats.udp_rx);
    Wire {
        sent: Bytes(sent.bytes + sent.datagrams * HEADERS),
        received: Bytes(received.bytes + received.datagrams * HEADERS),
        datagrams: sent.datagrams + received.datagrams,
    }
}
