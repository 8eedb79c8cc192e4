//! Open connections by address, kept for reuse.

use std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::ServiceConfig;

use super::{connect, upstream::Upstream};

/// Bounds on the connections to one address.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Time within which a connection must be established.
    pub connect: Duration,
    /// Idle connections that are kept.
    pub idle: usize,
}

/// Connections by address.
#[derive(Clone)]
pub struct Pool {
    config: ServiceConfig,
    limits: PoolLimits,
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<Upstream>>>>,
}

impl Pool {
    /// Returns an empty pool.
    pub fn new(config: ServiceConfig, limits: PoolLimits) -> Self {
        Self { config, limits, idle: Rc::default() }
    }

    /// Returns an idle connection that was used within `fresh`, the one used last.
    pub fn take(&self, addr: SocketAddr, fresh: Duration) -> Option<Upstream> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        while let Some(mut upstream) = list.pop() {
            if upstream.idle() <= fresh && upstream.is_idle() {
                return Some(upstream);
            }
        }
        None
    }

    /// Opens a connection.
    pub async fn open(&self, addr: SocketAddr) -> io::Result<Upstream> {
        let stream = connect(addr, self.limits.connect).await?;
        Ok(Upstream::new(stream, addr, self.config.clone()))
    }

    /// Returns an idle connection, or opens one.
    pub async fn get(&self, addr: SocketAddr, fresh: Duration) -> io::Result<Upstream> {
        match self.take(addr, fresh) {
            Some(upstream) => Ok(upstream),
            None => self.open(addr).await,
        }
    }

    /// Takes a connection back for reuse if it can carry another request.
    pub fn put(&self, mut upstream: Upstream) {
        if !upstream.is_idle() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(upstream.addr()).or_default();
        if list.len() < self.limits.idle {
            list.push(upstream);
        }
    }

    /// Closes the connections that can no longer be used.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain_mut(Upstream::is_idle);
        }
        idle.retain(|_, list| !list.is_empty());
    }
}
