//! TCP and UDP relays that can block traffic or silently drop existing flows.

mod tcp;
mod udp;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::IpAddr,
    rc::Rc,
};

pub use self::{tcp::TcpRelay, udp::UdpRelay};

/// Decides which traffic a relay forwards; shared with its forwarding tasks.
#[derive(Clone, Debug, Default)]
pub struct RelayFilter {
    blocked: Rc<Cell<bool>>,
    blocked_sources: Rc<RefCell<BTreeSet<IpAddr>>>,
    epoch: Rc<Cell<u64>>,
}

impl RelayFilter {
    /// Blocks or unblocks all traffic.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.set(blocked);
    }

    /// Blocks the flows of clients at these addresses; replaces the earlier list.
    pub fn block_sources(&self, sources: impl IntoIterator<Item = IpAddr>) {
        *self.blocked_sources.borrow_mut() = sources.into_iter().collect();
    }

    /// Blocks all existing flows for good; new flows are forwarded.
    pub fn silence_flows(&self) {
        self.epoch.set(self.epoch.get() + 1);
    }

    fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    fn allows(&self, source: IpAddr, epoch: u64) -> bool {
        !self.blocked.get()
            && epoch == self.epoch.get()
            && !self.blocked_sources.borrow().contains(&source)
    }
}
