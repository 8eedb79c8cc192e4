//! Bounds of the values of one object.

use std::{collections::BTreeSet, ops::RangeInclusive};

use super::{Client, Declaration, DeclarationError, Object, Pool, Vm, publish::MAX_VALUE};
use crate::{
    ids::Digest,
    units::{ByteRate, Bytes, Share, Span},
    weights::manifest::{MAX_CHUNK, MAX_CHUNKS},
};

/// Requests that one endpoint may bear at the same time.
pub const SLOTS: RangeInclusive<u32> = 1..=4_096;
/// The share of a zone's endpoints that may load at the same time.
pub const STEP: RangeInclusive<Share> = Share(1)..=Share(1_000);
/// The time that a call may take altogether.
pub const TIMEOUT: RangeInclusive<Span> = Span::millis(100)..=Span::secs(3_600);
/// The size of a version's weights; the largest needs all chunks that a manifest may have.
pub const VERSION_SIZE: RangeInclusive<Bytes> = Bytes(1)..=Bytes(MAX_CHUNK * MAX_CHUNKS as u64);
/// The size of an adapter's weights.
pub const ADAPTER_SIZE: RangeInclusive<Bytes> = Bytes(1)..=Bytes(16_000_000_000);
/// The weight of a client account.
pub const WEIGHT: RangeInclusive<u32> = 1..=1_000;
/// The rate of a region's link that weights may use.
pub const LINK: RangeInclusive<ByteRate> = ByteRate(1_000)..=ByteRate(100_000_000_000);

/// Returns the faults of one object's values.
pub(super) fn faults(one: &Declaration) -> Vec<DeclarationError> {
    let mut found = match &one.object {
        Object::Pool(pool) => pool_faults(one, pool),
        Object::Client(client) => client_faults(one, client),
        Object::Service(o) => within(one, "timeout", &o.timeout, &TIMEOUT),
        Object::Version(o) => within(one, "size", &o.size, &VERSION_SIZE),
        Object::Adapter(o) => within(one, "size", &o.size, &ADAPTER_SIZE),
        Object::Zone(o) => within(one, "link", &o.link, &LINK),
        Object::Vm(vm) => addr_faults(one, vm),
        Object::Model(_) => vec![],
    };
    let size = serde_json::to_string(&one.object).map_or(0, |text| text.len());
    if size + 2 > MAX_VALUE {
        let text = format!("takes {size} bytes, a published value at most {MAX_VALUE}");
        found.push(DeclarationError::at(&one.source, "name", text));
    }
    found
}

fn pool_faults(one: &Declaration, pool: &Pool) -> Vec<DeclarationError> {
    let mut found = within(one, "slots", &pool.slots, &SLOTS);
    found.extend(within(one, "cold", &pool.cold, &(1..=pool.slots.max(1))));
    found.extend(within(one, "step", &pool.step, &STEP));
    found
}

fn client_faults(one: &Declaration, client: &Client) -> Vec<DeclarationError> {
    let mut found = within(one, "weight", &client.weight, &WEIGHT);
    if client.key == Digest::of(b"") {
        found.push(DeclarationError::at(&one.source, "key", "is the digest of an empty API key"));
    }
    if client.services.is_empty() {
        found.push(DeclarationError::at(&one.source, "services", "must name at least one service"));
    }
    let mut seen = BTreeSet::new();
    let repeated = client.services.iter().enumerate().find(|(_, service)| !seen.insert(*service));
    if let Some((i, service)) = repeated {
        let text = format!("service \"{service}\" is named twice");
        found.push(DeclarationError::at(&one.source, &format!("services[{i}]"), text));
    }
    found
}

fn addr_faults(one: &Declaration, vm: &Vm) -> Vec<DeclarationError> {
    let ip = vm.addr.ip();
    let reachable = vm.addr.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
    let text = "must be the IP number and port of one VM, not 0 or a group";
    if reachable { vec![] } else { vec![DeclarationError::at(&one.source, "addr", text)] }
}

fn within<T: PartialOrd + std::fmt::Display>(
    one: &Declaration,
    key: &str,
    value: &T,
    allowed: &RangeInclusive<T>,
) -> Vec<DeclarationError> {
    if allowed.contains(value) {
        return vec![];
    }
    let (low, high) = (allowed.start(), allowed.end());
    vec![DeclarationError::at(&one.source, key, format!("{value} is not between {low} and {high}"))]
}
