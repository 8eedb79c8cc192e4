//! Events of the endpoint's event loop.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use sequoiahold_core::{
    declare::PublishedSet,
    endpoint::{Decision, EngineState, OfferedCall},
    gate::{Ended, LookId, Ticket},
    ids::{ClientId, Digest, ServiceId, VersionId, VmId},
    member::VmState,
    once::{CallOutcome, Handover, OnceTicket},
    proto::{Beat, KeysAsk},
    refuse::{Failure, Refusal},
    weights::{Manifest, PullError},
};
use tokio::sync::oneshot;

use crate::status::Status;

/// What the event loop is told or asked.
#[derive(Debug)]
pub enum Event {
    /// A published set was read.
    ConfigOffered(Arc<PublishedSet>),
    /// The platform's list of VMs was read.
    VmsListed(BTreeMap<VmId, VmState>),
    /// The engine showed its state at a look, or did not answer.
    EngineProbed(LookId, Option<EngineState>),
    /// A request asks to pass the gate.
    Admit(AdmissionRequest),
    /// The head of an answer shows what the engine bears.
    AnswerHead(Ticket, u32),
    /// A request that passed has ended.
    CallEnded(OfferedCall, CallOutcome, Ended),
    /// The engine, which now shows this start, crashed under a request.
    EngineCrashed(OfferedCall, u64, oneshot::Sender<Failure>),
    /// Another endpoint handed over keys.
    HandoverReceived(VmId, Handover),
    /// Another endpoint asks for its keys.
    GetHandover(Box<KeysAsk>, oneshot::Sender<Handover>),
    /// A ticket is asked for.
    IssueTicket(ClientId, ServiceId, oneshot::Sender<Result<OnceTicket, Refusal>>),
    /// The manifest of a version was read, or could not be.
    ManifestRead(VersionId, Option<Manifest>),
    /// A draw has ended with a chunk, or without.
    ChunkFetched(Digest, Result<Bytes, PullError>),
    /// A peer told which chunks of a manifest it holds, or gave no answer.
    ChunkBitmapReceived(VmId, Option<Vec<u8>>),
    /// An order to load a version is about to be given; whether it still may is asked for.
    ConfirmLoad(VersionId, oneshot::Sender<bool>),
    /// A peer told its state.
    PeerHeartbeat(Box<Beat>),
    /// The engine took the weights of a version and an order to load it, or did not.
    LoadFinished(VersionId, bool),
    /// A peer asks which chunks of a manifest are held.
    GetChunkBitmap(Digest, oneshot::Sender<Vec<u8>>),
    /// An entry tells its state and asks for this process's.
    EntryHeartbeat(Box<Beat>, oneshot::Sender<Beat>),
    /// The status is asked for.
    GetStatus(oneshot::Sender<Status>),
    /// The process was told to stop; the number of requests in progress is asked for.
    Drain(oneshot::Sender<usize>),
}

/// A request that asks to pass the gate.
#[derive(Debug)]
pub struct AdmissionRequest {
    /// The request.
    pub offered: OfferedCall,
    /// Whether a look at the engine has begun and ended since the request came.
    pub probed: bool,
    /// Takes the decision.
    pub reply: oneshot::Sender<Decision>,
}
