//! Events of the entry's event loop and the actions that it returns to request tasks.

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

/// An event that the event loop handles.
#[derive(Debug)]
pub enum Event {
    /// The configuration task received a published configuration.
    ConfigOffered(Arc<PublishedSet>),
    /// The platform's list of VMs was read.
    VmsListed(BTreeMap<VmId, VmState>),
    /// A peer sent its heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// A peer did not reply to a heartbeat in time.
    HeartbeatTimeout(VmId),
    /// A request arrived; its actions are sent to the sender.
    Arrived(Arrival, mpsc::UnboundedSender<RequestAction>),
    /// An endpoint refused a request.
    Refused(RequestKey, Refusal),
    /// The response to a request has begun.
    Started(RequestKey),
    /// A request failed after it was handed over to an endpoint.
    Failed(RequestKey, Failure),
    /// The complete response to a request was forwarded.
    Completed(RequestKey),
    /// The caller of a request disconnected.
    CallerGone(RequestKey),
    /// A peer requests the heartbeat of this process.
    GetHeartbeat(oneshot::Sender<Heartbeat>),
    /// A caller requests a ticket; the reply is the endpoint that issues it, or a refusal.
    ChooseIssuer(ServiceId, oneshot::Sender<Result<(VmId, SocketAddr), Refusal>>),
    /// The admin interface requests the status of this process.
    GetStatus(oneshot::Sender<Status>),
}

/// The next action for a request.
#[derive(Clone, Debug)]
pub enum RequestAction {
    /// Send the request to an endpoint.
    Send(Dispatch),
    /// Respond to the caller that the request did not run.
    Refuse(Refusal),
    /// Respond to the caller that the request was handed over to an endpoint and failed.
    Fail(Failure),
}

/// The endpoint that a request is sent to.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The key of the request.
    pub request: RequestKey,
    /// The request number in messages to the endpoint.
    pub id: RequestId,
    /// The endpoint VM.
    pub vm: VmId,
    /// The address of the endpoint.
    pub addr: SocketAddr,
    /// The incarnation of the endpoint process that the entry addresses.
    pub target_incarnation: Incarnation,
    /// The time left until the deadline.
    pub left: Span,
}
