//! Decision logic of gateways, which send requests directly to endpoints, and of weight loaders.

pub mod availability;
pub mod catalog;
pub mod cells;
pub mod endpoint_notices;
pub mod endpoint_state;
pub mod engine_load;
pub mod engine_model;
pub mod engine_probes;
pub mod event_splitter;
pub mod freshness;
pub mod load_announcer;
pub mod load_exchange;
pub mod load_proof;
pub mod load_reports;
pub mod load_schedule;
pub mod membership;
pub mod mirror;
pub mod part_suspects;
pub mod pause;
mod placement;
pub mod platform;
pub mod rate_limit;
pub mod retry_budget;
pub mod scheduler;
pub mod send_time;
pub mod view;
pub mod wait_queue;
