//! Simulated hosted platform: its store, and endpoints that callers reach through gateways.

mod store;
mod worker;

pub use self::{
    store::Store,
    worker::{Behaviour, Worker},
};
