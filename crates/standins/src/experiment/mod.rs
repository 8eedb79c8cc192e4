//! Experiments that measure decisions of the core in virtual time.

pub mod config;
