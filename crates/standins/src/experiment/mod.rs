//! Experiments that measure the decision core in virtual time.

pub mod burst;
pub mod chart;
pub mod config;
pub mod routing;
pub mod traffic;
pub mod weights;
pub mod zones;
