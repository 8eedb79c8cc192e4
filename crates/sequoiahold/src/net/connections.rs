//! QUIC connections to other processes, each on its own UDP socket.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use anyhow::Context as _;
use quinn::{Connection, Endpoint};
use sequoiahold_core::{
    ids::VmId,
    proto::{Call, Reply},
};
use tokio::sync::Mutex;

use super::{Tls, TrafficCounter, read_message, write_message};

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Open connections by VM, shared by all clones.
#[derive(Clone, Debug)]
pub struct PeerConnections {
    tls: Rc<RefCell<Tls>>,
    traffic: TrafficCounter,
    local_addr: Option<IpAddr>,
    connections: Rc<RefCell<BTreeMap<VmId, Connection>>>,
    connect_locks: Rc<RefCell<BTreeMap<VmId, Rc<Mutex<()>>>>>,
}

impl PeerConnections {
    /// Returns an empty set of connections.
    pub fn new(tls: Rc<RefCell<Tls>>, traffic: TrafficCounter) -> Self {
        Self {
            tls,
            traffic,
            local_addr: None,
            connections: Rc::default(),
            connect_locks: Rc::default(),
        }
    }

    /// Binds the sockets of new connections to `local`.
    pub fn with_local_addr(self, local: IpAddr) -> Self {
        Self { local_addr: Some(local), ..self }
    }

    /// Returns the open connection to a VM, or opens one from a new local port.
    ///
    /// Only one attempt per VM runs at a time; concurrent callers wait for its result.
    pub async fn acquire(&self, vm: &VmId, addr: SocketAddr) -> anyhow::Result<Connection> {
        if let Some(open) = self.open_connection(vm, addr) {
            return Ok(open);
        }
        let lock = self.connect_locks.borrow_mut().entry(vm.clone()).or_default().clone();
        let Ok(_guard) = lock.try_lock() else {
            drop(lock.lock().await);
            return self.open_connection(vm, addr).with_context(|| format!("no answer from {vm}"));
        };
        self.connect(vm, addr).await
    }

    fn open_connection(&self, vm: &VmId, addr: SocketAddr) -> Option<Connection> {
        let open = self.connections.borrow().get(vm).cloned();
        open.filter(|c| c.close_reason().is_none() && c.remote_address() == addr)
    }

    async fn connect(&self, vm: &VmId, addr: SocketAddr) -> anyhow::Result<Connection> {
        let any: IpAddr = if addr.is_ipv4() { [0; 4].into() } else { [0u16; 8].into() };
        let local = self.local_addr.unwrap_or(any);
        let mut endpoint = Endpoint::client((local, 0).into())?;
        endpoint.set_default_client_config(self.tls.borrow().client.clone());
        let connecting = endpoint.connect(addr, vm.as_str())?;
        let connection = actix_rt::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .with_context(|| format!("no answer from {vm} at {addr}"))??;
        self.traffic.track(&connection);
        self.connections.borrow_mut().insert(vm.clone(), connection.clone());
        Ok(connection)
    }

    /// Returns whether there is an open connection to a VM.
    pub fn is_connected(&self, vm: &VmId) -> bool {
        self.connections.borrow().get(vm).is_some_and(|open| open.close_reason().is_none())
    }

    /// Returns whether `connection` is the current one to a VM, so that its failure counts.
    pub fn is_current(&self, vm: &VmId, connection: &Connection) -> bool {
        let open = self.connections.borrow();
        open.get(vm).is_some_and(|open| open.stable_id() == connection.stable_id())
    }

    /// Closes the connection to an unresponsive VM; the next one uses a new local port.
    pub fn close(&self, vm: &VmId) {
        if let Some(connection) = self.connections.borrow_mut().remove(vm) {
            connection.close(0u32.into(), b"silent");
        }
    }
}

/// Sends a call on a new stream and reads its reply.
pub async fn call(connection: &Connection, call: &Call) -> anyhow::Result<Reply> {
    let (mut send, mut recv) = connection.open_bi().await?;
    write_message(&mut send, call).await?;
    send.finish()?;
    read_message(&mut recv).await
}
