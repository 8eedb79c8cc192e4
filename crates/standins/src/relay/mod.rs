//! TCP and UDP relays that can block, delay or reset traffic, or silently drop existing flows.

mod tcp;
mod udp;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::IpAddr,
    rc::Rc,
    time::Duration,
};

use tokio::sync::watch;

pub use self::{tcp::TcpRelay, udp::UdpRelay};

/// The way of bytes through a relayed connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the client to the server.
    ToServer,
    /// From the server to the client.
    ToClient,
}

/// Decides which traffic a relay forwards; shared with its forwarding tasks.
#[derive(Clone, Debug, Default)]
pub struct RelayFilter {
    blocked: Rc<Cell<bool>>,
    blocked_sources: Rc<RefCell<BTreeSet<IpAddr>>>,
    blocked_direction: Rc<Cell<Option<Direction>>>,
    delay: Rc<Cell<Duration>>,
    down: Rc<Cell<bool>>,
    status: Rc<RefCell<Option<String>>>,
    repeat: Rc<Cell<Option<(u16, Duration)>>>,
    repeats: Rc<Cell<u32>>,
    epoch: Rc<Cell<u64>>,
    resets: watch::Sender<u64>,
}

impl RelayFilter {
    /// Blocks or unblocks all traffic.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.set(blocked);
    }

    /// Blocks one direction of all connections, or none.
    pub fn block_direction(&self, direction: Option<Direction>) {
        self.blocked_direction.set(direction);
    }

    /// Delays each piece of data of all connections.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.set(delay);
    }

    /// Sets the text that replaces the status of answers with status 200 to `POST` requests and to
    /// requests with an id, `None` for their own.
    pub fn set_status(&self, status: Option<&str>) {
        *self.status.borrow_mut() = status.map(str::to_owned);
    }

    /// Sends answers with this status a second time after a delay.
    pub fn repeat_answers(&self, status: u16, delay: Duration) {
        self.repeat.set(Some((status, delay)));
    }

    /// Returns the number of answers that were sent a second time.
    pub fn repeats(&self) -> u32 {
        self.repeats.get()
    }

    /// Resets all existing connections; new ones are forwarded.
    pub fn reset_flows(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Resets all existing connections, and new ones until it is up again.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        self.reset_flows();
    }

    /// Blocks the flows of clients at these addresses; replaces the earlier list.
    pub fn block_sources(&self, sources: impl IntoIterator<Item = IpAddr>) {
        *self.blocked_sources.borrow_mut() = sources.into_iter().collect();
    }

    /// Blocks all existing flows for good; new flows are forwarded.
    pub fn silence_flows(&self) {
        self.epoch.set(self.epoch.get() + 1);
    }

    /// Counts data as sent a second time if it begins with an answer that is; returns the delay.
    fn repeat_delay(&self, data: &[u8]) -> Option<Duration> {
        let (status, delay) = self.repeat.get()?;
        data.starts_with(format!("HTTP/1.1 {status} ").as_bytes()).then(|| {
            self.repeats.set(self.repeats.get() + 1);
            delay
        })
    }

    fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    fn allows(&self, source: IpAddr, epoch: u64) -> bool {
        !self.blocked.get()
            && epoch == self.epoch.get()
            && !self.blocked_sources.borrow().contains(&source)
    }

    fn allows_direction(&self, direction: Direction) -> bool {
        self.blocked_direction.get() != Some(direction)
    }
}
