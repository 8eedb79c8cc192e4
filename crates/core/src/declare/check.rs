//! Checks of a whole set of declarations.

use std::collections::{BTreeMap, BTreeSet};

use super::{Backend, Declared, Fault, Object, Role};

/// Returns all faults of a set.
pub fn check(declared: &[Declared]) -> Vec<Fault> {
    let names = Names::new(declared);
    let mut faults = duplicates(declared);
    for one in declared {
        faults.extend(references(one, &names));
        faults.extend(limits(one));
    }
    faults.extend(empty_pools(declared));
    faults
}

struct Names<'a> {
    kinds: BTreeMap<&'static str, BTreeSet<&'a str>>,
}

impl<'a> Names<'a> {
    fn new(declared: &'a [Declared]) -> Self {
        let mut kinds: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        for one in declared {
            kinds.entry(one.object.kind()).or_default().insert(one.object.name());
        }
        Self { kinds }
    }

    fn need(&self, one: &Declared, key: &str, kind: &'static str, name: &str) -> Option<Fault> {
        let known = self.kinds.get(kind).is_some_and(|names| names.contains(name));
        (!known).then(|| Fault::at(&one.source, key, format!("{kind} {name:?} is not declared")))
    }
}

fn duplicates(declared: &[Declared]) -> Vec<Fault> {
    let mut seen = BTreeSet::new();
    let twice = |one: &&Declared| !seen.insert((one.object.kind(), one.object.name().to_owned()));
    declared
        .iter()
        .filter(twice)
        .map(|one| {
            let (kind, name) = (one.object.kind(), one.object.name());
            Fault::at(&one.source, "name", format!("{kind} {name:?} is declared twice"))
        })
        .collect()
}

fn references(one: &Declared, names: &Names<'_>) -> Vec<Fault> {
    let found: Vec<Option<Fault>> = match &one.object {
        Object::Zone(_) => vec![],
        Object::Pool(o) => vec![names.need(one, "service", "service", o.service.as_str())],
        Object::Service(o) => match &o.backend {
            Backend::Model(model) => {
                vec![names.need(one, "backend.model", "model", model.as_str())]
            }
            Backend::Plain => vec![],
        },
        Object::Model(o) => vec![names.need(one, "version", "version", o.version.as_str())],
        Object::Version(o) => vec![names.need(one, "model", "model", o.model.as_str())],
        Object::Adapter(o) => vec![names.need(one, "version", "version", o.version.as_str())],
        Object::Client(o) => o
            .services
            .iter()
            .enumerate()
            .map(|(i, s)| names.need(one, &format!("services[{i}]"), "service", s.as_str()))
            .collect(),
        Object::Vm(o) => {
            let zone = names.need(one, "zone", "zone", o.zone.as_str());
            let pool = match &o.role {
                Role::Endpoint(pool) => names.need(one, "role.endpoint", "pool", pool.as_str()),
                Role::Entry => None,
            };
            vec![zone, pool]
        }
    };
    found.into_iter().flatten().collect()
}

fn limits(one: &Declared) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut need = |sound: bool, key: &str, text: &str| {
        if !sound {
            faults.push(Fault::at(&one.source, key, text));
        }
    };
    match &one.object {
        Object::Pool(o) => {
            need(o.slots > 0, "slots", "must be at least 1");
            need(o.cold > 0 && o.cold <= o.slots, "cold", "must be between 1 and slots");
        }
        Object::Client(o) => need(o.weight > 0, "weight", "must be at least 1"),
        Object::Service(o) => need(o.timeout.0 > 0, "timeout", "must be above 0"),
        Object::Version(o) => need(o.size.0 > 0, "size", "must be above 0"),
        Object::Zone(o) => need(o.link.0 > 0, "link", "must be above 0"),
        _ => {}
    }
    faults
}

fn empty_pools(declared: &[Declared]) -> Vec<Fault> {
    let used: BTreeSet<_> = declared
        .iter()
        .filter_map(|one| match &one.object {
            Object::Vm(vm) => match &vm.role {
                Role::Endpoint(pool) => Some(pool.as_str()),
                Role::Entry => None,
            },
            _ => None,
        })
        .collect();
    let empty =
        |one: &&Declared| matches!(&one.object, Object::Pool(p) if !used.contains(p.name.as_str()));
    declared
        .iter()
        .filter(empty)
        .map(|one| Fault::at(&one.source, "name", "the pool has no endpoint VM"))
        .collect()
}
