//! Leased credits: how an endpoint divides what its engine bears among the entries.

use std::collections::BTreeMap;

use crate::{ids::VmId, peers::weight, time::Time, units::Span};

/// The time after which a credit that was not renewed expires.
pub const LEASE: Span = Span::millis(1_500);

#[derive(Clone, Copy, Debug)]
struct Lease {
    want: u32,
    credit: u32,
    until: Time,
}

/// The credits that entries hold at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    held: BTreeMap<VmId, Lease>,
}

impl Leases {
    /// Renews the credit of an entry that wants to have so many requests in progress.
    ///
    /// The credits given out never exceed what the engine bore when the last one was given.
    pub fn renew(&mut self, now: Time, own: &VmId, entry: &VmId, (want, bears): (u32, u32)) -> u32 {
        self.held.retain(|_, lease| lease.until > now);
        let until = now + LEASE;
        self.held.entry(entry.clone()).or_insert(Lease { want, credit: 0, until }).want = want;
        let fair = self.fair(own, entry, bears);
        let others = self.held.iter().filter(|(vm, _)| *vm != entry);
        let given: u32 = others.map(|(_, lease)| lease.credit).sum();
        let credit = fair.min(bears.saturating_sub(given));
        self.held.insert(entry.clone(), Lease { want, credit, until });
        credit
    }

    /// Returns the credits that are given out.
    pub fn given(&self, now: Time) -> u32 {
        self.held.values().filter(|lease| lease.until > now).map(|lease| lease.credit).sum()
    }

    /// Returns an entry's share in proportion to the wants, by largest remainder.
    fn fair(&self, own: &VmId, entry: &VmId, bears: u32) -> u32 {
        let portion = |lease: &Lease| u64::from(lease.want) + 1;
        let all: u64 = self.held.values().map(portion).sum();
        let quota = |lease: &Lease| portion(lease) * u64::from(bears);
        let whole = |lease: &Lease| quota(lease) / all;
        let rank = |(vm, lease): (&VmId, &Lease)| {
            (quota(lease) % all, weight(vm.as_str(), own.as_str().as_bytes()))
        };
        let Some(mine) = self.held.get_key_value(entry) else { return 0 };
        let left = u64::from(bears) - self.held.values().map(whole).sum::<u64>();
        let before = self.held.iter().filter(|other| rank(*other) > rank(mine)).count() as u64;
        (whole(mine.1) + u64::from(before < left)) as u32
    }
}
