//! Values of a restored state that wait because a newer state was known.

use std::collections::BTreeMap;

use crate::{
    direct::platform::PublishedValue,
    ids::{InstanceId, ModelId, ZoneId},
    time::Time,
    units::Span,
};

/// What a published value is about.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Subject {
    Endpoint(InstanceId),
    Target(ModelId),
    Zone(ZoneId),
}

/// Held values with the times at which they apply unless a newer one arrives.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldValues(BTreeMap<Subject, (Time, PublishedValue)>);

impl HeldValues {
    /// Holds a value until `now + time`.
    pub(super) fn hold(&mut self, now: Time, time: Span, published: PublishedValue) {
        if let Some(subject) = subject(&published) {
            self.0.insert(subject, (now + time, published));
        }
    }

    /// Drops the held value that a newer one replaces.
    pub(super) fn replace_by(&mut self, published: &PublishedValue) {
        if let Some(subject) = subject(published) {
            self.0.remove(&subject);
        }
    }

    /// Removes and returns the values that apply now.
    pub(super) fn take_due(&mut self, now: Time) -> Vec<PublishedValue> {
        let due = self.0.extract_if(.., |_, (at, _)| *at <= now);
        due.map(|(_, (_, published))| published).collect()
    }
}

fn subject(published: &PublishedValue) -> Option<Subject> {
    match published {
        PublishedValue::Endpoint(instance, _) => Some(Subject::Endpoint(instance.clone())),
        PublishedValue::TargetVersion(model, _) => Some(Subject::Target(model.clone())),
        PublishedValue::ZoneEvacuated(zone, _) => Some(Subject::Zone(zone.clone())),
        PublishedValue::Catalog(_) | PublishedValue::Other => None,
    }
}
