//! Simulated hosted platform: its store, and endpoints that callers reach through gateways.

mod cluster;
mod fragile;
mod settings;
mod store;
mod worker;

pub use self::{
    cluster::{Call, Cluster, request},
    fragile::{Fragile, FragileArrival, FragileRecord},
    settings::{gateway_config, gateway_settings, loopback_addr, registry_entry},
    store::{Store, StoreCopy},
    worker::{Arrival, Behaviour, Leave, Worker},
};
