//! Checks of a whole set of declarations.

use std::collections::{BTreeMap, BTreeSet};

use super::{Backend, Declaration, DeclarationError, Object, Role, bounds, whole};

/// Returns all faults of a set.
pub fn check(declared: &[Declaration]) -> Vec<DeclarationError> {
    let mut faults = check_part(declared, &[]);
    faults.extend(whole::faults(declared));
    faults
}

/// Returns the faults of the objects that could be read, where those named in `broken` could not.
pub(super) fn check_part(
    declared: &[Declaration],
    broken: &[(String, String)],
) -> Vec<DeclarationError> {
    let names = Names::new(declared, broken);
    let mut faults = duplicates(declared);
    for one in declared {
        faults.extend(references(one, &names));
        faults.extend(bounds::faults(one));
    }
    faults
}

struct Names<'a> {
    kinds: BTreeMap<&'a str, BTreeSet<&'a str>>,
}

impl<'a> Names<'a> {
    fn new(declared: &'a [Declaration], broken: &'a [(String, String)]) -> Self {
        let mut kinds: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        let sound = declared.iter().map(|one| (one.object.kind(), one.object.name()));
        let broken = broken.iter().map(|(kind, name)| (kind.as_str(), name.as_str()));
        for (kind, name) in sound.chain(broken) {
            kinds.entry(kind).or_default().insert(name);
        }
        Self { kinds }
    }

    fn need(
        &self,
        one: &Declaration,
        key: &str,
        kind: &'static str,
        name: &str,
    ) -> Option<DeclarationError> {
        let known = self.kinds.get(kind).is_some_and(|names| names.contains(name));
        (!known).then(|| {
            DeclarationError::at(&one.source, key, format!("{kind} {name:?} is not declared"))
        })
    }
}

fn duplicates(declared: &[Declaration]) -> Vec<DeclarationError> {
    let mut seen = BTreeSet::new();
    let twice =
        |one: &&Declaration| !seen.insert((one.object.kind(), one.object.name().to_owned()));
    declared
        .iter()
        .filter(twice)
        .map(|one| {
            let (kind, name) = (one.object.kind(), one.object.name());
            DeclarationError::at(&one.source, "name", format!("{kind} {name:?} is declared twice"))
        })
        .collect()
}

fn references(one: &Declaration, names: &Names<'_>) -> Vec<DeclarationError> {
    let found: Vec<Option<DeclarationError>> = match &one.object {
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
