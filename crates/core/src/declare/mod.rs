//! Declarations: the objects that operators write, and the fleet that a sound set makes.

pub mod bounds;
pub mod check;
pub mod fleet;
pub mod load;
pub mod object;
pub mod publish;
pub mod unique;
mod whole;

pub use self::{
    check::check,
    fleet::Fleet,
    load::{Declared, Fault, ReadError, Source},
    object::*,
    publish::{Head, HeadEntry, PublishError, Published, SetId},
};
