//! Events of the endpoint's event loop.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use sequoiahold_core::{
    declare::PublishedSet,
    endpoint::{Decision, EngineState, OfferedCall},
    gate::{ProbeId, RequestEnd, RunId},
    ids::{ClientId, Digest, ServiceId, VersionId, VmId},
    once::{CallOutcome, Handover, OnceTicket},
    proto::{Heartbeat, KeysQuery},
    refusal::{Failure, Refusal},
    vm_state::VmState,
    weights::{Manifest, PullError},
};
use tokio::sync::oneshot;

use crate::status::Status;

/// What the event loop is told or asked.
#[derive(Debug)]
pub enum Event {
    /// A published set was read.
    Offer(Arc<PublishedSet>),
    /// The platform's list of VMs was read.
    Vms(BTreeMap<VmId, VmState>),
    /// The engine showed its state at a look, or did not answer.
    Engine(ProbeId, Option<EngineState>),
    /// A request asks to pass the gate.
    Admit(Admit),
    /// The head of an answer shows what the engine bears.
    Head(RunId, u32),
    /// A request that passed has ended.
    Ended(OfferedCall, CallOutcome, RequestEnd),
    /// The engine, which now shows this start, crashed under a request.
    EngineCrashed(OfferedCall, u64, oneshot::Sender<Failure>),
    /// Another endpoint handed over keys.
    Keys(VmId, Handover),
    /// Another endpoint asks for its keys.
    TellKeys(Box<KeysQuery>, oneshot::Sender<Handover>),
    /// A ticket is asked for.
    Ticket(ClientId, ServiceId, oneshot::Sender<Result<OnceTicket, Refusal>>),
    /// The manifest of a version was read, or could not be.
    Manifest(VersionId, Option<Manifest>),
    /// A draw has ended with a chunk, or without.
    Drawn(Digest, Result<Bytes, PullError>),
    /// A peer told which chunks of a manifest it holds, or gave no answer.
    Have(VmId, Option<Vec<u8>>),
    /// An order to load a version is about to be given; whether it still may is asked for.
    Confirm(VersionId, oneshot::Sender<bool>),
    /// A peer told its state.
    Beat(Box<Heartbeat>),
    /// The engine took the weights of a version and an order to load it, or did not.
    Loaded(VersionId, bool),
    /// A peer asks which chunks of a manifest are held.
    TellHave(Digest, oneshot::Sender<Vec<u8>>),
    /// An entry tells its state and asks for this process's.
    Tell(Box<Heartbeat>, oneshot::Sender<Heartbeat>),
    /// The status is asked for.
    Status(oneshot::Sender<Status>),
    /// The process was told to stop; the number of requests in progress is asked for.
    Drain(oneshot::Sender<usize>),
}

/// A request that asks to pass the gate.
#[derive(Debug)]
pub struct Admit {
    /// The request.
    pub offered: OfferedCall,
    /// Whether a look at the engine has begun and ended since the request came.
    pub looked: bool,
    /// Takes the decision.
    pub reply: oneshot::Sender<Decision>,
}
