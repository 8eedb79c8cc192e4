//! Checks of the values of one declared object against their allowed ranges.

use std::{collections::BTreeSet, ops::RangeInclusive};

use super::{Client, Declaration, DeclarationError, Object, Pool, Vm, publish::MAX_VALUE_BYTES};
use crate::{
    ids::Digest,
    units::{ByteRate, Bytes, Share, Span},
    weights::manifest::{MAX_CHUNK_BYTES, MAX_CHUNKS},
};

/// Allowed number of concurrent requests per endpoint.
pub const SLOTS_RANGE: RangeInclusive<u32> = 1..=4_096;
/// Allowed share of a zone's endpoints that load a version at the same time.
pub const STEP_RANGE: RangeInclusive<Share> = Share(1)..=Share(1_000);
/// Allowed total time of a call.
pub const TIMEOUT_RANGE: RangeInclusive<Span> = Span::millis(100)..=Span::secs(3_600);
/// Allowed size of a version's weights; the upper bound is the maximum that a manifest can list.
pub const VERSION_SIZE_RANGE: RangeInclusive<Bytes> =
    Bytes(1)..=Bytes(MAX_CHUNK_BYTES * MAX_CHUNKS as u64);
/// Allowed size of an adapter's weights.
pub const ADAPTER_SIZE_RANGE: RangeInclusive<Bytes> = Bytes(1)..=Bytes(16_000_000_000);
/// Allowed weight of a client account.
pub const WEIGHT_RANGE: RangeInclusive<u32> = 1..=1_000;
/// Allowed rate of weight transfers over the link of a region.
pub const LINK_RANGE: RangeInclusive<ByteRate> = ByteRate(1_000)..=ByteRate(100_000_000_000);

/// Returns an error for each value of one object that is not allowed.
pub(super) fn check_values(declaration: &Declaration) -> Vec<DeclarationError> {
    let mut errors = match &declaration.object {
        Object::Pool(pool) => check_pool(declaration, pool),
        Object::Client(client) => check_client(declaration, client),
        Object::Service(o) => check_range(declaration, "timeout", &o.timeout, &TIMEOUT_RANGE),
        Object::Version(o) => check_range(declaration, "size", &o.size, &VERSION_SIZE_RANGE),
        Object::Adapter(o) => check_range(declaration, "size", &o.size, &ADAPTER_SIZE_RANGE),
        Object::Zone(o) => check_range(declaration, "link", &o.link, &LINK_RANGE),
        Object::Vm(vm) => check_addr(declaration, vm),
        Object::Model(_) => vec![],
    };
    let size = serde_json::to_string(&declaration.object).map_or(0, |text| text.len());
    if size + 2 > MAX_VALUE_BYTES {
        let text =
            format!("takes {size} bytes, more than the {MAX_VALUE_BYTES} of a published value");
        errors.push(DeclarationError::at(&declaration.source, "name", text));
    }
    errors
}

fn check_pool(declaration: &Declaration, pool: &Pool) -> Vec<DeclarationError> {
    let mut errors = check_range(declaration, "slots", &pool.slots, &SLOTS_RANGE);
    errors.extend(check_range(declaration, "cold", &pool.cold, &(1..=pool.slots.max(1))));
    errors.extend(check_range(declaration, "step", &pool.step, &STEP_RANGE));
    errors
}

fn check_client(declaration: &Declaration, client: &Client) -> Vec<DeclarationError> {
    let mut errors = check_range(declaration, "weight", &client.weight, &WEIGHT_RANGE);
    if client.key == Digest::of(b"") {
        errors.push(DeclarationError::at(
            &declaration.source,
            "key",
            "is the digest of an empty API key",
        ));
    }
    if client.services.is_empty() {
        errors.push(DeclarationError::at(
            &declaration.source,
            "services",
            "must name at least one service",
        ));
    }
    let mut seen = BTreeSet::new();
    let repeated = client.services.iter().enumerate().find(|(_, service)| !seen.insert(*service));
    if let Some((i, service)) = repeated {
        let text = format!("service \"{service}\" is named twice");
        errors.push(DeclarationError::at(&declaration.source, &format!("services[{i}]"), text));
    }
    errors
}

fn check_addr(declaration: &Declaration, vm: &Vm) -> Vec<DeclarationError> {
    let ip = vm.addr.ip();
    let reachable = vm.addr.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
    let text = "must be the IP number and port of one VM, not unspecified, multicast or port 0";
    if reachable { vec![] } else { vec![DeclarationError::at(&declaration.source, "addr", text)] }
}

fn check_range<T: PartialOrd + std::fmt::Display>(
    declaration: &Declaration,
    key: &str,
    value: &T,
    allowed: &RangeInclusive<T>,
) -> Vec<DeclarationError> {
    if allowed.contains(value) {
        return vec![];
    }
    let (low, high) = (allowed.start(), allowed.end());
    vec![DeclarationError::at(
        &declaration.source,
        key,
        format!("{value} is not between {low} and {high}"),
    )]
}
