//! Events of the entry's event loop.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use sequoiahold_core::{
    declare::PublishedSet,
    entry::{Arrival, RequestKey},
    ids::{Incarnation, RequestId, ServiceId, VmId},
    proto::Heartbeat,
    refusal::{Failure, Refusal},
    units::Span,
    vm_state::VmState,
};
use tokio::sync::{mpsc, oneshot};

use crate::status::Status;

/// What the event loop is told or asked.
#[derive(Debug)]
pub enum Event {
    /// A published set was read.
    Offer(Arc<PublishedSet>),
    /// The platform's list of VMs was read.
    Vms(BTreeMap<VmId, VmState>),
    /// A peer told its state.
    Beat(Box<Heartbeat>),
    /// A peer did not answer its heartbeat.
    Silent(VmId),
    /// A request came; the sender takes the steps of its life.
    Arrive(Arrival, mpsc::UnboundedSender<Step>),
    /// An endpoint refused a request.
    Refused(RequestKey, Refusal),
    /// The answer to a request has begun.
    Started(RequestKey),
    /// A request failed after the hand-over.
    Failed(RequestKey, Failure),
    /// A request has its whole answer.
    Ended(RequestKey),
    /// The caller of a request has gone.
    Left(RequestKey),
    /// A peer asks for this process's state.
    Tell(oneshot::Sender<Heartbeat>),
    /// An endpoint that may issue a ticket for a service is asked for.
    Issuer(ServiceId, oneshot::Sender<Result<(VmId, SocketAddr), Refusal>>),
    /// The status is asked for.
    Status(oneshot::Sender<Status>),
}

/// The next step of a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Send it to an endpoint.
    Send(Send),
    /// Tell the caller that it did not run.
    Refuse(Refusal),
    /// Tell the caller that it was handed over and failed.
    Fail(Failure),
}

/// Where a request is sent.
#[derive(Clone, Debug)]
pub struct Send {
    /// The key of the request.
    pub request: RequestKey,
    /// Its number on the wire.
    pub id: RequestId,
    /// The endpoint VM.
    pub vm: VmId,
    /// Its address.
    pub addr: SocketAddr,
    /// The incarnation of its process.
    pub to: Incarnation,
    /// The time left until the deadline.
    pub left: Span,
}
