//! Experiments that measure decisions of the core in virtual time.

pub mod burst;
pub mod chart;
pub mod routing;
pub mod traffic;
pub mod zones;
