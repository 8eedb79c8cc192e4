//! Events of the entry's event loop.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use sequoiahold_core::{
    declare::Published,
    ids::{Generation, RequestId, ServiceId, VmId},
    proto::Beat,
    refuse::Refusal,
};
use tokio::sync::oneshot;

use crate::{platform::VmState, status::Status};

/// What the event loop is told or asked.
#[derive(Debug)]
pub enum Event {
    /// A published set was read.
    Offer(Arc<Published>),
    /// The platform's list of VMs was read.
    Vms(BTreeMap<VmId, VmState>),
    /// A peer told its state.
    Beat(Box<Beat>),
    /// A peer did not answer its heartbeat.
    Silent(VmId),
    /// A request needs an endpoint.
    Choose(Choose),
    /// A peer asks for the published set above a generation.
    Set(Generation, oneshot::Sender<Option<Arc<Published>>>),
    /// A peer asks for this process's state.
    Tell(oneshot::Sender<Beat>),
    /// The status is asked for.
    Status(oneshot::Sender<Status>),
    /// A counter is raised.
    Count(&'static str),
}

/// A request that needs an endpoint.
#[derive(Debug)]
pub struct Choose {
    /// The service.
    pub service: ServiceId,
    /// The endpoints that have refused the request.
    pub tried: Vec<VmId>,
    /// Takes the choice.
    pub reply: oneshot::Sender<Result<Chosen, Refusal>>,
}

/// The endpoint for a request.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// The endpoint VM.
    pub vm: VmId,
    /// Its address.
    pub addr: SocketAddr,
    /// The number of the request.
    pub id: RequestId,
}
