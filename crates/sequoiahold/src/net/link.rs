//! Connections to other processes, each on a UDP socket of its own.

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

use super::{Tls, Traffic, read, write};

/// Time within which a connection must be established.
const CONNECT: Duration = Duration::from_secs(2);

/// The open connections by VM.
#[derive(Clone, Debug)]
pub struct Links {
    tls: Rc<RefCell<Tls>>,
    traffic: Traffic,
    local: Option<IpAddr>,
    open: Rc<RefCell<BTreeMap<VmId, Connection>>>,
}

impl Links {
    /// Returns an empty set of connections.
    pub fn new(tls: Rc<RefCell<Tls>>, traffic: Traffic) -> Self {
        Self { tls, traffic, local: None, open: Rc::default() }
    }

    /// Returns the connections with `local` as the address that new ones start at.
    pub fn bound_to(self, local: IpAddr) -> Self {
        Self { local: Some(local), ..self }
    }

    /// Returns the open connection to a VM, or opens one from a new local port.
    pub async fn get(&self, vm: &VmId, addr: SocketAddr) -> anyhow::Result<Connection> {
        let open = self.open.borrow().get(vm).cloned();
        if let Some(open) =
            open.filter(|c| c.close_reason().is_none() && c.remote_address() == addr)
        {
            return Ok(open);
        }
        let any: IpAddr = if addr.is_ipv4() { [0; 4].into() } else { [0u16; 8].into() };
        let local = self.local.unwrap_or(any);
        let mut endpoint = Endpoint::client((local, 0).into())?;
        endpoint.set_default_client_config(self.tls.borrow().client.clone());
        let connecting = endpoint.connect(addr, vm.as_str())?;
        let connection = actix_rt::time::timeout(CONNECT, connecting)
            .await
            .with_context(|| format!("no answer from {vm} at {addr}"))??;
        self.traffic.add(&connection);
        self.open.borrow_mut().insert(vm.clone(), connection.clone());
        Ok(connection)
    }

    /// Returns whether a connection is the open one to a VM, so that its silence closes it.
    pub fn is_open(&self, vm: &VmId, connection: &Connection) -> bool {
        let open = self.open.borrow();
        open.get(vm).is_some_and(|open| open.stable_id() == connection.stable_id())
    }

    /// Closes the connection to a VM; the next one uses a new local port.
    pub fn close(&self, vm: &VmId) {
        if let Some(connection) = self.open.borrow_mut().remove(vm) {
            connection.close(0u32.into(), b"silent");
        }
    }
}

/// Sends a call with one answer.
pub async fn call(connection: &Connection, call: &Call) -> anyhow::Result<Reply> {
    let (mut send, mut recv) = connection.open_bi().await?;
    write(&mut send, call).await?;
    send.finish()?;
    read(&mut recv).await
}
