//! The commands that people use.

pub mod check;
pub mod diff;
pub mod explain;
pub mod files;
pub mod render;
pub mod status;
