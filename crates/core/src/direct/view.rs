//! What a process believes of the published state: configuration, endpoints, zones, versions.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use super::{
    catalog::{Catalog, Listed, Loaded},
    seam::Published,
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
    pub listed: Listed,
    /// Until when it is cold by its entry.
    pub cold: Time,
    /// When it is given up unless its entry comes back.
    pub doubt: Option<Time>,
}

/// The versions of a model that operators named of late, and when this process learnt of each.
///
/// A newer one does not put off the time by which an older one must be in use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Wanted {
    named: Vec<(u64, Time)>,
}

impl Wanted {
    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        self.named.last().map_or(0, |(version, _)| *version)
    }

    /// Returns when the first version after `held` was named, whose time is the next to run out.
    pub fn since(&self, held: Option<u64>) -> Time {
        let newer = |(version, _): &&(u64, Time)| held.is_none_or(|held| *version > held);
        self.named.iter().find(newer).map_or(Time::default(), |(_, since)| *since)
    }

    /// Returns the oldest version that may still be used `after` it was named.
    pub fn oldest(&self, now: Time, after: Span) -> Option<u64> {
        let due = |(_, since): &&(u64, Time)| *since + after <= now;
        self.named.iter().rev().find(due).map(|(version, _)| *version)
    }

    fn name(&mut self, version: u64, since: Time) {
        self.named.push((version, since));
        let surplus = self.named.len().saturating_sub(NAMED);
        self.named.drain(..surplus);
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
    wanted: BTreeMap<ModelId, Wanted>,
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
    pub fn wanted(&self, model: &ModelId) -> Option<&Wanted> {
        self.wanted.get(model)
    }

    /// Returns the models with a wanted version.
    pub fn models(&self) -> impl Iterator<Item = (&ModelId, &Wanted)> {
        self.wanted.iter()
    }

    /// Takes note that the platform answers again after an outage.
    pub fn platform_returned(&mut self, now: Time) {
        self.returned = Some(now);
    }

    /// Takes a published value.
    pub fn apply(&mut self, now: Time, published: Published) -> Effect {
        match published {
            Published::Catalog(catalog) => self.set_catalog(*catalog),
            Published::Endpoint(instance, Some(listed)) => {
                let cold = now + listed.cold;
                self.endpoints.insert(instance, Endpoint { listed, cold, doubt: None });
                Effect::Endpoints
            }
            Published::Endpoint(instance, None) => self.remove(now, &instance),
            Published::ZoneOut(zone, true) => changed(self.out.insert(zone)),
            Published::ZoneOut(zone, false) => changed(self.out.remove(&zone)),
            Published::Wanted(model, version) => self.want(now, model, version),
            Published::Other => Effect::None,
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

    fn want(&mut self, now: Time, model: ModelId, version: Option<u64>) -> Effect {
        let Some(version) = version else { return changed(self.wanted.remove(&model).is_some()) };
        let wanted = self.wanted.entry(model).or_default();
        if wanted.version() >= version {
            return Effect::None;
        }
        wanted.name(version, now);
        Effect::Endpoints
    }
}

impl Endpoint {
    /// Returns what the endpoint holds whole of a model.
    pub fn held(&self, model: &ModelId) -> Option<&Loaded> {
        let loaded = self.listed.loaded.as_ref()?;
        loaded.iter().find(|loaded| loaded.model == *model && loaded.whole)
    }
}

fn changed(changed: bool) -> Effect {
    if changed { Effect::Endpoints } else { Effect::None }
}
