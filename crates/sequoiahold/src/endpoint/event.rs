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

/// An event that the event loop handles.
#[derive(Debug)]
pub enum Event {
    /// The configuration task received a published configuration.
    ConfigOffered(Arc<PublishedSet>),
    /// The platform's list of VMs was read.
    VmsListed(BTreeMap<VmId, VmState>),
    /// A probe of the engine ended with its state, or without a response.
    EngineProbed(ProbeId, Option<EngineState>),
    /// A request needs an admission decision.
    Admit(AdmissionRequest),
    /// The head of a response reports the number of concurrent requests that the engine accepts.
    ResponseHead(RunId, u32),
    /// An admitted request has ended.
    CallEnded(OfferedCall, CallOutcome, RequestEnd),
    /// The engine crashed while it ran a request; its incarnation after the restart is given.
    EngineCrashed(OfferedCall, u64, oneshot::Sender<Failure>),
    /// Another endpoint handed over its records of keys.
    HandoverReceived(VmId, Handover),
    /// Another endpoint requests the records of the keys that it owns.
    GetHandover(Box<KeysQuery>, oneshot::Sender<Handover>),
    /// An entry requests a ticket for a client account and a service.
    IssueTicket(ClientId, ServiceId, oneshot::Sender<Result<OnceTicket, Refusal>>),
    /// The manifest of a version was read, or no source had it.
    ManifestRead(VersionId, Option<Manifest>),
    /// The pull of a chunk ended.
    ChunkPulled(Digest, Result<Bytes, PullError>),
    /// A peer sent the bitmap of the chunks that it holds, or did not reply.
    ChunkBitmapReceived(VmId, Option<Vec<u8>>),
    /// A load command is about to be sent; the reply is whether this process still may send it.
    ConfirmLoad(VersionId, oneshot::Sender<bool>),
    /// A peer replied to a heartbeat of this process with its own.
    HeartbeatReply(Box<Heartbeat>),
    /// The upload of a version and its load command ended, with whether the engine accepted both.
    LoadFinished(VersionId, bool),
    /// A peer requests the bitmap of the chunks of a manifest that are stored here.
    GetChunkBitmap(Digest, oneshot::Sender<Vec<u8>>),
    /// Another process sent its heartbeat; the reply is the heartbeat of this process.
    HeartbeatCall(Box<Heartbeat>, oneshot::Sender<Heartbeat>),
    /// The admin interface requests the status of this process.
    GetStatus(oneshot::Sender<Status>),
    /// The process is shutting down; the reply is the number of requests in progress.
    Drain(oneshot::Sender<usize>),
}

/// A request that waits for its admission decision.
#[derive(Debug)]
pub struct AdmissionRequest {
    /// The request.
    pub offered: OfferedCall,
    /// Whether a probe of the engine has started and ended since the request arrived.
    pub probed: bool,
    /// The channel for the decision.
    pub reply: oneshot::Sender<Decision>,
}
