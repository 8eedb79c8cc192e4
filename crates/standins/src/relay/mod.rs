//! Relays between two addresses, which can be cut or lose track of what passes through them.

mod tcp;
mod udp;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::IpAddr,
    rc::Rc,
};

pub use self::{tcp::TcpRelay, udp::UdpRelay};

/// What a relay lets through; shared with the tasks that forward.
#[derive(Clone, Debug, Default)]
pub struct RelayFilter {
    cut: Rc<Cell<bool>>,
    cut_sources: Rc<RefCell<BTreeSet<IpAddr>>>,
    epoch: Rc<Cell<u64>>,
}

impl RelayFilter {
    /// Cuts everything off, or lets it through again.
    pub fn cut(&self, cut: bool) {
        self.cut.set(cut);
    }

    /// Cuts off what comes from these addresses, and from no others.
    pub fn cut_from(&self, sources: impl IntoIterator<Item = IpAddr>) {
        *self.cut_sources.borrow_mut() = sources.into_iter().collect();
    }

    /// Makes all existing flows silent for good; new ones work.
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
