//! Checks that concern a set as a whole: uniqueness, ownership and coverage.

use std::collections::{BTreeMap, BTreeSet};

use super::{Declaration, DeclarationError, Object, Role, Vm, Zone};

/// Returns the faults of the set as a whole.
pub(super) fn faults(declared: &[Declaration]) -> Vec<DeclarationError> {
    let mut found = unique_values(declared);
    found.extend(owners(declared));
    found.extend(adapter_sizes(declared));
    found.extend(unserved(declared));
    found.extend(zones(declared));
    found
}

/// Returns a fault for each value that two objects must not share.
fn unique_values(declared: &[Declaration]) -> Vec<DeclarationError> {
    let addrs = declared.iter().filter_map(|one| match &one.object {
        Object::Vm(o) => Some((one, "addr", o.addr.to_string())),
        _ => None,
    });
    let keys = declared.iter().filter_map(|one| match &one.object {
        Object::Client(o) => Some((one, "key", o.key.to_string())),
        _ => None,
    });
    let manifests = declared.iter().filter_map(|one| match &one.object {
        Object::Version(o) => Some((one, "manifest", o.manifest.to_string())),
        _ => None,
    });
    let adapters = declared.iter().filter_map(|one| match &one.object {
        Object::Adapter(o) => Some((one, "digest", format!("{} {}", o.version, o.digest))),
        _ => None,
    });
    [repeated(addrs), repeated(keys), repeated(manifests), repeated(adapters)].concat()
}

fn repeated<'a>(
    values: impl Iterator<Item = (&'a Declaration, &'static str, String)>,
) -> Vec<DeclarationError> {
    let mut first: BTreeMap<String, &Declaration> = BTreeMap::new();
    let mut found = Vec::new();
    for (one, key, value) in values {
        if let Some(other) = first.get(&value) {
            let (kind, name) = (other.object.kind(), other.object.name());
            let text = format!("is the {key} of {kind} {name:?} too");
            found.push(DeclarationError::at(&one.source, key, text));
        } else {
            first.insert(value, one);
        }
    }
    found
}

/// Returns a fault for each model that names a version of another model.
fn owners(declared: &[Declaration]) -> Vec<DeclarationError> {
    let owner: BTreeMap<_, _> = declared
        .iter()
        .filter_map(|one| match &one.object {
            Object::Version(o) => Some((&o.name, &o.model)),
            _ => None,
        })
        .collect();
    let fault = |one: &Declaration| match &one.object {
        Object::Model(o) => {
            let other = owner.get(&o.version).filter(|model| ***model != o.name)?;
            let text = format!("version \"{}\" belongs to model \"{other}\"", o.version);
            Some(DeclarationError::at(&one.source, "version", text))
        }
        _ => None,
    };
    declared.iter().filter_map(fault).collect()
}

/// Returns a fault for each adapter that is larger than the weights that it belongs to.
fn adapter_sizes(declared: &[Declaration]) -> Vec<DeclarationError> {
    let sizes: BTreeMap<_, _> = declared
        .iter()
        .filter_map(|one| match &one.object {
            Object::Version(o) => Some((&o.name, o.size)),
            _ => None,
        })
        .collect();
    let fault = |one: &Declaration| match &one.object {
        Object::Adapter(o) => {
            let size = sizes.get(&o.version).filter(|size| o.size > **size)?;
            let text = format!("{} is above the {size} of version \"{}\"", o.size, o.version);
            Some(DeclarationError::at(&one.source, "size", text))
        }
        _ => None,
    };
    declared.iter().filter_map(fault).collect()
}

/// Returns a fault for each pool without a VM and each service without a pool.
fn unserved(declared: &[Declaration]) -> Vec<DeclarationError> {
    let mut staffed = BTreeSet::new();
    let mut served = BTreeSet::new();
    for one in declared {
        match &one.object {
            Object::Vm(Vm { role: Role::Endpoint(pool), .. }) => drop(staffed.insert(pool)),
            Object::Pool(pool) => drop(served.insert(&pool.service)),
            _ => {}
        }
    }
    let fault = |one: &Declaration| {
        let text = match &one.object {
            Object::Pool(o) if !staffed.contains(&o.name) => {
                "the pool has no endpoint VM in any zone"
            }
            Object::Service(o) if !served.contains(&o.name) => "no pool serves the service",
            _ => return None,
        };
        Some(DeclarationError::at(&one.source, "name", text))
    };
    declared.iter().filter_map(fault).collect()
}

/// Returns a fault for each zone that takes work but lacks VMs, and for a set without such a zone.
fn zones(declared: &[Declaration]) -> Vec<DeclarationError> {
    let zones: Vec<(&Declaration, &Zone)> = declared
        .iter()
        .filter_map(|one| match &one.object {
            Object::Zone(zone) => Some((one, zone)),
            _ => None,
        })
        .collect();
    if zones.is_empty() {
        let file = declared.first().map_or(".", |one| one.source.file.as_str());
        return vec![DeclarationError::of_set(file, "no availability zone is declared")];
    }
    if zones.iter().all(|(_, zone)| zone.out) {
        let text = "all availability zones are out at once";
        return zones
            .iter()
            .map(|(one, _)| DeclarationError::at(&one.source, "out", text))
            .collect();
    }
    let (mut entries, mut endpoints) = (BTreeSet::new(), BTreeSet::new());
    for one in declared {
        if let Object::Vm(vm) = &one.object {
            let zones = if vm.role == Role::Entry { &mut entries } else { &mut endpoints };
            zones.insert(&vm.zone);
        }
    }
    let mut found = Vec::new();
    for (one, zone) in zones.into_iter().filter(|(_, zone)| !zone.out) {
        let mut lacks = |what: &str| {
            let text = format!("the zone takes work but has no {what} VM");
            found.push(DeclarationError::at(&one.source, "name", text));
        };
        if !entries.contains(&zone.name) {
            lacks("entry");
        }
        if !endpoints.contains(&zone.name) {
            lacks("endpoint");
        }
    }
    found
}
