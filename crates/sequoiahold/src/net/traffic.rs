//! Traffic between the system's processes, including headers and acknowledgements.

use std::{cell::RefCell, rc::Rc};

use quinn::Connection;
use sequoiahold_core::units::Bytes;
use serde::{Deserialize, Serialize};

/// Size of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Bytes and datagrams on the wire.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireTraffic {
    /// Bytes sent.
    pub sent: Bytes,
    /// Bytes received.
    pub received: Bytes,
    /// Datagrams sent and received.
    pub datagrams: u64,
}

/// Sums the traffic of all connections of a process.
#[derive(Clone, Debug, Default)]
pub struct TrafficCounter {
    open: Rc<RefCell<Vec<Connection>>>,
    closed_total: Rc<RefCell<WireTraffic>>,
}

impl TrafficCounter {
    /// Includes a connection in the total.
    pub fn track(&self, connection: &Connection) {
        self.retire_closed();
        self.open.borrow_mut().push(connection.clone());
    }

    /// Returns the traffic of all connections, open and closed.
    pub fn total(&self) -> WireTraffic {
        self.retire_closed();
        let open = self.open.borrow();
        open.iter().fold(*self.closed_total.borrow(), |sum, connection| {
            sum.plus(connection_traffic(connection))
        })
    }

    fn retire_closed(&self) {
        let mut closed = self.closed_total.borrow_mut();
        self.open.borrow_mut().retain(|connection| {
            let open = connection.close_reason().is_none();
            if !open {
                *closed = closed.plus(connection_traffic(connection));
            }
            open
        });
    }
}

impl WireTraffic {
    fn plus(self, other: Self) -> Self {
        Self {
            sent: Bytes(self.sent.0 + other.sent.0),
            received: Bytes(self.received.0 + other.received.0),
            datagrams: self.datagrams + other.datagrams,
        }
    }
}

fn connection_traffic(connection: &Connection) -> WireTraffic {
    let stats = connection.stats();
    let (sent, received) = (stats.udp_tx, stats.udp_rx);
    WireTraffic {
        sent: Bytes(sent.bytes + sent.datagrams * DATAGRAM_HEADER_BYTES),
        received: Bytes(received.bytes + received.datagrams * DATAGRAM_HEADER_BYTES),
        datagrams: sent.datagrams + received.datagrams,
    }
}
