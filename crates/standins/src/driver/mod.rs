//! A driver of the decision core in virtual time: small fakes at its interfaces, messages with delays and faults.

mod calls;
mod deliver;
mod engine;
mod fleet;
mod message;
mod once;
mod perform;
mod world;

pub use self::{
    calls::{Asked, CallId, CallRecord, Outcome},
    engine::FakeEngine,
    fleet::Shape,
    message::Message,
    once::Keys,
    world::World,
};
