//! Estimates when messages of other processes were sent, as they may be held up on their way.
//!
//! The clocks of two processes differ by an unknown amount. The least difference seen in a window
//! stands for a message that was not held up; what exceeds it is the delay, as in LEDBAT (RFC 6817).

use std::{collections::HashMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{ids::Incarnation, time::Time, units::Span};

/// Time after which the least difference of clocks is determined anew; the one before still counts
/// for as long. Clocks drift apart by up to 30 ms a minute while they are adjusted.
const HALF_WINDOW: Span = Span::secs(30);
/// Maximum number of senders that are remembered, above the number of processes of a deployment.
const MAX_SENDERS: usize = 1_024;

/// The clock of a process when it sent a message.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SendStamp {
    /// The incarnation of the sender, whose clock starts with it.
    pub incarnation: Incarnation,
    /// The time by the clock of the sender.
    pub at: Time,
}

/// The differences between the clocks of a sender and of this process, in microseconds.
#[derive(Clone, Copy, Debug)]
struct ClockOffset {
    incarnation: Incarnation,
    half_start: Time,
    /// The least differences in this half of the window and in the one before.
    least: [i64; 2],
    last_heard: Time,
}

/// Estimates when received messages were sent.
#[derive(Clone, Debug, Default)]
pub struct SendTimes {
    senders: HashMap<SocketAddr, ClockOffset>,
    /// The latest estimate.
    latest: Time,
}

impl SendTimes {
    /// Returns when a message that is read at `now` was sent, by the clock of this process and but
    /// for the least delay between the two processes.
    ///
    /// Messages are read in the order of their arrival. One without a stamp, or the first of an
    /// incarnation, counts as sent at the earliest time at which it can have arrived: after the
    /// messages before it, and after `drained_at`, when no message waited.
    pub fn estimate(
        &mut self,
        now: Time,
        drained_at: Time,
        from: SocketAddr,
        stamp: Option<SendStamp>,
    ) -> Time {
        let delay = stamp.and_then(|stamp| self.record(now, from, stamp));
        let sent = match delay {
            Some(delay) => Time(now.0.saturating_sub(delay.0)),
            None => self.latest.max(drained_at),
        };
        self.latest = self.latest.max(sent);
        sent
    }

    /// Returns the number of senders that are remembered.
    pub fn sender_count(&self) -> usize {
        self.senders.len()
    }

    /// Records the clock of a sender and returns for how long the message was held up, `None` if
    /// that is unknown.
    fn record(&mut self, now: Time, from: SocketAddr, stamp: SendStamp) -> Option<Span> {
        let offset = now.0.wrapping_sub(stamp.at.0) as i64;
        if let Some(known) = self.senders.get_mut(&from) {
            if known.incarnation == stamp.incarnation {
                return Some(known.record(now, offset));
            }
            // A message of an earlier incarnation was overtaken, unless the wall clock was set back.
            if known.incarnation > stamp.incarnation && now < known.last_heard + HALF_WINDOW {
                return None;
            }
        } else if self.senders.len() == MAX_SENDERS {
            self.evict_sender();
        }
        let known = ClockOffset {
            incarnation: stamp.incarnation,
            half_start: now,
            least: [offset; 2],
            last_heard: now,
        };
        self.senders.insert(from, known);
        None
    }

    /// Forgets the sender that was silent for longest.
    fn evict_sender(&mut self) {
        let silent = self.senders.iter().min_by_key(|(_, known)| known.last_heard);
        if let Some(addr) = silent.map(|(addr, _)| *addr) {
            self.senders.remove(&addr);
        }
    }
}

impl ClockOffset {
    /// Records a difference and returns by how much it exceeds the least one.
    fn record(&mut self, now: Time, offset: i64) -> Span {
        // After a silence the half before it still counts, so that messages which waited during a
        // suspension are measured against those before it.
        if self.half_start + HALF_WINDOW <= now {
            self.least = [offset, self.least[0]];
            self.half_start = now;
        }
        let [current, previous] = &mut self.least;
        *current = offset.min(*current);
        self.last_heard = now;
        Span(offset.abs_diff(*current.min(previous)))
    }
}
