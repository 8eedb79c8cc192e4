//! Events of the entry's event loop.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use sequoiahold_core::{
    declare::PublishedSet,
    entry::{Arrival, RequestKey},
    ids::{Incarnation, RequestId, ServiceId, VmId},
    member::VmState,
    proto::Beat,
    refuse::{Failure, Refusal},
    units::Span,
};
use tokio::sync::{mpsc, oneshot};

use crate::status::Status;

/// What the event loop is told or asked.
#[derive(Debug)]
pub enum Event {
    /// A published set was read.
    ConfigOffered(Arc<PublishedSet>),
    /// The platform's list of VMs was read.
    VmsListed(BTreeMap<VmId, VmState>),
    /// A peer told its state.
    Heartbeat(Box<Beat>),
    /// A peer did not answer its heartbeat.
    HeartbeatTimeout(VmId),
    /// A request came; the sender takes the steps of its life.
    Arrived(Arrival, mpsc::UnboundedSender<RequestAction>),
    /// An endpoint refused a request.
    Refused(RequestKey, Refusal),
    /// The answer to a request has begun.
    Started(RequestKey),
    /// A request failed after the hand-over.
    Failed(RequestKey, Failure),
    /// A request has its whole answer.
    Completed(RequestKey),
    /// The caller of a request has gone.
    CallerGone(RequestKey),
    /// A peer asks for this process's state.
    GetHeartbeat(oneshot::Sender<Beat>),
    /// An endpoint that may issue a ticket for a service is asked for.
    ChooseIssuer(ServiceId, oneshot::Sender<Result<(VmId, SocketAddr), Refusal>>),
    /// The status is asked for.
    GetStatus(oneshot::Sender<Status>),
}

/// The next step of a request.
#[derive(Clone, Debug)]
pub enum RequestAction {
    /// Send it to an endpoint.
    Send(Dispatch),
    /// Tell the caller that it did not run.
    Refuse(Refusal),
    /// Tell the caller that it was handed over and failed.
    Fail(Failure),
}

/// Where a request is sent.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The key of the request.
    pub request: RequestKey,
    /// Its number on the wire.
    pub id: RequestId,
    /// The endpoint VM.
    pub vm: VmId,
    /// Its address.
    pub addr: SocketAddr,
    /// The incarnation of its process.
    pub target_incarnation: Incarnation,
    /// The time left until the deadline.
    pub left: Span,
}
