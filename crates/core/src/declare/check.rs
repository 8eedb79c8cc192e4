//! Validation of a set of declarations.

use std::collections::{BTreeMap, BTreeSet};

use super::{Backend, Declaration, DeclarationError, Object, Role, bounds, consistency};

/// Returns all errors of a set of declarations.
pub fn check(declared: &[Declaration]) -> Vec<DeclarationError> {
    let mut errors = check_objects(declared, &[]);
    errors.extend(consistency::check_consistency(declared));
    errors
}

/// Returns an error for each duplicate name, unknown reference and value that is not allowed.
///
/// References to `invalid` objects, which could not be parsed, are not reported.
pub(super) fn check_objects(
    declared: &[Declaration],
    invalid: &[(String, String)],
) -> Vec<DeclarationError> {
    let names = DeclaredNames::new(declared, invalid);
    let mut errors = check_duplicates(declared);
    for declaration in declared {
        errors.extend(check_references(declaration, &names));
        errors.extend(bounds::check_values(declaration));
    }
    errors
}

struct DeclaredNames<'a> {
    kinds: BTreeMap<&'a str, BTreeSet<&'a str>>,
}

impl<'a> DeclaredNames<'a> {
    fn new(declared: &'a [Declaration], invalid: &'a [(String, String)]) -> Self {
        let mut kinds: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        let valid = declared
            .iter()
            .map(|declaration| (declaration.object.kind(), declaration.object.name()));
        let invalid = invalid.iter().map(|(kind, name)| (kind.as_str(), name.as_str()));
        for (kind, name) in valid.chain(invalid) {
            kinds.entry(kind).or_default().insert(name);
        }
        Self { kinds }
    }

    fn require(
        &self,
        declaration: &Declaration,
        key: &str,
        kind: &'static str,
        name: &str,
    ) -> Option<DeclarationError> {
        let known = self.kinds.get(kind).is_some_and(|names| names.contains(name));
        (!known).then(|| {
            DeclarationError::at(
                &declaration.source,
                key,
                format!("{kind} {name:?} is not declared"),
            )
        })
    }
}

fn check_duplicates(declared: &[Declaration]) -> Vec<DeclarationError> {
    let mut seen = BTreeSet::new();
    let repeated = |declaration: &&Declaration| {
        !seen.insert((declaration.object.kind(), declaration.object.name().to_owned()))
    };
    declared
        .iter()
        .filter(repeated)
        .map(|declaration| {
            let (kind, name) = (declaration.object.kind(), declaration.object.name());
            DeclarationError::at(
                &declaration.source,
                "name",
                format!("{kind} {name:?} is declared twice"),
            )
        })
        .collect()
}

fn check_references(declaration: &Declaration, names: &DeclaredNames<'_>) -> Vec<DeclarationError> {
    let errors: Vec<Option<DeclarationError>> = match &declaration.object {
        Object::Zone(_) => vec![],
        Object::Pool(o) => {
            vec![names.require(declaration, "service", "service", o.service.as_str())]
        }
        Object::Service(o) => match &o.backend {
            Backend::Model(model) => {
                vec![names.require(declaration, "backend.model", "model", model.as_str())]
            }
            Backend::Plain => vec![],
        },
        Object::Model(o) => {
            vec![names.require(declaration, "version", "version", o.version.as_str())]
        }
        Object::Version(o) => vec![names.require(declaration, "model", "model", o.model.as_str())],
        Object::Adapter(o) => {
            vec![names.require(declaration, "version", "version", o.version.as_str())]
        }
        Object::Client(o) => o
            .services
            .iter()
            .enumerate()
            .map(|(i, s)| {
                names.require(declaration, &format!("services[{i}]"), "service", s.as_str())
            })
            .collect(),
        Object::Vm(o) => {
            let zone = names.require(declaration, "zone", "zone", o.zone.as_str());
            let pool = match &o.role {
                Role::Endpoint(pool) => {
                    names.require(declaration, "role.endpoint", "pool", pool.as_str())
                }
                Role::Entry => None,
            };
            vec![zone, pool]
        }
    };
    errors.into_iter().flatten().collect()
}
