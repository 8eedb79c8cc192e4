//! What a process believes of the published state: configuration, endpoints, zones, versions.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use serde::{Deserialize, Serialize};

use super::{
    catalog::{Catalog, EndpointEntry, LoadedModel},
    platform::PublishedValue,
};
use crate::{
    ids::{InstanceId, ModelId, ZoneId},
    time::Time,
    units::Span,
};

/// Time after an outage of the platform in which a missing entry may come back: the platform says
/// that entries of live endpoints are back within about two seconds.
const RETURN: Span = Span::millis(1_700);

/// Versions of a model that are remembered.
const NAMED: usize = 8;

/// An endpoint as it is believed to be.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its entry in the list.
    pub listed: EndpointEntry,
    /// When it is given up unless its entry comes back.
    pub doubt: Option<Time>,
}

/// When a version was named, in microseconds of the process clock; negative before its start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum AnnouncedAt {
    /// Before this process could see it; nothing older may be used.
    Unknown,
    /// At this time.
    Known(i64),
}

/// A version that operators named, as one process tells another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncedVersion {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: u64,
    /// How long ago it was named.
    pub age: Span,
}

/// The versions of a model that operators named of late, and when.
///
/// A newer one does not put off the time by which an older one must be in use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetVersions {
    named: BTreeMap<u64, AnnouncedAt>,
}

impl TargetVersions {
    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        self.named.keys().next_back().copied().unwrap_or(0)
    }

    /// Returns when the first version after `held` was named, whose time is the next to run out;
    /// the start of the process where that is not known.
    pub fn since(&self, held: Option<u64>) -> Time {
        let mut newer = self.named.iter().filter(|(version, _)| Some(**version) > held);
        match newer.next() {
            Some((_, AnnouncedAt::Known(at))) => Time(u64::try_from(*at).unwrap_or(0)),
            _ => Time::default(),
        }
    }

    /// Returns the oldest version that may still be used `after` it was named.
    pub fn oldest(&self, now: Time, after: Span) -> Option<u64> {
        let due = |(_, at): &(&u64, &AnnouncedAt)| match at {
            AnnouncedAt::Unknown => true,
            AnnouncedAt::Known(at) => at + after.0 as i64 <= now.0 as i64,
        };
        self.named.iter().rev().find(due).map(|(version, _)| *version)
    }

    fn name(&mut self, version: u64, at: AnnouncedAt) {
        let known = self.named.entry(version).or_insert(at);
        *known = match (*known, at) {
            (AnnouncedAt::Known(a), AnnouncedAt::Known(b)) => AnnouncedAt::Known(a.min(b)),
            (AnnouncedAt::Unknown, other) | (other, AnnouncedAt::Unknown) => other,
        };
        while self.named.len() > NAMED {
            self.named.pop_first();
        }
    }
}

/// What a change did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// A newer configuration is in force.
    Catalog,
    /// Endpoints, zones or versions changed.
    Endpoints,
    /// Nothing changed.
    None,
}

/// The published state.
#[derive(Clone, Debug, Default)]
pub struct View {
    catalog: Option<Rc<Catalog>>,
    endpoints: BTreeMap<InstanceId, Endpoint>,
    out: BTreeSet<ZoneId>,
    wanted: BTreeMap<ModelId, TargetVersions>,
    returned: Option<Time>,
}

impl View {
    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the endpoints.
    pub fn endpoints(&self) -> &BTreeMap<InstanceId, Endpoint> {
        &self.endpoints
    }

    /// Returns whether operators have taken a zone out.
    pub fn is_out(&self, zone: &ZoneId) -> bool {
        self.out.contains(zone)
    }

    /// Returns the version of a model that operators want.
    pub fn wanted(&self, model: &ModelId) -> Option<&TargetVersions> {
        self.wanted.get(model)
    }

    /// Returns the models with a wanted version.
    pub fn models(&self) -> impl Iterator<Item = (&ModelId, &TargetVersions)> {
        self.wanted.iter()
    }

    /// Returns the versions that were named of late, for peers.
    pub fn named(&self, now: Time) -> Vec<AnnouncedVersion> {
        let ages = |(model, wanted): (&ModelId, &TargetVersions)| {
            let age = |(version, at): (&u64, &AnnouncedAt)| {
                let AnnouncedAt::Known(at) = at else { return None };
                let age = Span((now.0 as i64 - at).max(0) as u64);
                Some(AnnouncedVersion { model: model.clone(), version: *version, age })
            };
            wanted.named.iter().filter_map(age).collect::<Vec<AnnouncedVersion>>()
        };
        self.wanted.iter().flat_map(ages).collect()
    }

    /// Takes from a peer when a version was named.
    pub fn learn(&mut self, now: Time, named: AnnouncedVersion) {
        let at = AnnouncedAt::Known(now.0 as i64 - named.age.0 as i64);
        self.wanted.entry(named.model).or_default().name(named.version, at);
    }

    /// Takes note that the platform answers again after an outage.
    pub fn platform_returned(&mut self, now: Time) {
        self.returned = Some(now);
    }

    /// Takes a published value, which changed just now if `seen`, else at a time that is not known.
    pub fn apply(&mut self, now: Time, published: PublishedValue, seen: bool) -> Effect {
        match published {
            PublishedValue::Catalog(catalog) => self.set_catalog(*catalog),
            PublishedValue::Endpoint(instance, Some(listed)) => {
                self.endpoints.insert(instance, Endpoint { listed, doubt: None });
                Effect::Endpoints
            }
            PublishedValue::Endpoint(instance, None) => self.remove(now, &instance),
            PublishedValue::ZoneEvacuated(zone, true) => changed(self.out.insert(zone)),
            PublishedValue::ZoneEvacuated(zone, false) => changed(self.out.remove(&zone)),
            PublishedValue::TargetVersion(model, version) => {
                let at = if seen { AnnouncedAt::Known(now.0 as i64) } else { AnnouncedAt::Unknown };
                self.want(model, version, at)
            }
            PublishedValue::Other => Effect::None,
        }
    }

    /// Gives up the endpoints whose entries did not come back; returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.endpoints.len();
        self.endpoints.retain(|_, endpoint| endpoint.doubt.is_none_or(|until| until > now));
        self.endpoints.len() != before
    }

    fn set_catalog(&mut self, catalog: Catalog) -> Effect {
        if self.catalog.as_ref().is_some_and(|held| held.version >= catalog.version) {
            return Effect::None;
        }
        self.catalog = Some(Rc::new(catalog));
        Effect::Catalog
    }

    fn remove(&mut self, now: Time, instance: &InstanceId) -> Effect {
        let returned = self.returned.filter(|at| *at + RETURN > now);
        let Some(at) = returned else {
            return changed(self.endpoints.remove(instance).is_some());
        };
        if let Some(endpoint) = self.endpoints.get_mut(instance)
            && !endpoint.listed.leaving
        {
            endpoint.doubt = Some(at + RETURN);
            return Effect::None;
        }
        changed(self.endpoints.remove(instance).is_some())
    }

    fn want(&mut self, model: ModelId, version: Option<u64>, at: AnnouncedAt) -> Effect {
        let Some(version) = version else { return changed(self.wanted.remove(&model).is_some()) };
        let wanted = self.wanted.entry(model).or_default();
        if wanted.version() >= version {
            return Effect::None;
        }
        wanted.name(version, at);
        Effect::Endpoints
    }
}

impl Endpoint {
    /// Returns what the endpoint holds whole of a model.
    pub fn held(&self, model: &ModelId) -> Option<&LoadedModel> {
        let loaded = self.listed.loaded.as_ref()?;
        loaded.iter().find(|loaded| loaded.model == *model && loaded.whole)
    }
}

fn changed(changed: bool) -> Effect {
    if changed { Effect::Endpoints } else { Effect::None }
}
