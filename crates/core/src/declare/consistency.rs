//! Checks across the objects of a set: uniqueness, ownership and coverage.

use std::collections::{BTreeMap, BTreeSet};

use super::{Declaration, DeclarationError, Object, Role, Vm, Zone};

/// Returns the errors that concern several objects of a set.
pub(super) fn check_consistency(declared: &[Declaration]) -> Vec<DeclarationError> {
    let mut errors = check_unique_values(declared);
    errors.extend(check_model_versions(declared));
    errors.extend(check_adapter_sizes(declared));
    errors.extend(check_coverage(declared));
    errors.extend(check_zones(declared));
    errors
}

/// Returns an error for each address, key, manifest or adapter digest that two objects share.
fn check_unique_values(declared: &[Declaration]) -> Vec<DeclarationError> {
    let addrs = declared.iter().filter_map(|declaration| match &declaration.object {
        Object::Vm(o) => Some((declaration, "addr", o.addr.to_string())),
        _ => None,
    });
    let keys = declared.iter().filter_map(|declaration| match &declaration.object {
        Object::Client(o) => Some((declaration, "key", o.key.to_string())),
        _ => None,
    });
    let manifests = declared.iter().filter_map(|declaration| match &declaration.object {
        Object::Version(o) => Some((declaration, "manifest", o.manifest.to_string())),
        _ => None,
    });
    let adapters = declared.iter().filter_map(|declaration| match &declaration.object {
        Object::Adapter(o) => Some((declaration, "digest", format!("{} {}", o.version, o.digest))),
        _ => None,
    });
    [
        find_duplicates(addrs),
        find_duplicates(keys),
        find_duplicates(manifests),
        find_duplicates(adapters),
    ]
    .concat()
}

fn find_duplicates<'a>(
    values: impl Iterator<Item = (&'a Declaration, &'static str, String)>,
) -> Vec<DeclarationError> {
    let mut first: BTreeMap<String, &Declaration> = BTreeMap::new();
    let mut errors = Vec::new();
    for (declaration, key, value) in values {
        if let Some(other) = first.get(&value) {
            let (kind, name) = (other.object.kind(), other.object.name());
            let text = format!("is the {key} of {kind} {name:?} too");
            errors.push(DeclarationError::at(&declaration.source, key, text));
        } else {
            first.insert(value, declaration);
        }
    }
    errors
}

/// Returns an error for each model that names a version of another model.
fn check_model_versions(declared: &[Declaration]) -> Vec<DeclarationError> {
    let owner: BTreeMap<_, _> = declared
        .iter()
        .filter_map(|declaration| match &declaration.object {
            Object::Version(o) => Some((&o.name, &o.model)),
            _ => None,
        })
        .collect();
    let check = |declaration: &Declaration| match &declaration.object {
        Object::Model(o) => {
            let other = owner.get(&o.version).filter(|model| ***model != o.name)?;
            let text = format!("version \"{}\" belongs to model \"{other}\"", o.version);
            Some(DeclarationError::at(&declaration.source, "version", text))
        }
        _ => None,
    };
    declared.iter().filter_map(check).collect()
}

/// Returns an error for each adapter that is larger than the weights of its version.
fn check_adapter_sizes(declared: &[Declaration]) -> Vec<DeclarationError> {
    let sizes: BTreeMap<_, _> = declared
        .iter()
        .filter_map(|declaration| match &declaration.object {
            Object::Version(o) => Some((&o.name, o.size)),
            _ => None,
        })
        .collect();
    let check = |declaration: &Declaration| match &declaration.object {
        Object::Adapter(o) => {
            let size = sizes.get(&o.version).filter(|size| o.size > **size)?;
            let text = format!("{} is above the {size} of version \"{}\"", o.size, o.version);
            Some(DeclarationError::at(&declaration.source, "size", text))
        }
        _ => None,
    };
    declared.iter().filter_map(check).collect()
}

/// Returns an error for each pool without a VM and each service without a pool.
fn check_coverage(declared: &[Declaration]) -> Vec<DeclarationError> {
    let mut populated_pools = BTreeSet::new();
    let mut served_services = BTreeSet::new();
    for declaration in declared {
        match &declaration.object {
            Object::Vm(Vm { role: Role::Endpoint(pool), .. }) => drop(populated_pools.insert(pool)),
            Object::Pool(pool) => drop(served_services.insert(&pool.service)),
            _ => {}
        }
    }
    let check = |declaration: &Declaration| {
        let text = match &declaration.object {
            Object::Pool(o) if !populated_pools.contains(&o.name) => {
                "the pool has no endpoint VM in any zone"
            }
            Object::Service(o) if !served_services.contains(&o.name) => {
                "no pool serves the service"
            }
            _ => return None,
        };
        Some(DeclarationError::at(&declaration.source, "name", text))
    };
    declared.iter().filter_map(check).collect()
}

/// Returns an error for each zone in service without an entry or endpoint VM, and for a set without
/// a zone in service.
fn check_zones(declared: &[Declaration]) -> Vec<DeclarationError> {
    let zones: Vec<(&Declaration, &Zone)> = declared
        .iter()
        .filter_map(|declaration| match &declaration.object {
            Object::Zone(zone) => Some((declaration, zone)),
            _ => None,
        })
        .collect();
    if zones.is_empty() {
        let file = declared.first().map_or(".", |declaration| declaration.source.file.as_str());
        return vec![DeclarationError::in_set(file, "no availability zone is declared")];
    }
    if zones.iter().all(|(_, zone)| zone.out) {
        let text = "all availability zones are out at once";
        return zones
            .iter()
            .map(|(declaration, _)| DeclarationError::at(&declaration.source, "out", text))
            .collect();
    }
    let (mut entries, mut endpoints) = (BTreeSet::new(), BTreeSet::new());
    for declaration in declared {
        if let Object::Vm(vm) = &declaration.object {
            let zones = if vm.role == Role::Entry { &mut entries } else { &mut endpoints };
            zones.insert(&vm.zone);
        }
    }
    let mut errors = Vec::new();
    for (declaration, zone) in zones.into_iter().filter(|(_, zone)| !zone.out) {
        let mut report_missing = |role: &str| {
            let text = format!("the zone takes work but has no {role} VM");
            errors.push(DeclarationError::at(&declaration.source, "name", text));
        };
        if !entries.contains(&zone.name) {
            report_missing("entry");
        }
        if !endpoints.contains(&zone.name) {
            report_missing("endpoint");
        }
    }
    errors
}
