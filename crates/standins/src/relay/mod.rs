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
    cut: Rc<Cell<bool>>,
    cut_sources: Rc<RefCell<BTreeSet<IpAddr>>>,
    epoch: Rc<Cell<u64>>,
}

impl RelayFilter {
    /// Blocks or unblocks all traffic.
    pub fn cut(&self, cut: bool) {
        self.cut.set(cut);
    }

    /// Blocks the flows of clients at these addresses; replaces the earlier list.
    pub fn cut_from(&self, sources: impl IntoIterator<Item = IpAddr>) {
        *self.cut_sources.borrow_mut() = sources.into_iter().collect();
    }

    /// Blocks all existing flows for good; new flows are forwarded.
    pub fn silence_flows(&self) {
        self.epoch.set(self.epoch.get() + 1);
    }

    fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    fn allows(&self, source: IpAddr, epoch: u64) -> bool {
        !self.cut.get() && epoch == self.epoch.get() && !self.cut_sources.borrow().contains(&source)
    }
}
