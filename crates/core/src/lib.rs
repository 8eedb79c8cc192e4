//! Sans-I/O core of sequoiahold: state machines that take messages and return actions, without
//! sockets, clocks or threads.

pub mod adopt;
pub mod budget;
pub mod chart;
pub mod config;
pub mod declare;
pub mod direct;
pub mod endpoint;
pub mod entry;
pub mod gate;
pub mod histogram;
pub mod ids;
pub mod lease;
pub mod once;
pub mod proto;
pub mod queue;
pub mod refusal;
pub mod rendezvous;
pub mod route;
pub mod suspect;
pub mod time;
pub mod units;
pub mod vm_state;
pub mod weights;
