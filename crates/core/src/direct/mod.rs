//! Decisions of a gateway, which sends requests straight to endpoints, and of a loader beside one.

pub mod catalog;
pub mod endpoint_state;
pub mod engine_model;
pub mod event_splitter;
pub mod load_schedule;
pub mod membership;
pub mod mirror;
mod placement;
pub mod platform;
pub mod retry_budget;
pub mod scheduler;
pub mod view;
pub mod wait_queue;
