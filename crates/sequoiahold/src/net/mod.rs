//! QUIC connections between the system's processes.

pub mod connections;
pub mod frame;
pub mod rotate;
pub mod serve;
pub mod tls;
pub mod traffic;

pub use self::{
    connections::{Links, call},
    frame::{read, write},
    rotate::rotate,
    serve::listen,
    tls::Tls,
    traffic::{Traffic, Wire},
};
