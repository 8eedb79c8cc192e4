//! Simulated hosted platform: its store, and endpoints that callers reach through gateways.

mod cluster;
mod engine;
mod fragile;
mod loaders;
mod settings;
mod store;
mod weights;
mod worker;

pub use self::{
    cluster::{Call, Cluster, request},
    engine::{EngineRun, Load, OrderFate, Step, WeightEngine},
    fragile::{Fragile, FragileArrival, FragileRecord},
    loaders::{Loader, LoaderFleet},
    settings::{add_engine, gateway_config, gateway_settings, loopback_addr, registry_entry},
    store::{Store, StoreCopy},
    weights::{CHUNKS, ListFault, MODEL, OriginCalls, Outage, WeightOrigin},
    worker::{Arrival, Behaviour, Leave, Worker},
};
