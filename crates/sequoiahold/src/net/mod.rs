//! QUIC connections between the system's processes.

pub mod frame;
pub mod link;
pub mod rotate;
pub mod serve;
pub mod tls;
pub mod traffic;

pub use self::{
    frame::{read, write},
    link::{Links, call},
    rotate::rotate,
    serve::listen,
    tls::Tls,
    traffic::{Traffic, Wire},
};
