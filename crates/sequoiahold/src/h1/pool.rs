//! Pool of idle connections by address.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_http::ServiceConfig;
use sequoiahold_core::ids::ConnectionId;

use super::{connect, upstream::Upstream};

/// Limits on the connections to one address.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// Maximum number of idle connections that are kept.
    pub max_idle: usize,
}

/// Idle connections by address, shared by all clones.
#[derive(Clone)]
pub struct ConnectionPool {
    config: ServiceConfig,
    limits: PoolLimits,
    last_id: Rc<Cell<ConnectionId>>,
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<Upstream>>>>,
}

impl ConnectionPool {
    /// Returns an empty pool.
    pub fn new(config: ServiceConfig, limits: PoolLimits) -> Self {
        Self { config, limits, last_id: Rc::default(), idle: Rc::default() }
    }

    /// Returns the idle connection used last, `None` if none but those in `excluded` is reusable and
    /// was used within `max_idle`.
    pub fn take_idle(
        &self,
        addr: SocketAddr,
        max_idle: Duration,
        excluded: &[ConnectionId],
    ) -> Option<Upstream> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        let is_allowed = |upstream: &Upstream| !excluded.contains(&upstream.id());
        while let Some(position) = list.iter().rposition(is_allowed) {
            let mut upstream = list.remove(position);
            if upstream.idle_time() <= max_idle && upstream.is_reusable() {
                return Some(upstream);
            }
        }
        None
    }

    /// Opens a new connection.
    pub async fn open(&self, addr: SocketAddr) -> io::Result<Upstream> {
        let stream = connect(addr, self.limits.connect_timeout).await?;
        self.last_id.set(self.last_id.get().next());
        Ok(Upstream::new(self.last_id.get(), stream, addr, self.config.clone()))
    }

    /// Returns an idle connection that was used within `max_idle` and is not in `excluded`, or opens
    /// a new one.
    pub async fn get_or_open(
        &self,
        addr: SocketAddr,
        max_idle: Duration,
        excluded: &[ConnectionId],
    ) -> io::Result<Upstream> {
        match self.take_idle(addr, max_idle, excluded) {
            Some(upstream) => Ok(upstream),
            None => self.open(addr).await,
        }
    }

    /// Returns a connection to the pool if it can carry another request and the pool has room.
    pub fn release(&self, mut upstream: Upstream) {
        if !upstream.is_reusable() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(upstream.addr()).or_default();
        if list.len() < self.limits.max_idle {
            list.push(upstream);
        }
    }

    /// Closes the connections to an address that have been idle for `max_idle`.
    pub fn evict_idle(&self, addr: SocketAddr, max_idle: Duration) {
        if let Some(list) = self.idle.borrow_mut().get_mut(&addr) {
            list.retain(|upstream| upstream.idle_time() < max_idle);
        }
    }

    /// Closes the idle connections that cannot carry another request.
    pub fn evict_unusable(&self) {
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain_mut(Upstream::is_reusable);
        }
        idle.retain(|_, list| !list.is_empty());
    }
}
