//! Declarations: the objects that operators write, their validation and their published form.

pub mod bounds;
pub mod check;
mod consistency;
pub mod diff;
pub mod fleet;
pub mod load;
pub mod object;
pub mod publish;
pub mod unique_keys;

pub use self::{
    check::check,
    diff::{Diff, VersionChange, ZoneDownload},
    fleet::Fleet,
    load::{Declaration, DeclarationError, DeclarationErrors, SourceLocation},
    object::*,
    publish::{Head, HeadEntry, PublishedSet, SetError, SetId},
};
