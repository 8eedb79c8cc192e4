//! Discrete-event simulation of the decision core with fake engines, messages and faults.

mod calls;
mod deliver;
mod engine;
mod faults;
mod fleet;
mod message;
mod outputs;
mod simulation;

pub use self::{
    calls::{CallId, CallRecord, CallRequest, Outcome},
    engine::FakeEngine,
    faults::Faults,
    fleet::SimulationConfig,
    message::Message,
    simulation::Simulation,
};
