//! Decisions of a gateway, which sends requests straight to endpoints, and of a loader beside one.

pub mod catalog;
pub mod desk;
pub mod engine;
mod judge;
pub mod line;
pub mod mesh;
pub mod mirror;
pub mod repeats;
pub mod seam;
pub mod seat;
pub mod stream;
pub mod turns;
pub mod view;
