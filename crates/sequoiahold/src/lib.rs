//! The processes of sequoiahold: network and file I/O around the logic of `sequoiahold-core`.

pub mod alarm;
pub mod cli;
pub mod client;
pub mod clock;
pub mod command;
pub mod config;
pub mod endpoint;
pub mod entry;
pub mod exposition;
pub mod gateway;
pub mod h1;
pub mod help;
pub mod http;
pub mod loader;
pub mod logging;
pub mod metrics;
pub mod net;
pub mod node;
pub mod platform;
pub mod reader;
pub mod settings;
pub mod status;
