//! QUIC transport between the system's processes.

pub mod connections;
pub mod frame;
pub mod rotate;
pub mod serve;
pub mod tls;
pub mod traffic;

pub use self::{
    connections::{PeerConnections, call},
    frame::{read_message, write_message},
    rotate::watch_keys,
    serve::listen,
    tls::Tls,
    traffic::{TrafficCounter, WireTraffic},
};
