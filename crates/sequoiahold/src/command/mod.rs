//! The commands for operators.

pub mod check;
pub mod diff;
pub mod explain;
pub mod files;
pub mod render;
pub mod status;
