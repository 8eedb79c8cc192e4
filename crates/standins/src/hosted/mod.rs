//! Simulated hosted platform: its store, and endpoints that callers reach through gateways.

mod fragile;
mod store;
mod worker;

pub use self::{
    fragile::{Arrival, Fragile, FragileRecord},
    store::Store,
    worker::{Behaviour, Worker},
};
