//! Leased credits: divides the concurrency limit of an engine among the entries.

use std::collections::BTreeMap;

use crate::{ids::VmId, rendezvous::weight, time::Time, units::Span};

/// The time after which a credit expires unless it is renewed.
pub const LEASE_DURATION: Span = Span::millis(1_500);

#[derive(Clone, Copy, Debug)]
struct Lease {
    demand: u32,
    credit: u32,
    expires: Time,
}

/// The credits that one endpoint has granted to entries.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    leases: BTreeMap<VmId, Lease>,
}

impl Leases {
    /// Renews the lease of an entry that has `demand` requests and returns its new credit.
    ///
    /// A grant never raises the sum of the unexpired credits above `limit`.
    pub fn renew(
        &mut self,
        now: Time,
        endpoint: &VmId,
        entry: &VmId,
        (demand, limit): (u32, u32),
    ) -> u32 {
        self.leases.retain(|_, lease| lease.expires > now);
        let expires = now + LEASE_DURATION;
        self.leases.entry(entry.clone()).or_insert(Lease { demand, credit: 0, expires }).demand =
            demand;
        let fair_share = self.fair_share(endpoint, entry, limit);
        let others = self.leases.iter().filter(|(vm, _)| *vm != entry);
        let granted: u32 = others.map(|(_, lease)| lease.credit).sum();
        let credit = fair_share.min(limit.saturating_sub(granted));
        self.leases.insert(entry.clone(), Lease { demand, credit, expires });
        credit
    }

    /// Returns the sum of the granted credits that have not expired.
    pub fn granted(&self, now: Time) -> u32 {
        self.leases.values().filter(|lease| lease.expires > now).map(|lease| lease.credit).sum()
    }

    /// Returns an entry's share of the limit in proportion to its demand, by largest remainder.
    fn fair_share(&self, endpoint: &VmId, entry: &VmId, limit: u32) -> u32 {
        let portion = |lease: &Lease| u64::from(lease.demand) + 1;
        let total: u64 = self.leases.values().map(portion).sum();
        let scaled_quota = |lease: &Lease| portion(lease) * u64::from(limit);
        let base = |lease: &Lease| scaled_quota(lease) / total;
        let rank = |(vm, lease): (&VmId, &Lease)| {
            (scaled_quota(lease) % total, weight(vm.as_str(), endpoint.as_str().as_bytes()))
        };
        let Some(this) = self.leases.get_key_value(entry) else { return 0 };
        let remainder = u64::from(limit) - self.leases.values().map(base).sum::<u64>();
        let before = self.leases.iter().filter(|other| rank(*other) > rank(this)).count() as u64;
        (base(this.1) + u64::from(before < remainder)) as u32
    }
}
