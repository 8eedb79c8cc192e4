//! Events of the endpoint's event loop.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use sequoiahold_core::{
    declare::Published,
    endpoint::EngineState,
    gate::Ticket,
    ids::{Digest, Generation, ServiceId, VersionId, VmId},
    member::VmState,
    proto::Beat,
    refuse::Refusal,
    weights::{DrawError, Manifest},
};
use tokio::sync::oneshot;

use crate::status::Status;

/// What the event loop is told or asked.
#[derive(Debug)]
pub enum Event {
    /// A published set was read.
    Offer(Arc<Published>),
    /// The platform's list of VMs was read.
    Vms(BTreeMap<VmId, VmState>),
    /// The engine showed its state, or did not answer.
    Engine(Option<EngineState>),
    /// A request asks to pass the gate.
    Admit(Admit),
    /// A request that passed has ended.
    Finish(Ticket),
    /// The manifest of a version was read, or could not be.
    Manifest(VersionId, Option<Manifest>),
    /// A draw has ended with a chunk, or without.
    Drawn(Digest, Result<Bytes, DrawError>),
    /// A peer told which chunks of a manifest it holds, or gave no answer.
    Have(VmId, Option<Vec<u8>>),
    /// A peer told its state.
    Beat(Box<Beat>),
    /// The engine took the weights of a version and an order to load it, or did not.
    Loaded(VersionId, bool),
    /// A peer asks which chunks of a manifest are held.
    TellHave(Digest, oneshot::Sender<Vec<u8>>),
    /// A peer asks for the published set above a generation.
    Set(Generation, oneshot::Sender<Option<Arc<Published>>>),
    /// A peer asks for this process's state.
    Tell(oneshot::Sender<Beat>),
    /// The status is asked for.
    Status(oneshot::Sender<Status>),
    /// The process was told to stop; the number of requests in progress is asked for.
    Drain(oneshot::Sender<usize>),
}

/// A request that asks to pass the gate.
#[derive(Debug)]
pub struct Admit {
    /// The request.
    pub ticket: Ticket,
    /// The service that it asks for.
    pub service: ServiceId,
    /// Takes the decision: the version that answers, or a refusal.
    pub reply: oneshot::Sender<Result<Option<VersionId>, Refusal>>,
}
