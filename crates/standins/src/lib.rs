//! Simulated services (stand-ins) that Sequoiahold connects to, with load, benches and experiments.

pub mod bench;
pub mod callers;
pub mod cli;
pub mod content;
pub mod demo;
pub mod deployment;
pub mod driver;
pub mod engine;
pub mod experiment;
pub mod fixture;
pub mod hosted;
pub mod keys;
pub mod load;
pub mod origin;
pub mod plain;
pub mod platform;
pub mod processes;
pub mod relay;
pub mod reply;
pub mod soak;
pub mod store;
