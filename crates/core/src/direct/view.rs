//! Decoded view of the published state: configuration, endpoints, zones and target versions.

mod held;
mod targets;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

pub use self::targets::{AnnouncedVersion, TargetVersions};
use self::{
    held::HeldValues,
    targets::{AnnouncedAt, UNKNOWN_AGE},
};
use super::{
    catalog::{Catalog, EndpointEntry, LoadedModel},
    platform::PublishedValue,
};
use crate::{
    ids::{InstanceId, ModelId, ServiceId, ZoneId},
    time::Time,
    units::Span,
};

/// Time after a platform outage during which a removed endpoint is kept in case its entry returns:
/// the platform documents that entries of live endpoints are back within about two seconds.
const REAPPEAR_WINDOW: Span = Span::millis(1_700);

/// Time for which a restored value waits that would take back a known one. It covers that operators
/// and endpoints write again what was lost, and that the entries of crashed endpoints expire.
const RESTORE_HOLD: Span = Span::secs(5);

/// Time for which a removed endpoint is remembered, longer than a restored state is old.
const REMOVED_MEMORY: Span = Span::secs(60);

/// Maximum time between an announcement and its arrival at a process that saw it.
const MAX_SIGHTING_DELAY: Span = Span::secs(1);

/// Maximum number of models whose removed versions are remembered.
const MAX_REMOVED_TARGETS: usize = 256;

/// An endpoint of the view.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its published entry.
    pub entry: EndpointEntry,
    /// When it is removed unless its entry returns, `None` while the entry exists.
    pub expires_at: Option<Time>,
    /// Whether its entry is part of a state that the platform restored from a copy.
    pub restored: bool,
}

/// What a change affected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// A newer configuration is in force.
    Catalog,
    /// Endpoints, zones or versions changed.
    Endpoints,
    /// Nothing changed yet, as the value would take back a newer one.
    Held,
    /// Nothing changed.
    None,
}

/// The published state as known to this process.
#[derive(Clone, Debug, Default)]
pub struct View {
    catalog: Option<Rc<Catalog>>,
    endpoints: BTreeMap<InstanceId, Endpoint>,
    evacuated: BTreeSet<ZoneId>,
    targets: BTreeMap<ModelId, TargetVersions>,
    /// The versions of removed targets, with the times of their removal: one that is written again
    /// counts from when it was announced first.
    removed_targets: BTreeMap<ModelId, (TargetVersions, Time)>,
    recovered_at: Option<Time>,
    held: HeldValues,
    /// The removed endpoints, with their published starts and the times of their removal.
    removed: BTreeMap<InstanceId, (Option<u64>, Time)>,
}

impl View {
    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the endpoints by instance.
    pub fn endpoints(&self) -> &BTreeMap<InstanceId, Endpoint> {
        &self.endpoints
    }

    /// Returns the versions of a model that entries of a service claim to hold; no source may have
    /// them, as others may write entries too.
    pub fn claimed_versions(
        &self,
        service: &ServiceId,
        model: &ModelId,
    ) -> impl Iterator<Item = u64> {
        let endpoints = self.endpoints.values();
        let own = endpoints.filter(move |endpoint| endpoint.entry.service == *service);
        own.filter_map(move |endpoint| Some(endpoint.loaded_model(model)?.version))
    }

    /// Returns the instances that entries of a service name at an address: that of the endpoint there,
    /// and others, as entries may be out of date or come from others.
    pub fn instances_at(
        &self,
        service: &ServiceId,
        addr: SocketAddr,
    ) -> impl Iterator<Item = &InstanceId> {
        let entries = self.endpoints.values().map(|endpoint| &endpoint.entry);
        let own = entries.filter(move |entry| entry.addr == addr && entry.service == *service);
        own.map(|entry| &entry.instance)
    }

    /// Returns whether operators have evacuated a zone.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.evacuated.contains(zone)
    }

    /// Returns the target versions of a model.
    pub fn target(&self, model: &ModelId) -> Option<&TargetVersions> {
        self.targets.get(model)
    }

    /// Returns the target versions of all models.
    pub fn targets(&self) -> impl Iterator<Item = (&ModelId, &TargetVersions)> {
        self.targets.iter()
    }

    /// Returns whether the time of any announced version is unknown, or may be far too early where
    /// that matters for `after`.
    pub fn has_undated_versions(&self, now: Time, after: Span) -> bool {
        self.targets.values().any(|versions| {
            versions.announced.values().any(|at| *at == AnnouncedAt::Unknown)
                || versions.imprecise.values().any(|heard| now <= *heard + after)
        })
    }

    /// Returns the announced versions, for peers.
    pub fn announced_versions(&self, now: Time) -> Vec<AnnouncedVersion> {
        let ages = |(model, versions): (&ModelId, &TargetVersions)| {
            let age = |(version, at): (&u64, &AnnouncedAt)| {
                let age = match at {
                    AnnouncedAt::Known(at) => Span((now.0 as i64 - at).max(0) as u64),
                    AnnouncedAt::Unknown => UNKNOWN_AGE,
                };
                AnnouncedVersion { model: model.clone(), version: *version, age }
            };
            versions.announced.iter().map(age).collect::<Vec<AnnouncedVersion>>()
        };
        self.targets.iter().flat_map(ages).collect()
    }

    /// Records that this process, which followed the platform, saw a version announced at `seen`.
    pub fn record_sighting(&mut self, now: Time, seen: Time, model: &ModelId, version: u64) {
        if seen + MAX_SIGHTING_DELAY < now {
            return;
        }
        if let Some(versions) = self.targets.get_mut(model)
            && versions.announced.get(&version) == Some(&AnnouncedAt::Known(seen.0 as i64))
        {
            versions.sighted.insert(version);
        }
    }

    /// Returns the versions that this process saw as they were announced, for peers.
    pub fn sightings(&self, now: Time) -> Vec<AnnouncedVersion> {
        let is_sighted = |announced: &AnnouncedVersion| {
            let versions = self.targets.get(&announced.model);
            versions.is_some_and(|versions| versions.sighted.contains(&announced.version))
        };
        self.announced_versions(now).into_iter().filter(is_sighted).collect()
    }

    /// Merges a version that a peer saw as it was announced, told at `sent` or later; returns whether
    /// anything changed.
    ///
    /// A date that this process took from its own last knowledge of the state is at or before the
    /// announcement, so that a peer which followed the platform may know a later one. It is not after
    /// this process heard of the version, unless the peer saw a lost or removed one written again.
    pub fn merge_sighting(&mut self, sent: Time, sighting: &AnnouncedVersion) -> bool {
        let (Some(versions), Some(age)) =
            (self.targets.get_mut(&sighting.model), sighting.known_age())
        else {
            return false;
        };
        versions.merge_sighting(sighting.version, sent.0 as i64 - age.0 as i64)
    }

    /// Merges a version announcement that a peer sent at `sent` or later; returns whether anything
    /// changed.
    ///
    /// A told age holds: that a version is missing in what this process read before `earliest` proves
    /// nothing where it was replaced by then, or lost as the platform restored its state.
    pub fn merge_announcement(
        &mut self,
        sent: Time,
        earliest: Option<Time>,
        announced: AnnouncedVersion,
    ) -> bool {
        let told = announced.known_age().map(|age| sent.0 as i64 - age.0 as i64);
        let versions = self.targets.entry(announced.model).or_default();
        let is_newest = announced.version > versions.newest();
        if told.is_none() && !is_newest && versions.covers(announced.version) {
            return false;
        }
        let earliest = earliest.filter(|_| is_newest).map(|earliest| earliest.0 as i64);
        let at = told.or(earliest).map_or(AnnouncedAt::Unknown, AnnouncedAt::Known);
        let is_changed = versions.announce(announced.version, at);
        if is_changed && told.is_none() {
            versions.mark_imprecise(announced.version, sent);
        }
        is_changed
    }

    /// Records that the platform answers again after an outage.
    pub fn record_recovery(&mut self, now: Time) {
        self.recovered_at = Some(now);
    }

    /// Applies a published value that was not published before `earliest`, `None` if that is unknown.
    pub fn apply(
        &mut self,
        now: Time,
        published: PublishedValue,
        earliest: Option<Time>,
    ) -> Effect {
        self.held.replace_by(&published);
        match published {
            PublishedValue::Catalog(catalog) => self.set_catalog(*catalog),
            PublishedValue::Endpoint(instance, Some(entry)) => {
                self.removed.remove(&instance);
                self.endpoints
                    .insert(instance, Endpoint { entry, expires_at: None, restored: false });
                Effect::Endpoints
            }
            PublishedValue::Endpoint(instance, None) => self.remove_endpoint(now, &instance),
            PublishedValue::ZoneEvacuated(zone, true) => effect(self.evacuated.insert(zone)),
            PublishedValue::ZoneEvacuated(zone, false) => effect(self.evacuated.remove(&zone)),
            PublishedValue::TargetVersion(model, version) => {
                let known = |earliest: Time| AnnouncedAt::Known(earliest.0 as i64);
                let at = earliest.map_or(AnnouncedAt::Unknown, known);
                self.set_target(now, model, version, at)
            }
            PublishedValue::Other => Effect::None,
        }
    }

    /// Applies a value of a state that the platform restored from a copy.
    ///
    /// One that would take back a newer value is held for as long as it takes operators and
    /// endpoints to write that one again.
    pub fn apply_restored(
        &mut self,
        now: Time,
        published: PublishedValue,
        earliest: Option<Time>,
    ) -> Effect {
        match self.hold_time(&published) {
            Some(time) => {
                self.held.hold(now, time, published);
                Effect::Held
            }
            None => self.apply_old(now, published, earliest),
        }
    }

    /// Applies the held values that no newer one has replaced in time; returns whether anything
    /// changed.
    pub fn apply_held(&mut self, now: Time) -> bool {
        let due = self.held.take_due(now);
        let effects = due.into_iter().map(|published| self.apply_old(now, published, None));
        effects.filter(|effect| *effect != Effect::None).count() > 0
    }

    /// Applies a value of a restored state, and marks the entry of an endpoint as such.
    fn apply_old(
        &mut self,
        now: Time,
        published: PublishedValue,
        earliest: Option<Time>,
    ) -> Effect {
        let instance = match &published {
            PublishedValue::Endpoint(instance, Some(_)) => Some(instance.clone()),
            _ => None,
        };
        let effect = self.apply(now, published, earliest);
        if let Some(endpoint) = instance.and_then(|instance| self.endpoints.get_mut(&instance)) {
            endpoint.restored = true;
        }
        effect
    }

    /// Removes the endpoints whose entries did not return in time; returns whether there were any.
    pub fn expire_endpoints(&mut self, now: Time) -> bool {
        let is_over = |endpoint: &Endpoint| endpoint.expires_at.is_some_and(|until| until <= now);
        let expired: Vec<InstanceId> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_over(endpoint))
            .map(|(instance, _)| instance.clone())
            .collect();
        expired.iter().for_each(|instance| {
            self.drop_endpoint(now, instance);
        });
        !expired.is_empty()
    }

    /// Returns how long a value of a restored state is held, `None` if it takes back nothing.
    fn hold_time(&self, published: &PublishedValue) -> Option<Span> {
        let (takes_back, time) = match published {
            PublishedValue::Endpoint(instance, None) => {
                (self.endpoints.contains_key(instance), REAPPEAR_WINDOW)
            }
            PublishedValue::Endpoint(instance, Some(entry)) => {
                let known = self.endpoints.get(instance).map(|endpoint| &endpoint.entry);
                let left = known.filter(|known| known.leaving && !entry.leaving);
                let left = left.map(|known| known.started_ms);
                let removed = self.removed.get(instance).map(|(started_ms, _)| *started_ms);
                (left.or(removed) == Some(entry.started_ms), RESTORE_HOLD)
            }
            PublishedValue::TargetVersion(model, None) => {
                (self.targets.contains_key(model), RESTORE_HOLD)
            }
            PublishedValue::ZoneEvacuated(zone, false) => (self.is_evacuated(zone), RESTORE_HOLD),
            _ => return None,
        };
        takes_back.then_some(time)
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
            return effect(self.drop_endpoint(now, instance));
        };
        if let Some(endpoint) = self.endpoints.get_mut(instance)
            && !endpoint.entry.leaving
        {
            endpoint.expires_at = Some(at + REAPPEAR_WINDOW);
            return Effect::None;
        }
        effect(self.drop_endpoint(now, instance))
    }

    /// Removes an endpoint and remembers it; returns whether it was there.
    fn drop_endpoint(&mut self, now: Time, instance: &InstanceId) -> bool {
        let Some(endpoint) = self.endpoints.remove(instance) else { return false };
        self.removed.retain(|_, (_, at)| *at + REMOVED_MEMORY > now);
        self.removed.insert(instance.clone(), (endpoint.entry.started_ms, now));
        true
    }

    fn set_target(
        &mut self,
        now: Time,
        model: ModelId,
        version: Option<u64>,
        at: AnnouncedAt,
    ) -> Effect {
        let Some(version) = version else { return self.remove_target(now, model) };
        let removed = self.removed_targets.get_mut(&model);
        let versions = self.targets.entry(model).or_default();
        if versions.newest() >= version {
            return Effect::None;
        }
        if let Some((removed, _)) = removed {
            versions.take_back(removed, version);
        }
        if versions.newest() < version {
            versions.announce(version, at);
            versions.mark_imprecise(version, now);
        }
        Effect::Endpoints
    }

    fn remove_target(&mut self, now: Time, model: ModelId) -> Effect {
        let Some(mut versions) = self.targets.remove(&model) else { return Effect::None };
        if let Some((mut newer, _)) = self.removed_targets.remove(&model) {
            versions.take_back(&mut newer, u64::MAX);
        }
        self.removed_targets.insert(model, (versions, now));
        if self.removed_targets.len() > MAX_REMOVED_TARGETS {
            let oldest = self.removed_targets.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(model) = oldest.map(|(model, _)| model.clone()) {
                self.removed_targets.remove(&model);
            }
        }
        Effect::Endpoints
    }
}

impl Endpoint {
    /// Returns the entry of a model if the endpoint holds all of its layers.
    pub fn loaded_model(&self, model: &ModelId) -> Option<&LoadedModel> {
        let loaded = self.entry.loaded.as_ref()?;
        loaded.iter().find(|loaded| loaded.model == *model && loaded.complete)
    }
}

fn effect(changed: bool) -> Effect {
    if changed { Effect::Endpoints } else { Effect::None }
}
