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
const REAPPEAR_WINDOW: Span = Span::millis(1_700);

/// Versions of a model that are remembered.
const MAX_VERSIONS: usize = 8;

/// An endpoint as it is believed to be.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its entry in the list.
    pub entry: EndpointEntry,
    /// When it is given up unless its entry comes back.
    pub expires_at: Option<Time>,
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
    announced: BTreeMap<u64, AnnouncedAt>,
}

impl TargetVersions {
    /// Returns the newest version.
    pub fn newest(&self) -> u64 {
        self.announced.keys().next_back().copied().unwrap_or(0)
    }

    /// Returns when the first version after `held` was named, whose time is the next to run out;
    /// the start of the process where that is not known.
    pub fn rollout_start(&self, current: Option<u64>) -> Time {
        let mut newer = self.announced.iter().filter(|(version, _)| Some(**version) > current);
        match newer.next() {
            Some((_, AnnouncedAt::Known(at))) => Time(u64::try_from(*at).unwrap_or(0)),
            _ => Time::default(),
        }
    }

    /// Returns the oldest version that may still be used `after` it was named.
    pub fn min_usable(&self, now: Time, after: Span) -> Option<u64> {
        let is_due = |(_, at): &(&u64, &AnnouncedAt)| match at {
            AnnouncedAt::Unknown => true,
            AnnouncedAt::Known(at) => at + after.0 as i64 <= now.0 as i64,
        };
        self.announced.iter().rev().find(is_due).map(|(version, _)| *version)
    }

    fn announce(&mut self, version: u64, at: AnnouncedAt) {
        let known = self.announced.entry(version).or_insert(at);
        *known = match (*known, at) {
            (AnnouncedAt::Known(a), AnnouncedAt::Known(b)) => AnnouncedAt::Known(a.min(b)),
            (AnnouncedAt::Unknown, other) | (other, AnnouncedAt::Unknown) => other,
        };
        while self.announced.len() > MAX_VERSIONS {
            self.announced.pop_first();
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
    evacuated: BTreeSet<ZoneId>,
    targets: BTreeMap<ModelId, TargetVersions>,
    recovered_at: Option<Time>,
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
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.evacuated.contains(zone)
    }

    /// Returns the version of a model that operators want.
    pub fn target(&self, model: &ModelId) -> Option<&TargetVersions> {
        self.targets.get(model)
    }

    /// Returns the models with a wanted version.
    pub fn targets(&self) -> impl Iterator<Item = (&ModelId, &TargetVersions)> {
        self.targets.iter()
    }

    /// Returns the versions that were named of late, for peers.
    pub fn announced_versions(&self, now: Time) -> Vec<AnnouncedVersion> {
        let ages = |(model, versions): (&ModelId, &TargetVersions)| {
            let age = |(version, at): (&u64, &AnnouncedAt)| {
                let AnnouncedAt::Known(at) = at else { return None };
                let age = Span((now.0 as i64 - at).max(0) as u64);
                Some(AnnouncedVersion { model: model.clone(), version: *version, age })
            };
            versions.announced.iter().filter_map(age).collect::<Vec<AnnouncedVersion>>()
        };
        self.targets.iter().flat_map(ages).collect()
    }

    /// Takes from a peer when a version was named.
    pub fn merge_announcement(&mut self, now: Time, announced: AnnouncedVersion) {
        let at = AnnouncedAt::Known(now.0 as i64 - announced.age.0 as i64);
        self.targets.entry(announced.model).or_default().announce(announced.version, at);
    }

    /// Takes note that the platform answers again after an outage.
    pub fn record_recovery(&mut self, now: Time) {
        self.recovered_at = Some(now);
    }

    /// Takes a published value, which changed just now if `seen`, else at a time that is not known.
    pub fn apply(&mut self, now: Time, published: PublishedValue, seen: bool) -> Effect {
        match published {
            PublishedValue::Catalog(catalog) => self.set_catalog(*catalog),
            PublishedValue::Endpoint(instance, Some(entry)) => {
                self.endpoints.insert(instance, Endpoint { entry, expires_at: None });
                Effect::Endpoints
            }
            PublishedValue::Endpoint(instance, None) => self.remove_endpoint(now, &instance),
            PublishedValue::ZoneEvacuated(zone, true) => effect(self.evacuated.insert(zone)),
            PublishedValue::ZoneEvacuated(zone, false) => effect(self.evacuated.remove(&zone)),
            PublishedValue::TargetVersion(model, version) => {
                let at = if seen { AnnouncedAt::Known(now.0 as i64) } else { AnnouncedAt::Unknown };
                self.set_target(model, version, at)
            }
            PublishedValue::Other => Effect::None,
        }
    }

    /// Gives up the endpoints whose entries did not come back; returns whether there were any.
    pub fn expire_endpoints(&mut self, now: Time) -> bool {
        let before = self.endpoints.len();
        self.endpoints.retain(|_, endpoint| endpoint.expires_at.is_none_or(|until| until > now));
        self.endpoints.len() != before
    }

    fn set_catalog(&mut self, catalog: Catalog) -> Effect {
        if self.catalog.as_ref().is_some_and(|current| current.version >= catalog.version) {
            return Effect::None;
        }
        self.catalog = Some(Rc::new(catalog));
        Effect::Catalog
    }

    fn remove_endpoint(&mut self, now: Time, instance: &InstanceId) -> Effect {
        let recovered = self.recovered_at.filter(|at| *at + REAPPEAR_WINDOW > now);
        let Some(at) = recovered else {
            return effect(self.endpoints.remove(instance).is_some());
        };
        if let Some(endpoint) = self.endpoints.get_mut(instance)
            && !endpoint.entry.leaving
        {
            endpoint.expires_at = Some(at + REAPPEAR_WINDOW);
            return Effect::None;
        }
        effect(self.endpoints.remove(instance).is_some())
    }

    fn set_target(&mut self, model: ModelId, version: Option<u64>, at: AnnouncedAt) -> Effect {
        let Some(version) = version else { return effect(self.targets.remove(&model).is_some()) };
        let versions = self.targets.entry(model).or_default();
        if versions.newest() >= version {
            return Effect::None;
        }
        versions.announce(version, at);
        Effect::Endpoints
    }
}

impl Endpoint {
    /// Returns what the endpoint holds whole of a model.
    pub fn loaded_model(&self, model: &ModelId) -> Option<&LoadedModel> {
        let loaded = self.entry.loaded.as_ref()?;
        loaded.iter().find(|loaded| loaded.model == *model && loaded.complete)
    }
}

fn effect(changed: bool) -> Effect {
    if changed { Effect::Endpoints } else { Effect::None }
}
